//! The store: opened once at the start, written to without waiting, committed by a thread of its own.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::commit::Committer;
use crate::load_report::{LoadIssue, LoadedRecords};
use crate::open::open_copies;
use crate::queue::{CommitHealth, CommitQueue};
use crate::storage_faults::StorageFault;

/// How often a caller that waits for the commit thread looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The last commit is waited for this long when the store is dropped: a disk that is slow by seconds does
/// not delay the end of the process.
const MAX_CLOSE_WAIT: Duration = Duration::from_secs(2);

/// Where and how often a node stores its state.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// The directory of the files; created if it does not exist.
    pub directory: PathBuf,
    /// Time between two commits.
    pub commit_interval: Duration,
    /// The disk is waited for this long at the start; then the node continues without its state.
    pub load_timeout: Duration,
    /// A fault of the disk with a seed for it, for scenarios and tests.
    pub storage_fault: Option<(StorageFault, u64)>,
}

/// A node's stored state. Dropping it commits what is queued, if the disk is fast enough.
pub struct Store {
    queue: Arc<CommitQueue>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Store {
    /// Opens the store and loads its records. This never fails: without a disk the store accepts all
    /// records and keeps none, and the load report says so. It returns within `settings.load_timeout`, whatever
    /// the disk does.
    pub fn open(settings: &StoreSettings) -> (Store, LoadedRecords) {
        let queue = Arc::new(CommitQueue::default());
        let (loaded_sender, loaded_receiver) = crossbeam_channel::bounded(1);
        let thread_queue = queue.clone();
        let thread_settings = settings.clone();
        let run = move || {
            let (copies, loaded) = open_copies(&thread_settings);
            let committer =
                Committer::new(thread_queue, thread_settings.commit_interval, copies, loaded.latest());
            // The receiver is gone if loading took too long.
            let _ = loaded_sender.send(loaded);
            committer.run();
        };
        let thread = thread::Builder::new().name("store".into()).spawn(run).ok();
        let loaded = loaded_receiver.recv_timeout(settings.load_timeout).unwrap_or_else(|_| LoadedRecords {
            issues: vec![LoadIssue::TimedOut],
            ..LoadedRecords::default()
        });
        (Store { queue, thread }, loaded)
    }

    /// Stores a payload under a key, in place of an earlier one; an empty payload deletes the record. Does
    /// not wait for the disk: a power loss before the next commit ends loses the change.
    pub fn put(&self, key: &str, payload: Vec<u8>) {
        self.queue.push(key, payload);
    }

    /// Age of the oldest change that is not committed yet: what a power loss now would cost.
    pub fn uncommitted_age(&self) -> Duration {
        self.queue.uncommitted_since().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Counters and the last error of the commits.
    pub fn health(&self) -> CommitHealth {
        self.queue.health()
    }

    /// Commits all queued changes and waits for that at most so long. Returns whether all are committed.
    pub fn flush(&self, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        while self.queue.uncommitted_since().is_some() {
            if Instant::now() > deadline {
                return false;
            }
            self.queue.wake_committer();
            thread::sleep(POLL_INTERVAL);
        }
        true
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.queue.close();
        let Some(thread) = self.thread.take() else { return };
        let deadline = Instant::now() + MAX_CLOSE_WAIT;
        while !thread.is_finished() && Instant::now() < deadline {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
