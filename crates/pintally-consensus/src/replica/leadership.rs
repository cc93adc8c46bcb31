//! The lease and the heartbeats of a leader, and the start and end of leadership.

use crate::log::{LogCommand, LogEntry};
use crate::output::{Output, ProposalError};
use crate::vote_recovery::majority;
use crate::Micros;

use super::{Replica, Role};

/// A leader whose lease ended this many election timeouts ago steps down: it has lost its majority.
const ELECTION_TIMEOUTS_BEFORE_STEP_DOWN: u64 = 2;

impl Replica {
    /// The term in which this replica is certainly the only leader at this time, and the time of its
    /// election. The result depends on the clock, so a leader that was paused detects the end of its
    /// leadership before it receives any message.
    pub fn leadership(&self, now: Micros) -> Option<(u64, Micros)> {
        let Role::Leader { elected_at, .. } = self.role else { return None };
        let lease_end = self.lease_end()?;
        (now < lease_end).then_some((self.persistent.current_term, elected_at))
    }

    /// When the leader's lease ends. The lease starts at the latest time such that a majority, this replica
    /// included, has answered a message sent then or later.
    pub(super) fn lease_end(&self) -> Option<Micros> {
        let Role::Leader { next_heartbeat, .. } = self.role else { return None };
        let replicas = self.replicas();
        let mut acknowledged: Vec<Micros> = replicas
            .iter()
            .filter_map(|name| match self.progress.get(name) {
                _ if *name == self.settings.name => Some(Micros::MAX),
                progress => progress?.acknowledged_at,
            })
            .collect();
        acknowledged.sort_unstable_by(|a, b| b.cmp(a));
        let acknowledged_by_majority = *acknowledged.get(majority(replicas.len()) - 1)?;
        // A single replica is a majority by itself.
        let lease_start =
            if acknowledged_by_majority == Micros::MAX { next_heartbeat } else { acknowledged_by_majority };
        Some(lease_start.saturating_add(self.settings.leader_lease()))
    }

    /// Sends heartbeats when they are due. A leader that has been without a majority for too long steps
    /// down.
    pub(super) fn tick_leader(&mut self, now: Micros) {
        let Role::Leader { next_heartbeat, .. } = &mut self.role else { return };
        if now < *next_heartbeat {
            return;
        }
        *next_heartbeat = now + self.settings.heartbeat_interval;
        let grace_period = ELECTION_TIMEOUTS_BEFORE_STEP_DOWN * self.settings.election_timeout;
        let lost_majority = self.lease_end().is_some_and(|end| now > end + grace_period);
        if lost_majority && self.replicas().len() > 1 {
            self.become_follower(now, self.persistent.current_term);
        } else {
            self.replicate_to_all(now);
        }
    }

    pub(super) fn become_leader(&mut self, now: Micros) {
        let next_heartbeat = now + self.settings.heartbeat_interval;
        self.role = Role::Leader { elected_at: now, next_heartbeat };
        self.leader = Some(self.settings.name.clone());
        self.joining = None;
        self.progress.clear();
        let command = self.first_command_of_term();
        self.append_own(command);
        self.track_progress();
        self.replicate_to_all(now);
        self.advance_commit_index(now);
    }

    /// The first entry of an empty log records the replicas, so that no snapshot is needed for them.
    fn first_command_of_term(&self) -> LogCommand {
        if self.last_log_position().index == 0 {
            LogCommand::ChangeReplicas(self.replicas().to_vec())
        } else {
            LogCommand::Noop
        }
    }

    /// Appends an entry of this term to the leader's own log.
    pub(super) fn append_own(&mut self, command: LogCommand) {
        let term = self.persistent.current_term;
        self.persistent.log.entries.push(LogEntry { term, command });
        self.outbox.request_save();
    }

    /// Becomes a follower in this term or a later one.
    pub(super) fn become_follower(&mut self, now: Micros, term: u64) {
        self.adopt_term(term);
        if self.role.is_leader() {
            self.leader = None;
            for proposal in std::mem::take(&mut self.pending_proposals).into_values() {
                self.outbox.report(Output::ProposalRejected(proposal.number, ProposalError::LeadershipLost));
            }
        }
        self.joining = None;
        self.role = Role::Follower;
        self.reset_election_timer(now);
    }
}
