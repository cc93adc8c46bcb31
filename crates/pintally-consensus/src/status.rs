//! The status document of a replica.

use serde::Serialize;

/// The current role of a replica. The serialised names are part of the status page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ReplicaState {
    /// It is the leader.
    #[serde(rename = "leads")]
    Leader,
    /// It follows a leader, or waits for one.
    #[serde(rename = "follows")]
    Follower,
    /// It asks for votes.
    #[serde(rename = "stands")]
    Candidate,
    /// It was restarted and does not vote yet.
    #[serde(rename = "doubts")]
    RecoveringVotes,
}

/// The status of a replica. The serialised names are part of the status page.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// The name of the replica.
    pub name: String,
    /// Its current role.
    #[serde(rename = "standing")]
    pub state: ReplicaState,
    /// Why the replica does not vote yet, or why it knows no leader.
    #[serde(rename = "why")]
    pub reason: Option<String>,
    /// The latest term that it knows.
    pub term: u64,
    /// The leader, if it knows one.
    pub leader: Option<String>,
    /// The replicas of the group.
    #[serde(rename = "keepers")]
    pub replicas: Vec<String>,
    /// A new replica that is catching up before it is added.
    pub joining: Option<String>,
    /// The index of the last committed entry.
    #[serde(rename = "commit")]
    pub commit_index: u64,
    /// The index of the last entry of its log.
    #[serde(rename = "last")]
    pub last_log_index: u64,
    /// The remaining time of its lease, in milliseconds, if it is the leader.
    #[serde(rename = "lead_ms")]
    pub leadership_ms: Option<u64>,
    /// The number of values in the store.
    #[serde(rename = "values")]
    pub value_count: usize,
}
