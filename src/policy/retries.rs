//! Retries: where a request may be sent, first or again.

use super::Router;
use crate::interface::*;
use crate::state::{FirstExecution, RequestState};

/// Attempts that a request still needs where its prompt is read first: the read and the write.
const ATTEMPTS_WITH_SEPARATE_READ: u32 = 2;
/// Attempts that it still needs where the engine writes the answer.
const ATTEMPTS_WITHOUT_READ: u32 = 1;

impl Router {
    /// The guard of every send: draining engines, slow start, idempotency, the limit of attempts,
    /// overlapping attempts and the time left.
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

    /// Whether a request that may have run before has no further effect at an engine.
    fn may_run_at(&self, now: Micros, request: &RequestState, index: usize) -> bool {
        let Some(first) = request.first_execution else { return true };
        match request.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey(scope, window) => {
                // Guards against a repeat that connects so late that its engine has forgotten the first.
                let arrives_by = now + self.settings.connect_timeout;
                self.is_in_scope(first, scope, index) && arrives_by < first.sent_at + window
            }
        }
    }

    /// Whether an engine drops repeats of what ran first elsewhere.
    fn is_in_scope(&self, first: FirstExecution, scope: IdempotencyScope, index: usize) -> bool {
        let (first, engine) = (&self.engines[first.engine], &self.engines[index]);
        match scope {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => first.zone == engine.zone,
            IdempotencyScope::Rack => first.rack == engine.rack,
        }
    }
}
