//! Collects the output of one event and returns it in the order in which the caller has to carry it out.

use crate::message::Message;
use crate::output::Output;
use crate::persistence::PersistentState;
use crate::ReplicaName;

/// The output of the current event.
#[derive(Clone, Default)]
pub(super) struct Outbox {
    save_requested: bool,
    state_changed: bool,
    messages: Vec<(ReplicaName, Message)>,
    proposal_results: Vec<Output>,
}

impl Outbox {
    /// Requests that the persistent state, which has changed, is saved before any message is sent.
    pub(super) fn request_save(&mut self) {
        self.save_requested = true;
    }

    /// Reports that the store or the set of replicas has changed.
    pub(super) fn notify_change(&mut self) {
        self.state_changed = true;
    }

    pub(super) fn send(&mut self, to: ReplicaName, message: Message) {
        self.messages.push((to, message));
    }

    /// Reports the result of a proposal. It is returned after the messages.
    pub(super) fn report(&mut self, result: Output) {
        self.proposal_results.push(result);
    }

    /// Moves everything to `out`. The state to save comes first, because the messages rely on it being
    /// durable.
    pub(super) fn flush(&mut self, persistent: &PersistentState, out: &mut Vec<Output>) {
        if std::mem::take(&mut self.save_requested) {
            out.push(Output::Save(persistent.encode()));
        }
        out.extend(self.messages.drain(..).map(|(to, message)| Output::Send(to, message)));
        out.append(&mut self.proposal_results);
        if std::mem::take(&mut self.state_changed) {
            out.push(Output::StateChanged);
        }
    }
}
