//! Settings of outlier detection.

use pintally_validation::{ensure, InvalidConfiguration};

use crate::Micros;

/// Settings of outlier detection. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long the outcome of an attempt counts as evidence.
    pub evidence_retention: Micros,
    /// A node reports an engine after this many consecutive failures.
    pub consecutive_failures: u32,
    /// An engine is ejected if this many reliable nodes report it; in a fleet of one or two nodes one is
    /// enough.
    pub min_reporters: usize,
    /// Time from an ejection to the trial. It is doubled each time the engine fails again during its
    /// recovery.
    pub base_ejection_time: Micros,
    /// Upper bound of the doubled ejection time.
    pub max_ejection_time: Micros,
    /// Duration of a step of the recovery ramp.
    pub ramp_step: Micros,
    /// The greatest fraction of the engines of one kind that a node ejects at once.
    pub max_ejection_fraction: f64,
    /// If at least this fraction of the engines that a node uses fail for it, the cause is taken to be the
    /// node.
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
    /// [`InvalidConfiguration`] states the first rule that is violated.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        ensure(self.consecutive_failures != 0, "`strikes` must be at least 1")?;
        ensure(self.min_reporters != 0, "`accusers` must be at least 1")?;
        ensure(
            self.evidence_retention >= 2 * self.ramp_step,
            "`memory-ms` must be at least twice `step-ms`: evidence must outlast a step of the recovery",
        )?;
        ensure(
            self.base_ejection_time != 0 && self.base_ejection_time <= self.max_ejection_time,
            "`rest-ms` must be above 0 and at most `rest-most-ms`",
        )?;
        ensure(
            (0.0..=0.9).contains(&self.max_ejection_fraction),
            "`most` must be between 0 and 0.9: some engines of a kind must remain in use",
        )?;
        ensure(
            (0.1..=1.0).contains(&self.local_fault_fraction),
            "`own` must be between 0.1 and 1: one failing engine must not discredit the node's reports",
        )
    }

    /// Failed attempts of the whole fleet until an engine is ejected, without those made while the reports
    /// are in transit.
    pub fn attempts_until_ejection(&self) -> u32 {
        self.consecutive_failures * self.min_reporters as u32
    }

    /// The longest time for which an engine that no node uses stays ejected after the last evidence.
    pub fn max_ejection_without_evidence(&self) -> Micros {
        self.evidence_retention + 2 * self.max_ejection_time + 2 * self.ramp_step
    }
}
