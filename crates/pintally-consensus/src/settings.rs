//! What a keeper is told, and which figures go together.

use std::collections::BTreeSet;

use pintally_validation::{ensure, InvalidConfiguration};

use crate::{Micros, ReplicaName};

/// More keepers cost more messages and bear no more failures that are worth it.
pub const MAX_REPLICAS: usize = 7;

/// What a keeper is told. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name.
    pub name: ReplicaName,
    /// All keepers at the first start of the fleet; later the register itself says who they are.
    pub replicas: Vec<ReplicaName>,
    /// Between two words of a leader.
    pub heartbeat_interval: Micros,
    /// A keeper that hears no leader for this time up to twice of it stands for the lead.
    pub election_timeout: Micros,
    /// A restarted keeper that cannot ask enough of the others believes a disk without visible harm
    /// after this time.
    pub vote_recovery_timeout: Micros,
    /// The most by which a second of one clock differs from a second of another, as a part.
    pub max_clock_drift: f64,
    /// Applied entries that are kept in the log before a snapshot takes their place.
    pub log_entries_before_snapshot: usize,
}

impl Settings {
    /// Usual figures.
    pub fn new(name: &str, keepers: &[&str]) -> Settings {
        Settings {
            name: name.into(),
            replicas: keepers.iter().map(|k| ReplicaName::from(*k)).collect(),
            heartbeat_interval: 100_000,
            election_timeout: 600_000,
            vote_recovery_timeout: 5_000_000,
            max_clock_drift: 0.01,
            log_entries_before_snapshot: 64,
        }
    }

    /// Checks that the figures go together.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        let sound = |k: &ReplicaName| !k.0.is_empty() && k.0.len() <= 64;
        let distinct: BTreeSet<&ReplicaName> = self.replicas.iter().collect();
        ensure(!self.replicas.is_empty(), "there is no keeper")?;
        ensure(self.replicas.len() <= MAX_REPLICAS, "there are more than 7 keepers")?;
        ensure(distinct.len() >= self.replicas.len(), "a keeper is named twice")?;
        ensure(self.replicas.iter().all(sound), "a keeper's name needs 1 to 64 bytes")?;
        ensure(self.heartbeat_interval >= 1_000, "a leader's beat is under a millisecond")?;
        ensure(
            self.election_timeout >= 3 * self.heartbeat_interval,
            "the election time is under three beats",
        )?;
        ensure(
            self.vote_recovery_timeout >= self.election_timeout,
            "a disk is believed before an election is over",
        )?;
        ensure(
            (0.0..=0.2).contains(&self.max_clock_drift),
            "clocks that drift apart by over a fifth are none",
        )
    }

    /// For how long after it heard a leader, or started, a keeper gives nobody its vote.
    pub(crate) fn loyal(&self) -> Micros {
        self.election_timeout
    }

    /// How long the lead surely lasts after a majority answered to what was sent at some time: a
    /// follower counts its loyalty by its own clock, which may be fast.
    pub fn leader_lease(&self) -> Micros {
        (self.election_timeout as f64 * (1.0 - 2.0 * self.max_clock_drift)).max(0.0) as Micros
    }

    /// The longest time from the loss of a leader to the next one, with a majority that hears each
    /// other, no message lost and no two that stand at once: loyalty, the spread of the time-outs, two
    /// rounds of votes.
    pub fn max_election_duration(&self) -> Micros {
        2 * self.election_timeout + 2 * self.heartbeat_interval
    }
}
