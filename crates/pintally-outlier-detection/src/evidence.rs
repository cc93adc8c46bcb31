//! The latest evidence of one node about one engine.

use crate::observer::Fault;
use crate::report::{Observation, AGE_UNIT_MICROS};
use crate::settings::Settings;
use crate::Micros;

/// To report an engine for timeouts, a node must have seen this many times the usual number of consecutive
/// failures, since timeouts have many causes besides a faulty engine.
const TIMEOUT_THRESHOLD_FACTOR: u32 = 2;

/// Consecutive failures and successes of one engine as one node reported them. Times are on the local clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineEvidence {
    failures: u8,
    /// When the last failure was seen; 0 if none was.
    pub(crate) last_failure: Micros,
    successes: u8,
    /// When the last success was seen; 0 if none was.
    pub(crate) last_success: Micros,
    /// The kind of the last failure.
    pub(crate) fault: Option<Fault>,
}

impl EngineEvidence {
    /// Converts the ages of an observation that was received at `now` to times of the local clock. `u16::MAX`
    /// stands for an event that was never seen.
    pub(crate) fn received(now: Micros, observation: &Observation) -> EngineEvidence {
        let time_of = |age: u16| match age {
            u16::MAX => 0,
            age => now.saturating_sub(u64::from(age) * AGE_UNIT_MICROS),
        };
        EngineEvidence {
            failures: observation.failures,
            last_failure: time_of(observation.failure_age),
            successes: observation.successes,
            last_success: time_of(observation.success_age),
            fault: Fault::from_number(observation.fault),
        }
    }

    /// Whether the node's last attempt failed within the evidence retention, after enough consecutive
    /// failures to report the engine as an outlier.
    pub(crate) fn reports_failure(&self, now: Micros, settings: &Settings) -> bool {
        let threshold = match self.fault {
            Some(Fault::TimedOut) => TIMEOUT_THRESHOLD_FACTOR * settings.consecutive_failures,
            _ => settings.consecutive_failures,
        };
        u32::from(self.failures) >= threshold
            && self.last_failure > self.last_success
            && now.saturating_sub(self.last_failure) <= settings.evidence_retention
    }

    /// Whether the node's last attempt succeeded within the evidence retention.
    pub(crate) fn reports_success(&self, now: Micros, settings: &Settings) -> bool {
        self.successes > 0
            && self.last_success > self.last_failure
            && now.saturating_sub(self.last_success) <= settings.evidence_retention
    }
}
