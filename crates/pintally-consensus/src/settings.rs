//! The settings of a replica, their consistency checks and the times that follow from them.

use std::collections::BTreeSet;

use pintally_validation::{ensure, InvalidConfiguration};

use crate::{Micros, ReplicaName};

/// The greatest number of replicas: more of them cost more messages than the additional failures that
/// they tolerate are worth.
pub const MAX_REPLICAS: usize = 7;
/// The length of the longest name of a replica, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The shortest interval between heartbeats.
const MIN_HEARTBEAT_INTERVAL_US: Micros = 1_000;
/// Heartbeats that an election timeout has to span, so that one lost message starts no election.
const MIN_HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 3;
/// The greatest clock drift under which a lease still means something.
const MAX_CLOCK_DRIFT: f64 = 0.2;

/// The settings of a replica. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of this replica.
    pub name: ReplicaName,
    /// All replicas at the first start of the fleet; afterwards the log records them.
    pub replicas: Vec<ReplicaName>,
    /// The time between two heartbeats of a leader.
    pub heartbeat_interval: Micros,
    /// A replica that receives nothing from a leader for a random time between this and twice this
    /// becomes a candidate.
    pub election_timeout: Micros,
    /// A restarted replica that does not reach enough of the others trusts an intact disk after this
    /// time.
    pub vote_recovery_timeout: Micros,
    /// The greatest difference between a second of one clock and a second of another, as a fraction.
    pub max_clock_drift: f64,
    /// The number of applied entries in the log at which a snapshot replaces them.
    pub log_entries_before_snapshot: usize,
}

impl Settings {
    /// The default settings for a replica and its group.
    pub fn new(name: &str, replicas: &[&str]) -> Settings {
        Settings {
            name: name.into(),
            replicas: replicas.iter().map(|replica| ReplicaName::from(*replica)).collect(),
            heartbeat_interval: 100_000,
            election_timeout: 600_000,
            vote_recovery_timeout: 5_000_000,
            max_clock_drift: 0.01,
            log_entries_before_snapshot: 64,
        }
    }

    /// Checks that the settings are consistent with each other.
    ///
    /// # Errors
    ///
    /// [`InvalidConfiguration`] with the first rule that is violated.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        let is_valid_name = |name: &ReplicaName| (1..=MAX_NAME_BYTES).contains(&name.0.len());
        let distinct: BTreeSet<&ReplicaName> = self.replicas.iter().collect();
        ensure(!self.replicas.is_empty(), "there is no keeper")?;
        ensure(self.replicas.len() <= MAX_REPLICAS, "there are more than 7 keepers")?;
        ensure(distinct.len() >= self.replicas.len(), "a keeper is named twice")?;
        ensure(self.replicas.iter().all(is_valid_name), "a keeper's name needs 1 to 64 bytes")?;
        ensure(
            self.heartbeat_interval >= MIN_HEARTBEAT_INTERVAL_US,
            "a leader's beat is under a millisecond",
        )?;
        ensure(
            self.election_timeout >= MIN_HEARTBEATS_PER_ELECTION_TIMEOUT * self.heartbeat_interval,
            "the election time is under three beats",
        )?;
        ensure(
            self.vote_recovery_timeout >= self.election_timeout,
            "a disk is believed before an election is over",
        )?;
        ensure(
            (0.0..=MAX_CLOCK_DRIFT).contains(&self.max_clock_drift),
            "clocks that drift apart by over a fifth are none",
        )
    }

    /// For how long a replica grants no vote after a message from a leader, or after its start.
    pub(crate) fn leader_stickiness(&self) -> Micros {
        self.election_timeout
    }

    /// For how long leadership lasts at least after a leader sent what a majority then answered: a
    /// follower measures its stickiness by its own clock, which may be fast.
    pub fn leader_lease(&self) -> Micros {
        (self.election_timeout as f64 * (1.0 - 2.0 * self.max_clock_drift)).max(0.0) as Micros
    }

    /// The longest time from the loss of a leader to the next one, provided that a majority is connected,
    /// no message is lost and no two candidates split the vote: stickiness, the spread of the election
    /// timeouts, and two rounds of votes.
    pub fn max_election_duration(&self) -> Micros {
        2 * self.election_timeout + 2 * self.heartbeat_interval
    }
}
