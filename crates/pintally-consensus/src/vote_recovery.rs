//! Recovery of votes: a restarted replica asks the others for their state before it votes again.
//!
//! Guards against a disk that was lost or restored from an older image and so no longer contains a granted
//! vote or an acknowledged entry. Let `n` be the number of replicas and `m` a majority. Every entry that
//! this replica helped to commit is stored by `m - 1` others, so any `n - m + 1` of the others include one
//! of those.

use std::collections::BTreeMap;

use crate::log::LogPosition;
use crate::{Micros, ReplicaName};

/// The state that a replica has stored, as reported in a recovery response.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StoredState {
    /// The latest term that it knows.
    pub(crate) term: u64,
    /// The end of its log.
    pub(crate) last_log: LogPosition,
    /// Whether it has never stored any state.
    pub(crate) empty: bool,
    /// The replicas, as far as it knows.
    pub(crate) replicas: Vec<ReplicaName>,
}

/// A recovery of votes that is in progress.
#[derive(Clone, Debug)]
pub(crate) struct VoteRecovery {
    /// When the recovery started.
    pub(crate) started_at: Micros,
    /// Whether the disk showed no sign of loss or corruption.
    pub(crate) disk_intact: bool,
    /// The states that the other replicas have reported.
    pub(crate) responses: BTreeMap<ReplicaName, StoredState>,
    /// When the next recovery requests are sent.
    pub(crate) next_request_at: Micros,
}

/// How a recovery of votes ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RecoveryOutcome {
    /// No replica has stored any state: this is the first start of the group.
    FirstStart,
    /// Enough replicas reported their state.
    Recovered {
        /// The latest term that any of these replicas knows.
        term: u64,
        /// The position that the log of a candidate must have reached to get a vote.
        min_log_position: LogPosition,
    },
}

/// The size of a majority of a number of replicas.
pub(crate) fn majority(replica_count: usize) -> usize {
    replica_count / 2 + 1
}

impl VoteRecovery {
    /// Starts a recovery. The first requests are due immediately.
    pub(crate) fn new(now: Micros, disk_intact: bool) -> VoteRecovery {
        VoteRecovery { started_at: now, disk_intact, responses: BTreeMap::new(), next_request_at: now }
    }

    /// Returns how the recovery ends, or `None` while too few replicas have responded. `own_state` is the
    /// state on the disk of this replica, `timeout` the time after which an intact disk is trusted.
    pub(crate) fn outcome(
        &self,
        now: Micros,
        own_name: &ReplicaName,
        own_state: &StoredState,
        timeout: Micros,
    ) -> Option<RecoveryOutcome> {
        let replicas = self.latest_replicas(own_state)?;
        let others: Vec<&ReplicaName> = replicas.iter().filter(|name| *name != own_name).collect();
        let response_count = others.iter().filter(|name| self.responses.contains_key(**name)).count();
        let is_voter = replicas.contains(own_name);
        if self.all_states(own_state).all(|state| state.empty) {
            let agree_on_replicas = self.all_states(own_state).all(|state| state.replicas == *replicas);
            let all_responded = response_count == others.len();
            return (is_voter && agree_on_replicas && all_responded).then_some(RecoveryOutcome::FirstStart);
        }
        let majority = majority(replicas.len());
        let required_responses =
            if is_voter { (replicas.len() - majority + 1).min(others.len()) } else { majority };
        // After the timeout an intact disk is trusted; otherwise one dead replica and one restarted replica
        // would make the store unavailable.
        let timed_out = now >= self.started_at + timeout;
        let trusts_disk = self.disk_intact && !own_state.empty && timed_out && response_count + 1 >= majority;
        if response_count < required_responses && !trusts_disk {
            return None;
        }
        let term = self.all_states(own_state).map(|state| state.term).max().unwrap_or(0);
        let min_log_position =
            self.all_states(own_state).map(|state| state.last_log).max().unwrap_or_default();
        Some(RecoveryOutcome::Recovered { term, min_log_position })
    }

    /// The replicas according to the longest reported log.
    fn latest_replicas<'a>(&'a self, own_state: &'a StoredState) -> Option<&'a Vec<ReplicaName>> {
        self.all_states(own_state)
            .max_by_key(|state| (!state.empty, state.last_log))
            .map(|state| &state.replicas)
    }

    /// All reported states and the state of this replica.
    fn all_states<'a>(&'a self, own_state: &'a StoredState) -> impl Iterator<Item = &'a StoredState> {
        self.responses.values().chain([own_state])
    }
}
