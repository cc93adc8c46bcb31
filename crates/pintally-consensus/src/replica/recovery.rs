//! The recovery of votes after a start: requests, responses, and how its outcome is applied.

use std::collections::BTreeSet;

use crate::log::LogPosition;
use crate::message::Message;
use crate::vote_recovery::{RecoveryOutcome, StoredState, VoteRecovery};
use crate::{Micros, ReplicaName};

use super::{Replica, Role};

impl Replica {
    /// The state that this replica has stored.
    pub(super) fn stored_state(&self) -> StoredState {
        let last_log = self.last_log_position();
        StoredState {
            term: self.persistent.current_term,
            last_log,
            empty: !self.persistent.initialized && last_log.index == 0,
            replicas: self.replicas().to_vec(),
        }
    }

    pub(super) fn answer_recovery_request(&mut self, from: &ReplicaName) {
        let StoredState { term, last_log, empty, replicas } = self.stored_state();
        self.outbox.send(from.clone(), Message::RecoveryResponse { term, last_log, empty, replicas });
    }

    pub(super) fn on_recovery_response(&mut self, now: Micros, from: &ReplicaName, reported: StoredState) {
        let Some(recovery) = &mut self.vote_recovery else { return };
        recovery.responses.insert(from.clone(), reported);
        self.try_finish_recovery(now);
    }

    /// Starts the recovery again, as a follower without a leader.
    pub(super) fn restart_recovery(&mut self, now: Micros) {
        self.leader = None;
        self.role = Role::Follower;
        self.vote_recovery = Some(VoteRecovery::new(now, self.disk_intact));
        self.request_recovery(now);
    }

    /// Sends requests, when they are due, to all replicas that are named in the settings, in the log of this
    /// replica or in a response.
    pub(super) fn request_recovery(&mut self, now: Micros) {
        let Some(recovery) = &mut self.vote_recovery else { return };
        if now < recovery.next_request_at {
            return;
        }
        recovery.next_request_at = now + self.settings.heartbeat_interval;
        let mut recipients: BTreeSet<ReplicaName> =
            recovery.responses.values().flat_map(|state| &state.replicas).cloned().collect();
        recipients.extend(self.replicas().iter().cloned());
        recipients.extend(self.settings.replicas.iter().cloned());
        recipients.remove(&self.settings.name);
        for recipient in recipients {
            self.outbox.send(recipient, Message::RecoveryRequest);
        }
    }

    /// Ends the recovery if its outcome is known.
    pub(super) fn try_finish_recovery(&mut self, now: Micros) {
        let own_state = self.stored_state();
        let Some(recovery) = &self.vote_recovery else { return };
        let timeout = self.settings.vote_recovery_timeout;
        let Some(outcome) = recovery.outcome(now, &self.settings.name, &own_state, timeout) else { return };
        self.vote_recovery = None;
        self.reset_election_timer(now);
        match outcome {
            RecoveryOutcome::FirstStart => self.persistent.initialized = true,
            RecoveryOutcome::Recovered { term, min_log_position } => {
                self.adopt_recovered(term, min_log_position);
            }
        }
        self.outbox.request_save();
    }

    fn adopt_recovered(&mut self, term: u64, min_log_position: LogPosition) {
        if term > self.persistent.current_term {
            self.persistent.voted_for = None;
        }
        self.persistent.current_term = term;
        // A vote in this term may have been granted and lost with the disk. Recording a vote for this
        // replica itself prevents a second one.
        self.persistent.voted_for.get_or_insert_with(|| self.settings.name.clone());
        self.min_log_position = min_log_position;
        self.clear_min_log_position_if_reached();
    }

    /// Removes the minimum log position once the log has reached it.
    pub(super) fn clear_min_log_position_if_reached(&mut self) {
        if self.last_log_position() >= self.min_log_position {
            self.min_log_position = LogPosition::default();
        }
    }
}
