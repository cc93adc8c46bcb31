//! The queue of changes between the store and its commit thread.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tracing::warn;

use crate::record::{MAX_KEY_BYTES, MAX_PAYLOAD_BYTES};

/// Limit of the keys that wait for a commit; changes of further keys are dropped and counted.
const MAX_QUEUED_KEYS: usize = 65_536;
/// How often the commit thread checks the queue while nothing is queued.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Counters and the last error of the commits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommitHealth {
    /// Commits that reached at least one copy.
    pub commits: u64,
    /// Failed commits, counted per copy.
    pub failed: u64,
    /// Changes that were dropped: the queue was full, or the key or payload too long.
    pub dropped: u64,
    /// The error of the last commit, if it failed on a copy.
    pub last_error: Option<String>,
}

/// Payloads by key.
pub(crate) type Changes = BTreeMap<String, Vec<u8>>;

/// The changes of one commit.
pub(crate) struct Batch {
    pub(crate) changes: Changes,
    /// The store is closing: no batch follows.
    pub(crate) is_last: bool,
}

/// The result of committing a batch.
pub(crate) struct BatchResult {
    pub(crate) started: Instant,
    /// The batch has changes, and at least one copy has committed them.
    pub(crate) is_committed: bool,
    pub(crate) failed_copies: u64,
    pub(crate) last_error: Option<String>,
}

#[derive(Default)]
struct QueueState {
    changes: Changes,
    /// Since when the oldest change has been waiting or being written.
    uncommitted_since: Option<Instant>,
    is_closing: bool,
    health: CommitHealth,
}

/// The queue of changes.
#[derive(Default)]
pub(crate) struct CommitQueue {
    state: Mutex<QueueState>,
    changed: Condvar,
}

impl CommitQueue {
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Queues a change, in place of an earlier one of the same key.
    pub(crate) fn push(&self, key: &str, payload: Vec<u8>) {
        let mut state = self.lock();
        let is_too_long = key.is_empty() || key.len() > MAX_KEY_BYTES || payload.len() > MAX_PAYLOAD_BYTES;
        let is_full = state.changes.len() >= MAX_QUEUED_KEYS && !state.changes.contains_key(key);
        if is_too_long || is_full {
            state.health.dropped += 1;
            return;
        }
        state.changes.insert(key.to_string(), payload);
        state.uncommitted_since.get_or_insert_with(Instant::now);
        drop(state);
        self.wake_committer();
    }

    pub(crate) fn uncommitted_since(&self) -> Option<Instant> {
        self.lock().uncommitted_since
    }

    pub(crate) fn health(&self) -> CommitHealth {
        self.lock().health.clone()
    }

    pub(crate) fn wake_committer(&self) {
        self.changed.notify_one();
    }

    /// Closes the queue: the next batch is the last.
    pub(crate) fn close(&self) {
        self.lock().is_closing = true;
        self.wake_committer();
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.lock().is_closing
    }

    /// Waits until there are changes and it is time for a commit, or until the store is closing.
    pub(crate) fn wait_for_batch(&self, not_before: Instant) -> Batch {
        let mut state = self.lock();
        loop {
            let now = Instant::now();
            let is_due = !state.changes.is_empty() && now >= not_before;
            if state.is_closing || is_due {
                return Batch { changes: std::mem::take(&mut state.changes), is_last: state.is_closing };
            }
            let timeout = if state.changes.is_empty() { IDLE_POLL_INTERVAL } else { not_before - now };
            state = self
                .changed
                .wait_timeout(state, timeout)
                .unwrap_or_else(std::sync::PoisonError::into_inner)
                .0;
        }
    }

    /// Records the result of a batch. Changes that were queued meanwhile count as waiting since the batch
    /// started.
    pub(crate) fn finish_batch(&self, result: BatchResult) {
        let mut state = self.lock();
        state.health.commits += u64::from(result.is_committed);
        state.health.failed += result.failed_copies;
        if let (Some(reason), None) = (&result.last_error, &state.health.last_error) {
            warn!(reason, "state cannot be stored");
        }
        state.health.last_error = result.last_error;
        state.uncommitted_since = (!state.changes.is_empty()).then_some(result.started);
    }
}
