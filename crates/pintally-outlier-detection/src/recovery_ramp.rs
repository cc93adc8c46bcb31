//! Recovery of an ejected engine: after its ejection time, one node of the fleet tries it, then a quarter of
//! the nodes use it, then all nodes.

use crate::settings::Settings;
use crate::Micros;

/// Each failure during recovery multiplies the ejection time by this.
const EJECTION_TIME_FACTOR: u64 = 2;

/// Without evidence the trial ends after this many ejection times.
const MAX_TRIAL_EJECTION_TIMES: u64 = 2;

/// At the partial step the engine is used by the number of nodes divided by this, rounded up.
const PARTIAL_STEP_DIVISOR: usize = 4;

/// A step of the recovery ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RampStep {
    /// No node may use the engine.
    Ejected,
    /// One node of the fleet may use the engine.
    Trial,
    /// A quarter of the nodes may use the engine.
    Partial,
    /// All nodes may use the engine. The last ejection time is remembered in case the engine fails again.
    Recovered,
}

impl RampStep {
    /// The name in the status document.
    pub(crate) fn name(self) -> &'static str {
        match self {
            RampStep::Ejected => "rests",
            RampStep::Trial => "on trial",
            RampStep::Partial => "a quarter",
            RampStep::Recovered => "back",
        }
    }
}

/// The fleet's evidence of an engine since its current ramp step began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RampEvidence {
    /// At least one node reports a failure.
    Failure,
    /// No node reports a failure, and at least one reports a success.
    Success,
    /// No node reports a failure or a success.
    NoReport,
}

/// Whether a ramp continues after its evidence was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RampProgress {
    /// The engine is still recovering.
    Recovering,
    /// The engine has recovered long enough ago for its ejection to be forgotten.
    Forgotten,
}

/// The recovery ramp of one engine, from its ejection until the ejection is forgotten.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecoveryRamp {
    pub(crate) step: RampStep,
    /// When the current step began.
    pub(crate) since: Micros,
    ejection_time: Micros,
}

impl RecoveryRamp {
    /// The ramp of an engine that is ejected now.
    pub(crate) fn new(now: Micros, settings: &Settings) -> RecoveryRamp {
        RecoveryRamp { step: RampStep::Ejected, since: now, ejection_time: settings.base_ejection_time }
    }

    /// Enters the next step if the time and the evidence since the current step began allow it. A failure
    /// after the ejection time ejects the engine again.
    pub(crate) fn advance(
        &mut self,
        now: Micros,
        evidence: RampEvidence,
        settings: &Settings,
    ) -> RampProgress {
        let elapsed = now.saturating_sub(self.since);
        match self.step {
            RampStep::Ejected => {
                if elapsed >= self.ejection_time {
                    self.enter(now, RampStep::Trial);
                }
            }
            _ if evidence == RampEvidence::Failure => self.eject_again(now, settings),
            RampStep::Trial => {
                // The trial also passes after a time without evidence, so that the ejection ends even if no
                // node has a request for the engine.
                let timeout = MAX_TRIAL_EJECTION_TIMES * self.ejection_time;
                if evidence == RampEvidence::Success || elapsed >= timeout {
                    self.enter(now, RampStep::Partial);
                }
            }
            RampStep::Partial => {
                if elapsed >= settings.ramp_step {
                    self.enter(now, RampStep::Recovered);
                }
            }
            RampStep::Recovered => {
                if elapsed >= settings.max_ejection_time {
                    return RampProgress::Forgotten;
                }
            }
        }
        RampProgress::Recovering
    }

    fn enter(&mut self, now: Micros, step: RampStep) {
        self.step = step;
        self.since = now;
    }

    fn eject_again(&mut self, now: Micros, settings: &Settings) {
        self.ejection_time = (EJECTION_TIME_FACTOR * self.ejection_time).min(settings.max_ejection_time);
        self.enter(now, RampStep::Ejected);
    }

    /// How many of `nodes` may use the engine at this step.
    pub(crate) fn admitted_nodes(&self, nodes: usize) -> usize {
        match self.step {
            RampStep::Ejected => 0,
            RampStep::Trial => 1,
            RampStep::Partial => nodes.div_ceil(PARTIAL_STEP_DIVISOR),
            RampStep::Recovered => nodes,
        }
    }
}
