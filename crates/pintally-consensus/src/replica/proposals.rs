//! Proposals: how they are appended to the leader's log, and how committed entries are applied to the
//! store.

use crate::log::LogCommand;
use crate::output::{Output, ProposalError};
use crate::store::Write;
use crate::Micros;

use super::Replica;

/// The maximum number of pending proposals at a leader.
const MAX_PENDING_PROPOSALS: usize = 256;

/// A proposal whose entry is not committed yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingProposal {
    /// The term of its entry.
    pub(super) term: u64,
    /// The number by which the caller identifies it.
    pub(super) number: u64,
}

impl Replica {
    /// Proposes a write to the store. The result is returned as [`Output::ProposalApplied`] or
    /// [`Output::ProposalRejected`] with `number`, now or after a later event.
    pub fn propose(&mut self, now: Micros, number: u64, write: Write, out: &mut Vec<Output>) {
        if !write.is_within_bounds() {
            return out.push(Output::ProposalRejected(number, ProposalError::OutOfBounds));
        }
        self.append_proposal(now, number, LogCommand::Write(write), out);
    }

    /// Appends a proposal to the log if this replica is the leader and has capacity for it.
    pub(super) fn append_proposal(
        &mut self,
        now: Micros,
        number: u64,
        command: LogCommand,
        out: &mut Vec<Output>,
    ) {
        if self.leadership(now).is_none() {
            let other_leader = self.leader.clone().filter(|leader| *leader != self.settings.name);
            return out.push(Output::ProposalRejected(number, ProposalError::NotLeader(other_leader)));
        }
        if self.pending_proposals.len() >= MAX_PENDING_PROPOSALS {
            return out.push(Output::ProposalRejected(number, ProposalError::Busy));
        }
        if matches!(command, LogCommand::ChangeReplicas(_)) {
            self.joining = None;
        }
        self.append_own(command);
        let term = self.persistent.current_term;
        self.pending_proposals.insert(self.last_log_position().index, PendingProposal { term, number });
        self.track_progress();
        self.replicate_to_all(now);
        self.advance_commit_index(now);
        self.flush(out);
    }

    /// Applies the committed entries in order.
    pub(super) fn apply_committed(&mut self, now: Micros) {
        while self.last_applied < self.commit_index {
            self.last_applied += 1;
            let Some(entry) = self.persistent.log.get(self.last_applied) else { break };
            let entry_term = entry.term;
            let result = match &entry.command {
                LogCommand::Write(write) => self.store.apply(write),
                LogCommand::Noop | LogCommand::ChangeReplicas(_) => Ok(self.last_applied),
            };
            self.outbox.notify_change();
            self.report_applied(entry_term, result);
        }
        self.step_down_if_removed(now);
        self.compact_log();
    }

    /// Reports the result of the proposal whose entry was just applied, if it was made at this replica. If
    /// the applied entry is of another term, it has replaced the proposed one.
    fn report_applied(&mut self, entry_term: u64, result: Result<u64, u64>) {
        let Some(proposal) = self.pending_proposals.remove(&self.last_applied) else { return };
        self.outbox.report(if proposal.term == entry_term {
            Output::ProposalApplied(proposal.number, result)
        } else {
            Output::ProposalRejected(proposal.number, ProposalError::LeadershipLost)
        });
    }

    /// Replaces the applied entries by a snapshot once there are more than the settings allow.
    fn compact_log(&mut self) {
        let applied_entries = self.last_applied - self.persistent.log.last_included.index;
        if applied_entries as usize > self.settings.log_entries_before_snapshot {
            let snapshot = self.store.encode();
            self.persistent.log.compact(self.last_applied, snapshot);
            self.outbox.request_save();
        }
    }
}
