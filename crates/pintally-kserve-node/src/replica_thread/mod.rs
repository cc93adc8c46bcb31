//! The thread of this node's replica. Votes and the log are written to disk before anything that depends on
//! them is sent. The leader also grants leases of the fleet's limits. No request waits for this thread.

mod commands;
mod state_file;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use pintally::interface::Micros;
use pintally_config::{ConsensusSettings, QuotaSettings};
use pintally_consensus::{Message, Output, Replica, ReplicaName};
use pintally_quota::{LeaderGranter, LeaseGrant, LeaseRequest};
use pintally_transport::Waker;
use tracing::info;

use crate::operator_command::{CommandAnswer, OperatorCommand};
use crate::shared::Shared;
use crate::sync::lock;

use self::commands::PendingCommands;
use self::state_file::StateFile;

/// How often the status documents of the replica and of the lease granter are refreshed.
const STATUS_INTERVAL_US: Micros = 100_000;

/// A lease holder: one incarnation of a node.
#[derive(Clone, Debug)]
pub(crate) struct LeaseHolder {
    /// The node's name.
    pub(crate) name: String,
    /// The nonce of the incarnation, which distinguishes the process from others with the same node name.
    pub(crate) nonce: u64,
}

/// An input for the replica.
pub(crate) enum ReplicaInput {
    /// Another replica's message, encoded.
    Message { from: ReplicaName, bytes: Vec<u8> },
    /// A holder's lease requests.
    LeaseRequests { holder: LeaseHolder, requests: Vec<LeaseRequest> },
    /// An operator's command, and the sender for its answer.
    Command { command: OperatorCommand, answer: Sender<CommandAnswer> },
}

/// An output of the replica for the fleet thread.
pub(crate) enum ReplicaOutput {
    /// A message for another replica, encoded.
    Message { to: ReplicaName, bytes: Vec<u8> },
    /// Leases granted to a holder.
    Grants { holder: LeaseHolder, grants: Vec<LeaseGrant> },
    /// This replica became the leader in a term, or is no longer the leader (`None`).
    LeadershipChanged { term: Option<u64> },
}

/// The sender of the replica's outputs, and the waker of the thread that receives them.
pub(crate) struct ReplicaOutputs {
    pub(crate) sender: Sender<ReplicaOutput>,
    pub(crate) waker: Waker,
}

impl ReplicaOutputs {
    /// Sends an output; it is dropped, like a lost datagram, if the channel is full.
    fn send(&self, output: ReplicaOutput) {
        let _ = self.sender.try_send(output);
        self.waker.wake();
    }
}

/// The state of the replica's thread.
struct ReplicaThread<'a> {
    shared: &'a Arc<Shared>,
    replica: Replica,
    state_file: StateFile,
    /// Grants leases while this replica leads.
    granter: Option<LeaderGranter>,
    outputs: ReplicaOutputs,
    commands: PendingCommands,
    /// The term last sent to the fleet thread in [`ReplicaOutput::LeadershipChanged`].
    published_term: Option<u64>,
    status_published_at: Micros,
}

