//! The settings of a replica, their consistency checks, and the durations derived from them.

use std::collections::BTreeSet;

use pintally_validation::{ensure, InvalidConfiguration};

use crate::{Micros, ReplicaName};

/// The maximum number of replicas: a larger group sends more messages than the additional failures that
/// it tolerates justify.
pub const MAX_REPLICAS: usize = 7;
/// The maximum length of the name of a replica, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The minimum interval between heartbeats.
const MIN_HEARTBEAT_INTERVAL_US: Micros = 1_000;
/// The minimum number of heartbeat intervals in an election timeout, so that one lost message does not
/// start an election.
const MIN_HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 3;
/// The maximum clock drift: with a greater one a lease is no useful guarantee.
const MAX_CLOCK_DRIFT: f64 = 0.2;

/// The settings of a replica. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of this replica.
    pub name: ReplicaName,
    /// All replicas at the first start of the fleet; afterwards the log records them.
    pub replicas: Vec<ReplicaName>,
    /// The time between two heartbeats of the leader.
    pub heartbeat_interval: Micros,
    /// A replica becomes a candidate when it has received nothing from a leader for a random time between
    /// one and two times this value.
    pub election_timeout: Micros,
    /// After this time a restarted replica trusts an intact disk even if too few others have responded,
    /// provided that it and those that responded are a majority.
    pub vote_recovery_timeout: Micros,
    /// The maximum relative difference between the rates of two clocks, as a fraction.
    pub max_clock_drift: f64,
    /// A snapshot replaces the applied entries of the log once there are more of them than this number.
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
        ensure(!self.replicas.is_empty(), "`names` must name at least one replica")?;
        ensure(self.replicas.len() <= MAX_REPLICAS, "`names` must name at most 7 replicas")?;
        ensure(distinct.len() >= self.replicas.len(), "`names` must name each replica once")?;
        ensure(self.replicas.iter().all(is_valid_name), "each name in `names` must have 1 to 64 bytes")?;
        ensure(self.heartbeat_interval >= MIN_HEARTBEAT_INTERVAL_US, "`beat-ms` must be at least 1")?;
        ensure(
            self.election_timeout >= MIN_HEARTBEATS_PER_ELECTION_TIMEOUT * self.heartbeat_interval,
            "`election-ms` must be at least three times `beat-ms`",
        )?;
        ensure(
            self.vote_recovery_timeout >= self.election_timeout,
            "`doubt-ms` must be at least `election-ms`: a disk is not trusted before an election is over",
        )?;
        ensure((0.0..=MAX_CLOCK_DRIFT).contains(&self.max_clock_drift), "`drift` must be between 0 and 0.2")
    }

    /// The time after a message from a leader, or after its own start, during which a replica grants no
    /// vote.
    pub(crate) fn leader_stickiness(&self) -> Micros {
        self.election_timeout
    }

    /// The duration of the leader's lease. It starts when the leader sends messages that a majority then
    /// answers. It is shorter than the followers' stickiness, because a follower measures that with its own
    /// clock, which may run fast.
    pub fn leader_lease(&self) -> Micros {
        (self.election_timeout as f64 * (1.0 - 2.0 * self.max_clock_drift)).max(0.0) as Micros
    }

    /// The maximum time from the loss of a leader to the election of the next one, provided that a majority
    /// is connected, no message is lost and no two candidates split the vote. It consists of the stickiness
    /// to the old leader, the random part of the election timeout, and two rounds of votes.
    pub fn max_election_duration(&self) -> Micros {
        2 * self.election_timeout + 2 * self.heartbeat_interval
    }
}
