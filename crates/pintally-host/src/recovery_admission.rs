//! Admission of requests while the node recovers after a start.

use pintally::interface::Micros;
use pintally_recovery::{Admission, Answer, Input, Output, Recovery, Stage, Status};

use crate::timers::{TimerEvent, TimerKey, Timers};

/// The node's recovery and its timer.
pub(crate) struct RecoveryAdmission {
    recovery: Recovery,
    timer: Option<TimerKey>,
    /// After a loss of power, the time since which all engines count as restarted.
    cold_since: Option<Micros>,
}

impl RecoveryAdmission {
    /// Admission by a recovery that begins.
    pub(crate) fn new(recovery: Recovery) -> RecoveryAdmission {
        RecoveryAdmission { recovery, timer: None, cold_since: None }
    }

    /// The state of the recovery.
    pub(crate) fn status(&self, now: Micros) -> Status {
        self.recovery.status(now)
    }

    /// The answer to a peer's query, without the version of this node's endpoint list.
    pub(crate) fn answer(&self, now: Micros) -> Answer {
        self.recovery.answer(now, None)
    }

    /// Whether the recovery is complete.
    pub(crate) fn is_complete(&self) -> bool {
        self.recovery.stage() == Stage::Serving
    }

    /// Handles an input.
    pub(crate) fn handle(&mut self, now: Micros, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.recovery.handle(now, input, &mut outputs);
        outputs
    }

    /// Handles the expiry of the timer.
    pub(crate) fn timer_expired(&mut self, now: Micros) -> Vec<Output> {
        self.timer = None;
        let mut outputs = Vec::new();
        self.recovery.tick(now, &mut outputs);
        outputs
    }

    /// Sets the timer to when the recovery has something to do.
    pub(crate) fn update_timer(&mut self, timers: &mut Timers) {
        let next = self.recovery.next_wake();
        if self.timer.map(TimerKey::at) == next {
            return;
        }
        if let Some(old) = self.timer.take() {
            timers.cancel(old);
        }
        self.timer = next.map(|at| timers.set(at, TimerEvent::Recovery));
    }

    /// Treats all engines as restarted now, even if the endpoint list states earlier start times.
    pub(crate) fn treat_engines_as_cold(&mut self, now: Micros) {
        self.cold_since = Some(now);
    }

    /// An engine's start time as it is announced to the core: no earlier than the loss of power.
    pub(crate) fn effective_start(&self, listed: Option<Micros>) -> Option<Micros> {
        listed.max(self.cold_since)
    }

    /// Whether a request of a class is admitted.
    pub(crate) fn admit(&mut self, now: Micros, class: Option<usize>) -> Admission {
        self.recovery.admit(now, class)
    }
}
