//! What operators are shown of slow starts: a line of the log at the beginning and the end of each, and
//! counters.

use super::Router;
use crate::interface::*;
use crate::state::{AttemptKind, SlowStartChange};

impl Router {
    /// Logs the slow starts that have begun or ended since the last call.
    pub(super) fn log_slow_starts(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for index in 0..self.engines.len() {
            match self.engines[index].slow_start.unlogged {
                Some(SlowStartChange::Began) => {
                    actions.push(Action::Log(self.slow_start_began_text(now, index)));
                    self.engines[index].slow_start.unlogged = Some(SlowStartChange::Ended);
                }
                Some(SlowStartChange::Ended) if now >= self.engines[index].warming_up_until => {
                    actions.push(Action::Log(self.slow_start_ended_text(now, index)));
                    self.engines[index].slow_start.unlogged = None;
                }
                _ => {}
            }
        }
    }

    fn slow_start_began_text(&self, now: Micros, index: usize) -> String {
        let engine = &self.engines[index];
        format!(
            "slow start began: engine={} remaining_ms={} budget={:.3} service_rate={:.3} \
             relative_capacity={:.2} nodes={}",
            engine.id.0,
            engine.warming_up_until.saturating_sub(now) / 1_000,
            self.usable_slow_start_budget(index),
            self.service_rate(AttemptKind::of_role(engine.role)),
            self.relative_capacity(engine),
            self.node_count(),
        )
    }

    fn slow_start_ended_text(&self, now: Micros, index: usize) -> String {
        let engine = &self.engines[index];
        let record = &engine.slow_start;
        format!(
            "slow start ended: engine={} duration_ms={} sent={} withheld={}",
            engine.id.0,
            now.saturating_sub(record.began_at) / 1_000,
            record.sent,
            record.withheld.get(),
        )
    }

    /// Counts that a decision leaves an engine out because of its budget.
    pub(super) fn record_withheld(&self, index: usize) {
        let withheld = &self.engines[index].slow_start.withheld;
        withheld.set(withheld.get() + 1);
    }
}
