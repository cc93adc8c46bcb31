//! Load reports: delayed, noisy or wrong, as configured.

use std::collections::VecDeque;

use crate::faults::ReportAccuracy;
use crate::spec::LoadReporting;
use crate::Micros;

/// Load of an engine, as measured or as reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of running requests.
    pub running: f64,
    /// Number of waiting requests.
    pub waiting: f64,
    /// Share of memory that is held.
    pub memory: f64,
    /// Prompt tokens waiting to be read or fetched.
    pub backlog: f64,
}

/// Samples the load at an interval and reports an older sample.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadReporter {
    seen: VecDeque<(Micros, Report)>,
    last_report: Report,
}

impl LoadReporter {
    /// Records the load that applies from now on.
    pub(crate) fn record_load(&mut self, load_reporting: &LoadReporting, now: Micros, state: Report) {
        // Within one sampling interval only the last load counts.
        let slot = |at: Micros| at / load_reporting.every.max(1);
        match self.seen.back_mut() {
            Some(last) if slot(last.0) == slot(now) => *last = (now, state),
            _ => self.seen.push_back((now, state)),
        }
        let by = slot(now.saturating_sub(load_reporting.delay));
        while self.seen.len() > 1 && slot(self.seen[1].0) < by {
            self.seen.pop_front();
        }
    }

    /// Returns the load report; `draw` returns a new value from -1 to 1 for each figure.
    pub(crate) fn report(
        &mut self,
        load_reporting: &LoadReporting,
        now: Micros,
        how: ReportAccuracy,
        mut draw: impl FnMut() -> f64,
    ) -> Report {
        let slot = |at: Micros| at / load_reporting.every.max(1);
        let by = slot(now.saturating_sub(load_reporting.delay));
        let old = self.seen.iter().rev().find(|(at, _)| slot(*at) < by);
        let true_state = old.map_or(Report::default(), |(_, r)| *r);
        match how {
            ReportAccuracy::Stale => return self.last_report,
            ReportAccuracy::Idle => return Report::default(),
            ReportAccuracy::Full => return Report { running: 1e3, waiting: 1e3, memory: 1.0, backlog: 1e6 },
            ReportAccuracy::Honest => {}
        }
        let mut off =
            |v: f64| if load_reporting.noise > 0.0 { v * (1.0 + load_reporting.noise * draw()) } else { v };
        self.last_report = Report {
            running: off(true_state.running),
            waiting: off(true_state.waiting),
            memory: off(true_state.memory).min(1.0),
            backlog: off(true_state.backlog),
        };
        self.last_report
    }
}
