//! Connects the host to the recovery after a start: passes observations of engines to it and executes its outputs.

use pintally::interface::{EndpointState, EngineId, ListUpdate};
use pintally_recovery::{Input, Output};

use super::Host;
use crate::command::Command;
use crate::input::EngineEndpoint;

impl Host {
    /// Passes an input to the recovery and executes its outputs.
    pub(super) fn handle_recovery(&mut self, input: Input, out: &mut Vec<Command>) {
        let Some(recovery) = &mut self.recovery else { return };
        let outputs = recovery.handle(self.now, input);
        self.execute_recovery_outputs(outputs, out);
    }

    pub(super) fn on_recovery_timer(&mut self, out: &mut Vec<Command>) {
        let Some(recovery) = &mut self.recovery else { return };
        let outputs = recovery.timer_expired(self.now);
        self.execute_recovery_outputs(outputs, out);
    }

    /// Notifies the recovery of the serving engines after a change of the endpoint list.
    pub(super) fn report_endpoints_to_recovery(&mut self, out: &mut Vec<Command>) {
        if self.recovery.is_none() {
            return;
        }
        // Engines of other zones are left out: a node that never contacts them would count as cold forever.
        let in_home_zone = self.endpoints.serving().filter(|engine| self.is_in_home_zone(engine));
        let serving: Vec<EngineId> = in_home_zone.cloned().collect();
        let is_confirmed = self.endpoints.is_confirmed();
        self.handle_recovery(Input::EndpointsListed(serving, is_confirmed), out);
    }

    /// Notifies the recovery that an engine has answered.
    pub(super) fn report_answer_to_recovery(&mut self, engine: &EngineId, out: &mut Vec<Command>) {
        if self.is_relevant_for_recovery(engine) {
            self.handle_recovery(Input::EngineAnswered(engine.clone()), out);
        }
    }

    /// Notifies the recovery that an engine could not be reached.
    pub(super) fn report_unreachable_to_recovery(&mut self, engine: &EngineId, out: &mut Vec<Command>) {
        if self.is_relevant_for_recovery(engine) {
            self.handle_recovery(Input::EngineUnreachable(engine.clone()), out);
        }
    }

    fn is_relevant_for_recovery(&self, engine: &EngineId) -> bool {
        let is_recovering = self.recovery.as_ref().is_some_and(|recovery| !recovery.is_complete());
        is_recovering && self.is_in_home_zone(engine)
    }

    /// Whether an engine is in this node's zone; without zones, all engines are.
    fn is_in_home_zone(&self, engine: &EngineId) -> bool {
        self.zones.as_ref().is_none_or(|zones| zones.is_in_home_zone(engine))
    }

    fn execute_recovery_outputs(&mut self, outputs: Vec<Output>, out: &mut Vec<Command>) {
        for output in outputs {
            match output {
                Output::QueryPeer(peer) => out.push(Command::QueryPeer(peer)),
                Output::StageEntered(stage) => out.push(Command::RecoveryStage(stage)),
                Output::TreatEnginesAsCold => self.treat_engines_as_cold(out),
            }
        }
        if let Some(recovery) = &mut self.recovery {
            recovery.update_timer(&mut self.timers);
        }
    }

    /// Announces to the cores that all engines restart now. After a power loss, engines are cold and their caches
    /// empty, but the list still shows their former start times: the cores would take the engines for warm and
    /// prefixes for cached.
    fn treat_engines_as_cold(&mut self, out: &mut Vec<Command>) {
        if let Some(recovery) = &mut self.recovery {
            recovery.treat_engines_as_cold(self.now);
        }
        let is_present = |listed: &&EngineEndpoint| listed.endpoint.state != EndpointState::Gone;
        let present: Vec<EngineEndpoint> = self.endpoints.endpoints().filter(is_present).cloned().collect();
        if !present.is_empty() {
            self.update_endpoints(ListUpdate::Delta, present, out);
        }
    }
}
