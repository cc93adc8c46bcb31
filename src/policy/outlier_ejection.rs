//! Outlier ejection: engines that fail get no new requests for some time, then one trial request at a time.

use super::Router;
use crate::interface::*;

/// The time for which an engine is ejected after its first failure; each further failure doubles it.
const BASE_EJECTION_TIME_US: Micros = 500_000;
/// The longest time for which a failing engine is ejected. Other observations of engines and links expire
/// or decay over the same time.
pub(super) const MAX_EJECTION_TIME_US: Micros = 8_000_000;
/// The ejection time is doubled at most this often: it is at its maximum by then.
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// The next failure after this many in a row is logged, once per series of failures.
const FAILURES_BEFORE_LOG: u32 = 2;

impl Router {
    /// Ejects an engine after a failure, whatever the cause: it may have stopped, be cut off or not answer.
    /// Each further failure in a row doubles the time without new requests.
    pub(super) fn record_failure(&mut self, now: Micros, index: usize, actions: &mut Vec<Action>) {
        let engine = &mut self.engines[index];
        if engine.consecutive_failures == FAILURES_BEFORE_LOG {
            actions.push(Action::Log(format!(
                "engine {} failed several times in a row and is ejected for a while",
                engine.id.0
            )));
        }
        let doublings = engine.consecutive_failures.min(MAX_EJECTION_DOUBLINGS);
        let ejection_time = (BASE_EJECTION_TIME_US << doublings).min(MAX_EJECTION_TIME_US);
        engine.consecutive_failures += 1;
        engine.ejected_until = engine.ejected_until.max(now + ejection_time);
    }

    /// Ends the ejection of an engine that has answered. An engine that refused connections before may have
    /// restarted without notice, so it enters slow start.
    pub(super) fn record_success(&mut self, now: Micros, index: usize) {
        let slow_start_duration = self.settings.slow_start_duration;
        if self.engines[index].unreachable {
            self.begin_slow_start(now, index, now + slow_start_duration);
        }
        let engine = &mut self.engines[index];
        engine.consecutive_failures = 0;
        engine.ejected_until = 0;
        engine.unreachable = false;
    }

    /// Whether an engine gets no new requests now: it is ejected, or its trial request is still waiting.
    pub(super) fn is_ejected(&self, now: Micros, index: usize) -> bool {
        let engine = &self.engines[index];
        let on_trial = engine.consecutive_failures > 0 && !engine.waiting.is_empty();
        now < engine.ejected_until || on_trial
    }
}
