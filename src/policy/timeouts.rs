//! How long an attempt may take before the request is sent to another engine.

use super::admission::TARGET_FRACTION;
use super::Router;
use crate::interface::*;
use crate::state::{AttemptKind, RequestState};

/// An attempt may take this many times its usual time before it is given up for another engine.
const TIMEOUT_FACTOR: f64 = 4.0;
/// The usual time counts as known from this many samples on.
const MIN_TIMEOUT_SAMPLES: u32 = 5;

impl Router {
    /// The time-out of the next attempt. It guards against engines that fall silent. What might have
    /// run and must not run twice has the whole time: giving it up early would gain nothing. A node that
    /// sees little of the fleet knows of no better reader, and a read that it moves is done twice and
    /// crowds out what others have in the cache.
    pub(super) fn attempt_timeout(
        &self,
        now: Micros,
        request: &RequestState,
        kind: AttemptKind,
        unread_tokens: f64,
    ) -> Micros {
        let remaining = request.deadline.saturating_sub(now);
        let repeatable = kind == AttemptKind::Read || request.idempotency == Idempotency::Idempotent;
        if !repeatable || (kind == AttemptKind::Read && self.is_blind()) {
            return remaining;
        }
        match self.patience(kind, unread_tokens) {
            Some(patience) if request.attempts + 2 < self.settings.max_attempts => patience.min(remaining),
            Some(_) => remaining,
            None => (request.objective_at.saturating_sub(now) / 2).clamp(remaining / 4, remaining),
        }
    }

    /// Time after which an attempt is better made elsewhere, once enough durations are known.
    fn patience(&self, kind: AttemptKind, tokens: f64) -> Option<Micros> {
        let pool = self.pool(kind);
        if pool.samples < MIN_TIMEOUT_SAMPLES {
            return None;
        }
        let usual = (pool.unit_time + pool.unit_time_deviation) * pool.units_of_work(tokens);
        Some(usual.mul_add(TIMEOUT_FACTOR, self.tightest_objective() * TARGET_FRACTION) as Micros)
    }
}
