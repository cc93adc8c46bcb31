//! The host's part in recovery: what it hears of engines goes in, what is let in comes out.

use pintally::interface::{EndpointState, EngineId, ListUpdate, Micros};
use pintally_recovery::{Admission, Answer, Input as Heard, Output, Recovery, Stage, Status};

use crate::host::Host;
use crate::input::{Command, EngineEndpoint, IncomingRequest};
use crate::timers::{TimerEvent, TimerKey};

/// A node's recovery, its timer, and since when engines count as started anew.
pub(crate) struct Recovering {
    pub(crate) machine: Recovery,
    due: Option<TimerKey>,
    cold_since: Option<Micros>,
}

impl Host {
    /// The same host on its way back after a start. Without this it takes whatever comes.
    pub fn with_recovery(mut self, machine: Recovery) -> Host {
        self.recovering = Some(Recovering { machine, due: None, cold_since: None });
        self.wake_recovery();
        self
    }

    /// Where the recovery stands, if there is one.
    pub fn recovery_status(&self, now: Micros) -> Option<Status> {
        self.recovering.as_ref().map(|r| r.machine.status(now))
    }

    /// Answers a second that its cores have had from one warm engine of each role.
    pub fn service_rates(&self) -> [f64; 3] {
        let mut most = [0.0f64; 3];
        for told in self.routers.values().map(pintally::Router::service_rates) {
            most.iter_mut().zip(told).for_each(|(m, t)| *m = m.max(t));
        }
        most
    }

    /// What the node says when a peer asks it; which list it holds, the caller knows.
    pub fn recovery_answer(&self, now: Micros) -> Option<Answer> {
        self.recovering.as_ref().map(|r| r.machine.answer(now, None))
    }

    /// Takes something in, and does what comes of it.
    pub(crate) fn recover(&mut self, now: Micros, input: Heard, out: &mut Vec<Command>) {
        let mut told = Vec::new();
        let Some(recovering) = &mut self.recovering else { return };
        recovering.machine.handle(now, input, &mut told);
        self.recovered(now, told, out);
    }

    pub(crate) fn recovery_due(&mut self, now: Micros, out: &mut Vec<Command>) {
        let mut told = Vec::new();
        let Some(recovering) = &mut self.recovering else { return };
        recovering.due = None;
        recovering.machine.tick(now, &mut told);
        self.recovered(now, told, out);
    }

    fn recovered(&mut self, now: Micros, told: Vec<Output>, out: &mut Vec<Command>) {
        for one in told {
            match one {
                Output::QueryPeer(peer) => out.push(Command::QueryPeer(peer)),
                Output::Stage(stage) => out.push(Command::RecoveryStage(stage)),
                Output::TreatEnginesAsCold => self.presume_cold(now, out),
            }
        }
        self.wake_recovery();
    }

    fn wake_recovery(&mut self) {
        let Some(recovering) = &mut self.recovering else { return };
        let next = recovering.machine.next_wake();
        if recovering.due.map(TimerKey::at) == next {
            return;
        }
        if let Some(old) = recovering.due.take() {
            self.timers.cancel(old);
        }
        recovering.due = next.map(|at| self.timers.set(at, TimerEvent::Recovery));
    }

    /// Guards against a core that takes engines for warm, and texts for kept, which a power loss has
    /// made cold and empty while the list still tells of their former start.
    fn presume_cold(&mut self, now: Micros, out: &mut Vec<Command>) {
        if let Some(recovering) = &mut self.recovering {
            recovering.cold_since = Some(now);
        }
        let all: Vec<EngineEndpoint> =
            self.members.values().filter(|l| l.endpoint.state != EndpointState::Gone).cloned().collect();
        if !all.is_empty() {
            self.list(now, ListUpdate::Delta, all, out);
        }
    }

    /// An engine's start as the core is to be told: no earlier than the loss of power.
    pub(crate) fn started(&self, told: Option<Micros>) -> Option<Micros> {
        let presumed = self.recovering.as_ref().and_then(|r| r.cold_since);
        told.max(presumed)
    }

    /// The list has changed: recovery counts engines that take work.
    pub(crate) fn recount(&mut self, now: Micros, out: &mut Vec<Command>) {
        if self.recovering.is_some() {
            let (serving, fresh) = (self.serving_near(), self.list_fresh);
            self.recover(now, Heard::EndpointsListed(serving, fresh), out);
        }
    }

    /// An engine has answered, or could not be reached.
    pub(crate) fn heard_engine(
        &mut self,
        now: Micros,
        engine: &EngineId,
        there: bool,
        out: &mut Vec<Command>,
    ) {
        if !self.is_near(engine) {
            return;
        }
        if self.recovering.as_ref().is_some_and(|r| r.machine.stage() != Stage::Serving) {
            let heard = if there {
                Heard::EngineAnswered(engine.clone())
            } else {
                Heard::EngineUnreachable(engine.clone())
            };
            self.recover(now, heard, out);
        }
    }

    /// Whether a request may come in; if not, when it may come again.
    pub(crate) fn kept_out(&mut self, now: Micros, arrival: &IncomingRequest) -> Option<Option<Micros>> {
        let recovering = self.recovering.as_mut()?;
        match recovering.machine.admit(now, arrival.class) {
            Admission::Admit => None,
            Admission::Reject(after) => Some(after),
        }
    }
}
