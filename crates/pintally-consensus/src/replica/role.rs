//! The role of a replica in its term.

use std::collections::BTreeSet;

use crate::{Micros, ReplicaName};

/// The two rounds of an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ElectionPhase {
    /// The candidate asks which replicas would vote for it. It does not increment its term and no vote is
    /// cast.
    PreVote,
    /// The candidate asks for votes in its new term.
    Vote,
}

impl ElectionPhase {
    pub(super) fn new(pre_vote: bool) -> ElectionPhase {
        if pre_vote {
            ElectionPhase::PreVote
        } else {
            ElectionPhase::Vote
        }
    }

    pub(super) fn is_pre_vote(self) -> bool {
        self == ElectionPhase::PreVote
    }

    /// The term in which a candidate with this current term wants to lead.
    pub(super) fn candidate_term(self, current_term: u64) -> u64 {
        match self {
            ElectionPhase::PreVote => current_term + 1,
            ElectionPhase::Vote => current_term,
        }
    }
}

/// The role of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks for votes.
    Candidate {
        phase: ElectionPhase,
        /// The replicas that granted their vote, the candidate included.
        votes: BTreeSet<ReplicaName>,
    },
    /// It was elected.
    Leader { elected_at: Micros, next_heartbeat: Micros },
}

impl Role {
    pub(super) fn is_leader(&self) -> bool {
        matches!(self, Role::Leader { .. })
    }
}
