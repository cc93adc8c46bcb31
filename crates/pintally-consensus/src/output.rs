//! The actions that a replica returns to its caller after each event.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::message::Message;
use crate::ReplicaName;

/// One action for the caller. Actions have to be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Persist these bytes durably before carrying out any later action.
    Save(Vec<u8>),
    /// Send this message to another replica.
    Send(ReplicaName, Message),
    /// The proposal with this number was committed and applied. `Ok` holds the new version of the key (for
    /// a membership change: the index of its entry); `Err` holds the unchanged version of the key if the
    /// write had no effect, for example because it expected another version.
    ProposalApplied(u64, Result<u64, u64>),
    /// The proposal with this number was rejected by this replica; see
    /// [`ProposalError::LeadershipLost`] for the case in which a later leader may still commit it.
    ProposalRejected(u64, ProposalError),
    /// The contents of the store or the set of replicas changed.
    StateChanged,
}

/// Why a proposal was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalError {
    /// This replica is not the leader. Contains the name of the leader, if one is known.
    NotLeader(Option<ReplicaName>),
    /// Leadership was lost before the entry was committed: it may or may not be committed later.
    LeadershipLost,
    /// Another membership change is in progress, this term has not committed an entry yet, or too many
    /// proposals are pending.
    Busy,
    /// The proposal violates a size limit or changes more than one replica.
    OutOfBounds,
}

impl fmt::Display for ProposalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposalError::NotLeader(Some(leader)) => write!(f, "{leader} leads the keepers"),
            ProposalError::NotLeader(None) => {
                f.write_str("no keeper leads: there is no majority, or not yet")
            }
            ProposalError::LeadershipLost => {
                f.write_str("the lead was lost meanwhile: ask whether it was made")
            }
            ProposalError::Busy => f.write_str("another change of keepers is under way"),
            ProposalError::OutOfBounds => f.write_str("the change is out of bounds"),
        }
    }
}

impl std::error::Error for ProposalError {}
