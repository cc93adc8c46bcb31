//! The figures of verdicts.

use pintally_validation::{ensure, InvalidConfiguration};

use crate::Micros;

/// The figures of verdicts. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Evidence counts for so long.
    pub evidence_retention: Micros,
    /// A node accuses after so many failures that no success has followed.
    pub consecutive_failures: u32,
    /// So many sound nodes must accuse; in a fleet of one or two, one.
    pub min_reporters: usize,
    /// An engine that is held back rests for so long before its trial; doubled each time it fails again.
    pub base_ejection_time: Micros,
    /// And no longer than this.
    pub max_ejection_time: Micros,
    /// How long a step of the way back lasts.
    pub ramp_step: Micros,
    /// Of the engines of one kind no more than this part is held back at once.
    pub max_ejection_fraction: f64,
    /// From this part of the engines that a node uses on, its failures tell of itself.
    pub self_doubt_fraction: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            evidence_retention: 5_000_000,
            consecutive_failures: 2,
            min_reporters: 2,
            base_ejection_time: 1_000_000,
            max_ejection_time: 16_000_000,
            ramp_step: 1_000_000,
            max_ejection_fraction: 0.5,
            self_doubt_fraction: 0.5,
        }
    }
}

impl Settings {
    /// Checks that the figures go together.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        ensure(self.consecutive_failures != 0, "no failure at all accuses an engine")?;
        ensure(self.min_reporters != 0, "nobody needs to accuse an engine")?;
        ensure(
            self.evidence_retention >= 2 * self.ramp_step,
            "evidence is forgotten within a step of the way back",
        )?;
        ensure(
            self.base_ejection_time != 0 && self.base_ejection_time <= self.max_ejection_time,
            "the rest is nothing, or over its most",
        )?;
        ensure(
            (0.0..=0.9).contains(&self.max_ejection_fraction),
            "nearly all engines of a kind could be held back",
        )?;
        ensure((0.1..=1.0).contains(&self.self_doubt_fraction), "one failure would tell of the node itself")
    }

    /// Failed attempts that the whole fleet pays until an engine is held back, beside what is sent while
    /// the reports are on their way.
    pub fn price(&self) -> u32 {
        self.consecutive_failures * self.min_reporters as u32
    }

    /// The longest time for which a verdict outlives all evidence: nobody tries the engine, and it comes
    /// back by itself.
    pub fn max_ejection_time(&self) -> Micros {
        self.evidence_retention + 2 * self.max_ejection_time + 2 * self.ramp_step
    }
}
