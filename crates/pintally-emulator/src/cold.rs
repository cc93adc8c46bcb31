//! Cold start: an engine is slow at first and crashes if too much work is sent at once.

use std::collections::VecDeque;

use crate::spec::ColdStart;
use crate::Micros;

/// Warm-up progress of an engine, and the work sent to it while it was cold.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmUp {
    since: Option<Micros>,
    sent: VecDeque<(Micros, f64)>,
}

impl WarmUp {
    /// Begins a cold start.
    pub(crate) fn start(&mut self, now: Micros) {
        self.since = Some(now);
        self.sent.clear();
    }

    /// Current share of the full speed.
    pub(crate) fn share(&self, cold: Option<&ColdStart>, now: Micros) -> f64 {
        let (Some(cold), Some(since)) = (cold, self.since) else { return 1.0 };
        let age = now.saturating_sub(since) as f64 / cold.warm_after.max(1) as f64;
        (cold.initial_capacity + (1.0 - cold.initial_capacity) * age).min(1.0)
    }

    /// Records work, in microseconds at full speed; returns whether the engine is overloaded by it.
    pub(crate) fn sent(&mut self, cold: Option<&ColdStart>, now: Micros, work: f64) -> bool {
        let share = self.share(cold, now);
        let Some(cold) = cold.filter(|_| share < 1.0) else {
            self.sent.clear();
            return false;
        };
        self.sent.push_back((now, work));
        while self.sent.front().is_some_and(|(at, _)| at + cold.overload_window < now) {
            self.sent.pop_front();
        }
        let all: f64 = self.sent.iter().map(|s| s.1).sum();
        // The largest piece of work is tolerated in addition, because arrivals are random.
        let most = self.sent.iter().map(|s| s.1).fold(0.0, f64::max);
        all > cold.overload_factor * share * cold.overload_window as f64 + most
    }
}
