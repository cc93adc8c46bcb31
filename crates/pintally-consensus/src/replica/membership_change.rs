//! Membership changes: one replica is added or removed at a time.

use std::collections::BTreeSet;

use crate::log::LogCommand;
use crate::output::{Output, ProposalError};
use crate::settings::Settings;
use crate::{Micros, ReplicaName};

use super::Replica;

impl Replica {
    /// Proposes a set of replicas that adds or removes exactly one. An added replica has to catch up first:
    /// until it has, the proposal is rejected as [`ProposalError::Busy`] and has to be repeated. The result
    /// is returned as [`Output::ProposalApplied`] or [`Output::ProposalRejected`] with `number`.
    pub fn propose_replicas(
        &mut self,
        now: Micros,
        number: u64,
        replicas: Vec<ReplicaName>,
        out: &mut Vec<Output>,
    ) {
        let current: BTreeSet<ReplicaName> = self.replicas().iter().cloned().collect();
        let proposed: BTreeSet<ReplicaName> = replicas.iter().cloned().collect();
        let changed_count = current.symmetric_difference(&proposed).count();
        let resulting = Settings { replicas: replicas.clone(), ..self.settings.clone() };
        if changed_count != 1 || resulting.check().is_err() {
            return out.push(Output::ProposalRejected(number, ProposalError::OutOfBounds));
        }
        if self.role.is_leader() && !self.is_ready_for_change() {
            return out.push(Output::ProposalRejected(number, ProposalError::Busy));
        }
        if let Some(added) = proposed.difference(&current).next() {
            if self.role.is_leader() && !self.has_caught_up(added) {
                self.joining = Some(added.clone());
                self.track_progress();
                out.push(Output::ProposalRejected(number, ProposalError::Busy));
                return self.flush(out);
            }
        }
        self.append_proposal(now, number, LogCommand::ChangeReplicas(replicas), out);
    }

    /// Whether the previous membership change and an entry of this term are committed.
    fn is_ready_for_change(&self) -> bool {
        let log = &self.persistent.log;
        let is_own_term_committed = log.term_of(self.commit_index) == Some(self.persistent.current_term);
        self.commit_index >= log.last_replica_change() && is_own_term_committed
    }

    fn has_caught_up(&self, name: &ReplicaName) -> bool {
        self.progress.get(name).is_some_and(|progress| progress.match_index >= self.commit_index)
    }

    /// A leader that has removed itself steps down once its removal is committed.
    pub(super) fn step_down_if_removed(&mut self, now: Micros) {
        let is_change_committed = self.commit_index >= self.persistent.log.last_replica_change();
        if self.role.is_leader() && !self.is_voter() && is_change_committed {
            self.replicate_to_all(now);
            self.become_follower(now, self.persistent.current_term);
        }
    }
}
