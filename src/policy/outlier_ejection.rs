//! Outlier ejection: engines that fail get no new work for a while, then one trial at a time.

use super::Router;
use crate::interface::*;

/// First time for which a failing engine is ejected; each further failure doubles it.
const BASE_EJECTION_TIME_US: Micros = 500_000;
/// Longest time for which a failing engine is ejected. Other findings about an engine or a link are
/// forgotten at the same pace.
pub(super) const MAX_EJECTION_TIME_US: Micros = 8_000_000;
/// The ejection time is not doubled more often than this: it is at its maximum by then.
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// This many failures in a row are logged, once for each series.
const FAILURES_BEFORE_LOG: u32 = 2;

impl Router {
    /// Guards against engines that are dead, cut off or silent, whatever the cause: each failure in
    /// a row doubles the time for which the engine gets trial requests only.
    pub(super) fn record_failure(&mut self, now: Micros, index: usize, actions: &mut Vec<Action>) {
        let engine = &mut self.engines[index];
        if engine.consecutive_failures == FAILURES_BEFORE_LOG {
            actions.push(Action::Log(format!("engine {} fails: left alone for a while", engine.id.0)));
        }
        let doublings = engine.consecutive_failures.min(MAX_EJECTION_DOUBLINGS);
        let ejection_time = (BASE_EJECTION_TIME_US << doublings).min(MAX_EJECTION_TIME_US);
        engine.consecutive_failures += 1;
        engine.ejected_until = engine.ejected_until.max(now + ejection_time);
    }

    /// An engine has answered. One that was unreachable before may have restarted unseen.
    pub(super) fn record_success(&mut self, now: Micros, index: usize) {
        let slow_start_duration = self.settings.slow_start_duration;
        let engine = &mut self.engines[index];
        if engine.unreachable {
            engine.warming_up_until = engine.warming_up_until.max(now + slow_start_duration);
        }
        engine.consecutive_failures = 0;
        engine.ejected_until = 0;
        engine.unreachable = false;
    }

    /// Whether an engine gets no new requests now: it is ejected, or its trial is still under way.
    pub(super) fn is_ejected(&self, now: Micros, index: usize) -> bool {
        let engine = &self.engines[index];
        let on_trial = engine.consecutive_failures > 0 && !engine.pending.is_empty();
        now < engine.ejected_until || on_trial
    }
}
