//! Settings of outlier detection.

use pintally_validation::{ensure, InvalidConfiguration};

use crate::Micros;

/// Settings of outlier detection. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long evidence counts.
    pub evidence_retention: Micros,
    /// A node reports an engine after this many consecutive failures.
    pub consecutive_failures: u32,
    /// How many reliable nodes must report an engine; one is enough in a fleet of one or two nodes.
    pub min_reporters: usize,
    /// Time from an ejection to the trial; doubled each time the engine fails again.
    pub base_ejection_time: Micros,
    /// Upper bound of the doubled ejection time.
    pub max_ejection_time: Micros,
    /// Duration of a step of the recovery ramp.
    pub ramp_step: Micros,
    /// Greatest fraction of the engines of one kind that a node ejects at once.
    pub max_ejection_fraction: f64,
    /// If this fraction of the engines that a node uses fail for it, the cause is taken to be the node.
    pub local_fault_fraction: f64,
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
            local_fault_fraction: 0.5,
        }
    }
}

impl Settings {
    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// [`InvalidConfiguration`] names the violated rule.
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
        ensure((0.1..=1.0).contains(&self.local_fault_fraction), "one failure would tell of the node itself")
    }

    /// Failed attempts of the whole fleet until an engine is ejected, besides those made while the reports are
    /// still on their way.
    pub fn attempts_until_ejection(&self) -> u32 {
        self.consecutive_failures * self.min_reporters as u32
    }

    /// The longest time for which an engine that no node tries stays ejected after the last evidence.
    pub fn max_ejection_without_evidence(&self) -> Micros {
        self.evidence_retention + 2 * self.max_ejection_time + 2 * self.ramp_step
    }
}
