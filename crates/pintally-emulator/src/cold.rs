//! A cold start: slow at first, and over if too much comes at once.

use std::collections::VecDeque;

use crate::spec::ColdStart;
use crate::Micros;

/// An engine's warmth, and what has been sent to it while it was cold.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmUp {
    since: Option<Micros>,
    sent: VecDeque<(Micros, f64)>,
}

impl WarmUp {
    /// It starts now.
    pub(crate) fn start(&mut self, now: Micros) {
        self.since = Some(now);
        self.sent.clear();
    }

    /// The share of its speed that it has.
    pub(crate) fn share(&self, cold: Option<&ColdStart>, now: Micros) -> f64 {
        let (Some(cold), Some(since)) = (cold, self.since) else { return 1.0 };
        let age = now.saturating_sub(since) as f64 / cold.warm_after.max(1) as f64;
        (cold.initial_capacity + (1.0 - cold.initial_capacity) * age).min(1.0)
    }

    /// Work of so many microseconds of full speed has come; whether that was too much.
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
        // One piece of work is the slack for chance.
        let most = self.sent.iter().map(|s| s.1).fold(0.0, f64::max);
        all > cold.overload_factor * share * cold.overload_window as f64 + most
    }
}
