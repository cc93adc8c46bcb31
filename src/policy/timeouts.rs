//! Timeouts: how long an attempt may take before the request is sent to another engine.

use super::admission::TARGET_FRACTION;
use super::Router;
use crate::interface::*;
use crate::state::{AttemptKind, RequestState};

/// An attempt may take this many times its usual time before the request is sent to another engine.
const TIMEOUT_FACTOR: f64 = 4.0;
/// The number of samples from which on the usual time counts as known.
const MIN_TIMEOUT_SAMPLES: u32 = 5;

impl Router {
    /// The timeout of the next attempt, which guards against engines that stop answering. An attempt that may
    /// run a request that is not idempotent gets all of the remaining time, because giving it up early would
    /// gain nothing. So does a read by a node that sees next to nothing of the fleet: the node
    /// knows of no better reader, and a read that it moves is done twice and evicts cached prefixes of other
    /// requests.
    pub(super) fn attempt_timeout(
        &self,
        now: Micros,
        request: &RequestState,
        kind: AttemptKind,
        unread_tokens: f64,
    ) -> Micros {
        let remaining = request.deadline.saturating_sub(now);
        let repeatable = kind == AttemptKind::Read || request.idempotency == Idempotency::Idempotent;
        if !repeatable || (kind == AttemptKind::Read && self.has_negligible_visibility()) {
            return remaining;
        }
        match self.early_timeout(kind, unread_tokens) {
            Some(timeout) if request.attempts + 2 < self.settings.max_attempts => timeout.min(remaining),
            Some(_) => remaining,
            None => (request.first_token_due_at.saturating_sub(now) / 2).clamp(remaining / 4, remaining),
        }
    }

    /// The time after which another engine is a better choice, once enough durations are known.
    fn early_timeout(&self, kind: AttemptKind, tokens: f64) -> Option<Micros> {
        let pool = self.pool(kind);
        if pool.samples < MIN_TIMEOUT_SAMPLES {
            return None;
        }
        let usual = (pool.unit_time + pool.unit_time_deviation) * pool.units_of_work(tokens);
        Some(usual.mul_add(TIMEOUT_FACTOR, self.tightest_objective() * TARGET_FRACTION) as Micros)
    }
}
