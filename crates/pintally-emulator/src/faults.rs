//! Faults of an engine.

use crate::Micros;

/// Accuracy of load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportAccuracy {
    /// Reports follow the engine's specification.
    #[default]
    Honest,
    /// The last report is repeated.
    Stale,
    /// Reports claim that the engine is idle.
    Idle,
    /// Reports claim that the engine is full.
    Full,
}

/// Active faults of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// Steps take this many times as long.
    pub slow: f64,
    /// Gradual ageing: from this time on, steps take longer by this share with each second.
    pub ageing: Option<(Micros, f64)>,
    /// Noisy neighbour: each step takes longer by a share drawn up to this value.
    pub noisy: f64,
    /// No step begins before this time.
    pub paused_until: Micros,
    /// Share of the read states whose private memory is never freed.
    pub leaks: f64,
    /// Share of the transfers to it that break half-way.
    pub breaks: f64,
    /// Accuracy of load reports.
    pub reports: ReportAccuracy,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            slow: 1.0,
            ageing: None,
            noisy: 0.0,
            paused_until: 0,
            leaks: 0.0,
            breaks: 0.0,
            reports: ReportAccuracy::Honest,
        }
    }
}

impl Faults {
    /// Factor on the duration of a step that begins now; `drawn` is from 0 to 1, for the noisy neighbour.
    pub(crate) fn factor(&self, now: Micros, drawn: f64) -> f64 {
        let aged = self.ageing.map_or(0.0, |(since, each)| now.saturating_sub(since) as f64 / 1e6 * each);
        self.slow * (1.0 + aged) * (1.0 + self.noisy * drawn)
    }
}