/// Runs until the node ends.
pub(crate) fn run(
    shared: &Arc<Shared>,
    settings: &ConsensusSettings,
    seed: u64,
    inputs: &Receiver<ReplicaInput>,
    outputs: ReplicaOutputs,
) {
    let (state_file, saved) = StateFile::open(shared.settings.recovery.as_ref());
    let consensus = settings.replica_settings(&shared.settings.name);
    let now = shared.clock.now();
    let mut thread = ReplicaThread {
        shared,
        replica: Replica::new(consensus, saved.bytes.as_deref(), saved.clean, seed, now),
        state_file,
        granter: shared.settings.quotas.as_ref().map(new_granter),
        outputs,
        commands: PendingCommands::default(),
        published_term: None,
        status_published_at: 0,
    };
    while !shared.is_dead() && !shared.is_closing() {
        let wake = thread.replica.next_wake().min(shared.clock.now() + STATUS_INTERVAL_US);
        match inputs.recv_deadline(shared.clock.instant(wake)) {
            Ok(input) => thread.handle(input),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        thread.tick();
    }
}

fn new_granter(quotas: &QuotaSettings) -> LeaderGranter {
    let limits = quotas.limits.iter().map(|limit| (limit.id(), limit.limit()));
    LeaderGranter::new(quotas.allocation, limits.collect())
}

impl ReplicaThread<'_> {
    fn handle(&mut self, input: ReplicaInput) {
        let now = self.shared.clock.now();
        let mut out = Vec::new();
        match input {
            ReplicaInput::Message { from, bytes } => {
                let Ok(message) = postcard::from_bytes::<Message>(&bytes) else { return };
                self.replica.receive(now, &from, message, &mut out);
            }
            ReplicaInput::LeaseRequests { holder, requests } => return self.grant_leases(holder, &requests),
            ReplicaInput::Command { command, answer } => {
                self.handle_command(now, command, answer, &mut out);
            }
        }
        self.carry_out(out);
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        let mut out = Vec::new();
        if self.replica.next_wake() <= now {
            self.replica.tick(now, &mut out);
        }
        self.carry_out(out);
        self.update_leadership(now);
        if now >= self.status_published_at + STATUS_INTERVAL_US {
            self.status_published_at = now;
            *lock(&self.shared.fleet.consensus_status) = Some(self.replica.status(now));
            *lock(&self.shared.fleet.granted_pools) = self.granter.as_ref().and_then(LeaderGranter::status);
        }
    }

    /// Starts granting leases when this replica becomes the leader, and stops when it is no longer the
    /// leader. Notifies the fleet thread of the change.
    fn update_leadership(&mut self, now: Micros) {
        let leadership = self.replica.leadership(now).filter(|_| self.state_file.is_durable());
        let term = leadership.map(|(term, _)| term);
        if self.granter.as_mut().is_some_and(|granter| granter.set_leadership(now, term)) {
            self.apply_store();
        }
        if term == self.published_term {
            return;
        }
        self.published_term = term;
        match term {
            Some(term) => info!(term, "replica became leader"),
            None => info!("replica is no longer leader"),
        }
        self.outputs.send(ReplicaOutput::LeadershipChanged { term });
    }

    fn grant_leases(&mut self, holder: LeaseHolder, requests: &[LeaseRequest]) {
        // Guards against granting leases after a pause of the process during which the leadership ended.
        let now = self.shared.clock.now();
        self.update_leadership(now);
        let Some(granter) = &mut self.granter else { return };
        let grants = granter.grant(now, &holder.name, holder.nonce, requests);
        if !grants.is_empty() {
            self.outputs.send(ReplicaOutput::Grants { holder, grants });
        }
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for output in out {
            if let Output::Save(bytes) = output {
                self.state_file.set(bytes);
                continue;
            }
            // Guards against sending a vote or a confirmation that a loss of power would undo.
            if self.state_file.flush() {
                self.carry_out_durable(output);
            } else if let Output::ProposalApplied(number, _) = output {
                let message = "this keeper's disk does not take it: ask whether it was made";
                self.commands.answer(number, CommandAnswer::rejected(message));
            }
        }
    }

    /// Carries out an output when the state that it depends on is durable.
    fn carry_out_durable(&mut self, output: Output) {
        match output {
            Output::Save(bytes) => self.state_file.set(bytes),
            Output::Send(to, message) => {
                if let Ok(bytes) = postcard::to_stdvec(&message) {
                    self.outputs.send(ReplicaOutput::Message { to, bytes });
                }
            }
            Output::ProposalApplied(number, Ok(_)) => {
                self.commands.answer(number, CommandAnswer::done("made"));
            }
            Output::ProposalApplied(number, Err(version)) => {
                let message = format!("version {version} stands in its way");
                self.commands.answer(number, CommandAnswer::rejected(message));
            }
            Output::ProposalRejected(number, reason) => {
                self.commands.answer(number, CommandAnswer::rejected(reason.to_string()));
            }
            Output::StateChanged => self.apply_store(),
        }
    }
}
