//! The status document, and the state digest for searches of the state space.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::status::{ReplicaState, Status};
use crate::vote_recovery::majority;
use crate::Micros;

use super::{Replica, Role};

impl Replica {
    /// The status document for operators.
    pub fn status(&self, now: Micros) -> Status {
        let (state, reason) = self.state_and_reason();
        Status {
            name: self.settings.name.to_string(),
            state,
            reason,
            term: self.persistent.current_term,
            leader: self.leader.as_ref().map(ToString::to_string),
            replicas: self.replicas().iter().map(ToString::to_string).collect(),
            joining: self.joining.as_ref().map(ToString::to_string),
            commit_index: self.commit_index,
            last_log_index: self.last_log_position().index,
            leadership_ms: self.lease_end().map(|end| end.saturating_sub(now) / 1000),
            value_count: self.store.iter().count(),
        }
    }

    /// The current role, and the reason why the replica neither leads nor follows a known leader. The texts
    /// are part of the status document.
    fn state_and_reason(&self) -> (ReplicaState, Option<String>) {
        if let Some(recovery) = &self.vote_recovery {
            let responses = recovery.responses.len();
            let lost_state = if self.persistent.initialized { "" } else { "; it holds nothing itself" };
            let reason = format!("started anew, {responses} others have told what they hold{lost_state}");
            return (ReplicaState::RecoveringVotes, Some(reason));
        }
        match &self.role {
            Role::Leader { .. } => (ReplicaState::Leader, None),
            Role::Candidate { votes, .. } => {
                let (votes, required) = (votes.len(), majority(self.replicas().len()));
                let reason = format!("{votes} of {required} votes: too few others are heard");
                (ReplicaState::Candidate, Some(reason))
            }
            Role::Follower => {
                let reason = self.leader.is_none().then(|| "no leader has been heard".to_string());
                (ReplicaState::Follower, reason)
            }
        }
    }

    /// A hash of the state that determines the further behaviour of the replica, without times. Searches of
    /// the state space use it to visit each state once.
    pub fn digest(&self, now: Micros) -> u64 {
        let mut hasher = DefaultHasher::new();
        let persistent = &self.persistent;
        persistent.log.hash(&mut hasher);
        (persistent.current_term, &persistent.voted_for).hash(&mut hasher);
        (self.commit_index, self.min_log_position, &self.leader).hash(&mut hasher);
        (now < self.sticky_until).hash(&mut hasher);
        self.vote_recovery.as_ref().map(|recovery| &recovery.responses).hash(&mut hasher);
        match &self.role {
            Role::Follower => 0u8.hash(&mut hasher),
            Role::Candidate { phase, votes } => (1u8, phase, votes).hash(&mut hasher),
            Role::Leader { .. } => 2u8.hash(&mut hasher),
        }
        for (name, progress) in &self.progress {
            let replicated = (progress.next_index, progress.match_index, progress.snapshot_bytes);
            (name, replicated).hash(&mut hasher);
        }
        hasher.finish()
    }
}
