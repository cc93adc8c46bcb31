//! Messages between replicas. Each may be lost, duplicated, delayed or reordered.
//!
//! Postcard encodes fields and variants by position: their order is the wire format, their names are not
//! part of it.

use serde::{Deserialize, Serialize};

use crate::log::{LogEntry, LogPosition};
use crate::{Micros, ReplicaName};

/// The maximum size of the log entries, or of the snapshot chunk, in one message. It leaves room for the
/// other fields, so that a message fits into a datagram.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 640;

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A candidate asks for a vote, or, before it increments its term, for a pre-vote.
    RequestVote {
        /// The term in which the candidate wants to lead.
        term: u64,
        /// The end of the candidate's log.
        last_log: LogPosition,
        /// Whether this is a pre-vote; granting one does not bind the voter.
        pre_vote: bool,
    },
    /// The answer to [`Message::RequestVote`].
    RequestVoteResponse {
        /// The term of the vote if it is granted, otherwise the current term of the voter.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
        /// Whether the request was a pre-vote.
        pre_vote: bool,
    },
    /// The leader sends the entries that follow a position; without entries it is a heartbeat.
    AppendEntries {
        /// The leader's term.
        term: u64,
        /// The entry that immediately precedes `entries`.
        prev_log: LogPosition,
        /// The entries to append.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        leader_commit: u64,
        /// The leader's clock at sending, returned in the response.
        sent_at: Micros,
    },
    /// The answer to [`Message::AppendEntries`], and to a complete snapshot.
    AppendEntriesResponse {
        /// The current term of the follower.
        term: u64,
        /// Whether the follower's log matches the leader's up to `match_index`.
        success: bool,
        /// On success the index of the last matching entry, otherwise an upper bound for it.
        match_index: u64,
        /// `sent_at` of the request.
        sent_at: Micros,
    },
    /// The leader sends one chunk of its snapshot because it no longer has the entries that the follower
    /// lacks.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// The last entry that the snapshot covers.
        last_included: LogPosition,
        /// The replicas as of that entry.
        replicas: Vec<ReplicaName>,
        /// The offset of the chunk, in bytes.
        offset: u32,
        /// The size of the whole snapshot, in bytes.
        total_bytes: u32,
        /// The chunk.
        data: Vec<u8>,
        /// The leader's clock at sending, returned in the response.
        sent_at: Micros,
    },
    /// The answer to a chunk that does not complete the snapshot.
    InstallSnapshotResponse {
        /// The current term of the follower.
        term: u64,
        /// The last entry that the snapshot covers.
        last_included: LogPosition,
        /// Bytes received so far.
        received_bytes: u32,
        /// `sent_at` of the request.
        sent_at: Micros,
    },
    /// A restarted replica asks another one for the state of its log.
    RecoveryRequest,
    /// The answer to [`Message::RecoveryRequest`].
    RecoveryResponse {
        /// The latest term that the sender knows.
        term: u64,
        /// The end of the sender's log.
        last_log: LogPosition,
        /// Whether the sender has never stored any state.
        empty: bool,
        /// The replicas, as far as the sender knows.
        replicas: Vec<ReplicaName>,
    },
}
