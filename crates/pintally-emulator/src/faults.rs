//! What is wrong with an engine at the moment.

use crate::Micros;

/// How load reports are made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportAccuracy {
    /// As the engine's figures say.
    #[default]
    Honest,
    /// The last one is repeated.
    Stale,
    /// They say that the engine idles.
    Idle,
    /// They say that it is full.
    Full,
}

/// What is wrong with an engine at the moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// Steps take this many times as long.
    pub slow: f64,
    /// Slower by this share of itself with each second from then on: slow ageing.
    pub ageing: Option<(Micros, f64)>,
    /// A neighbour takes up to this share of each step besides, drawn anew for each.
    pub noisy: f64,
    /// No step begins before this time.
    pub paused_until: Micros,
    /// Share of the read states whose memory is never given back.
    pub leaks: f64,
    /// Share of the transfers to it that break half-way.
    pub breaks: f64,
    /// How load reports are made.
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
    /// How many times as long a step takes that begins now, with a draw from 0 to 1 for the neighbour.
    pub(crate) fn factor(&self, now: Micros, drawn: f64) -> f64 {
        let aged = self.ageing.map_or(0.0, |(since, each)| now.saturating_sub(since) as f64 / 1e6 * each);
        self.slow * (1.0 + aged) * (1.0 + self.noisy * drawn)
    }
}
