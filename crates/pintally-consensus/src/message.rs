//! What keepers tell each other. Each message may be lost, doubled, late or out of order.

use serde::{Deserialize, Serialize};

use crate::log::{Entry, Position};
use crate::{Micros, ReplicaName};

/// Bytes of entries, or of a snapshot's part, in one message: with what stands around them they stay
/// below a datagram.
pub(crate) const MAX_CARRY: usize = 640;

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// I want to lead in this term; `before`: I would, if enough would give me their vote.
    RequestVote {
        /// The term.
        term: u64,
        /// Where my log ends.
        last: Position,
        /// Nothing is given away yet.
        before: bool,
    },
    /// You have my vote, or not.
    RequestVoteResponse {
        /// The term for which it is; where it is refused, the term that I know.
        term: u64,
        /// Whether it is given.
        given: bool,
        /// It was asked before.
        before: bool,
    },
    /// I lead; these entries follow that position.
    AppendEntries {
        /// The leader's term.
        term: u64,
        /// What comes right before.
        after: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// Agreed on up to here.
        commit: u64,
        /// When the leader sent it, by its own clock; sent back with the answer.
        sent: Micros,
    },
    /// Answer to entries or a snapshot.
    AppendEntriesResponse {
        /// The term that the follower knows.
        term: u64,
        /// Whether its log agrees up to `last`; otherwise it may agree up to there.
        agrees: bool,
        /// Up to where.
        last: u64,
        /// As it came.
        sent: Micros,
    },
    /// I lead; your log ends before mine begins: a part of what stands for the earlier entries.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// What it covers.
        at: Position,
        /// Who the keepers are there.
        keepers: Vec<ReplicaName>,
        /// From this byte on.
        from: u32,
        /// Of so many.
        of: u32,
        /// The bytes.
        bytes: Vec<u8>,
        /// When the leader sent it.
        sent: Micros,
    },
    /// I have the snapshot up to this byte.
    InstallSnapshotResponse {
        /// The term that the follower knows.
        term: u64,
        /// Which snapshot.
        at: Position,
        /// Up to which byte.
        upto: u32,
        /// As it came.
        sent: Micros,
    },
    /// I was started anew: what do you hold?
    RecoveryRequest,
    /// This.
    RecoveryResponse {
        /// The latest term that I know.
        term: u64,
        /// Where my log ends.
        last: Position,
        /// I have never held anything.
        empty: bool,
        /// Who the keepers are, as far as I know.
        keepers: Vec<ReplicaName>,
    },
}
