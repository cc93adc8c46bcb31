//! Retries: where a request may be sent, for the first time or again.

use super::Router;
use crate::interface::*;
use crate::state::{FirstExecution, RequestState};

/// Attempts that a request still needs if a reader is next: the read and the write.
const ATTEMPTS_WITH_SEPARATE_READ: u32 = 2;
/// Attempts that a request still needs if the next engine writes the answer.
const ATTEMPTS_WITHOUT_READ: u32 = 1;

impl Router {
    /// Whether a request may be sent to an engine. Every send is checked here: for draining engines, slow
    /// start, idempotency, the limit of attempts, overlapping attempts and the deadline.
    pub(super) fn may_send(&self, now: Micros, request: &RequestState, index: usize) -> bool {
        let engine = &self.engines[index];
        let attempts_needed = match engine.role {
            Role::Reader => ATTEMPTS_WITH_SEPARATE_READ,
            Role::Writer | Role::Mixed => ATTEMPTS_WITHOUT_READ,
        };
        engine.is_serving()
            && self.may_run_at(now, request, index)
            && !request.closed
            && request.in_flight.is_none()
            && request.attempts + attempts_needed <= self.settings.max_attempts
            && now < request.deadline
            && self.within_slow_start_budget(now, request, index)
    }

    /// Whether a request that may have run already can run at an engine without a second effect.
    fn may_run_at(&self, now: Micros, request: &RequestState, index: usize) -> bool {
        let Some(first) = request.first_execution else { return true };
        match request.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey(scope, window) => {
                // Guards against a repeat whose connection takes so long that the engine has already
                // forgotten the first execution.
                let arrives_by = now + self.settings.connect_timeout;
                self.is_in_scope(first, scope, index) && arrives_by < first.sent_at + window
            }
        }
    }

    /// Whether an engine drops repeats of a request that may have run at another engine.
    fn is_in_scope(&self, first: FirstExecution, scope: IdempotencyScope, index: usize) -> bool {
        let (first, engine) = (&self.engines[first.engine], &self.engines[index]);
        match scope {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => first.zone == engine.zone,
            IdempotencyScope::Rack => first.rack == engine.rack,
        }
    }
}
