//! The store: opened once at the start, written without waiting for the disk, and committed by a separate
//! thread.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;

use crate::commit::Committer;
use crate::disk::SyncDeferral;
use crate::loaded_records::{LoadIssue, LoadedRecords};
use crate::open::open_copies;
use crate::queue::{CommitHealth, CommitQueue};
use crate::storage_faults::StorageFault;

/// How often a caller that waits for the commit thread checks its progress.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// A store that is dropped waits this long for its last commit, so that a disk that is slow by seconds does
/// not delay the end of the process further.
const MAX_CLOSE_WAIT: Duration = Duration::from_secs(2);

/// Settings of a store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// The directory of the files; created if it does not exist.
    pub directory: PathBuf,
    /// Time between two commits.
    pub commit_interval: Duration,
    /// How long the start waits for the disk; after that the node continues without its stored state, which
    /// [`Store::late_records`] returns once it has been read.
    pub load_timeout: Duration,
    /// An injected fault of the disk, with the seed of its randomness; for scenarios and tests.
    pub storage_fault: Option<(StorageFault, u64)>,
}

/// A node's stored state. Dropping it commits what is queued, if the disk is fast enough.
pub struct Store {
    queue: Arc<CommitQueue>,
    thread: Option<thread::JoinHandle<()>>,
    /// Where the records arrive if loading took longer than the timeout.
    late_records: Option<Receiver<LoadedRecords>>,
}

impl Store {
    /// Opens the store and loads its records. This never fails: without a usable disk the store accepts all
    /// records and stores none, which [`LoadedRecords::issues`] reports. It returns within
    /// `settings.load_timeout`, whatever the disk does.
    pub fn open(settings: &StoreSettings) -> (Store, LoadedRecords) {
        let queue = Arc::new(CommitQueue::default());
        let (loaded_sender, loaded_receiver) = crossbeam_channel::bounded(0);
        let thread_queue = queue.clone();
        let thread_settings = settings.clone();
        let run = move || {
            let deferral = SyncDeferral::start();
            let (copies, loaded) = open_copies(&thread_settings, &deferral);
            let committer = Committer::new(
                thread_queue.clone(),
                thread_settings.commit_interval,
                copies,
                loaded.latest(),
            );
            // Nothing is committed before the records are received, so that a change does not replace a record
            // of which the caller does not know.
            let is_received = loaded_sender.send(loaded).is_ok();
            if !is_received && thread_queue.is_closing() {
                return;
            }
            deferral.end();
            committer.run();
        };
        let thread = thread::Builder::new().name("store".into()).spawn(run).ok();
        match loaded_receiver.recv_timeout(settings.load_timeout) {
            Ok(loaded) => (Store { queue, thread, late_records: None }, loaded),
            Err(_) => {
                let issues = vec![LoadIssue::TimedOut];
                let loaded = LoadedRecords { issues, ..LoadedRecords::default() };
                (Store { queue, thread, late_records: Some(loaded_receiver) }, loaded)
            }
        }
    }

    /// After [`LoadIssue::TimedOut`], the records once they have been loaded; each call returns them at most
    /// once. Until then, or until [`Store::discard_late_records`], nothing is committed: the caller first puts what
    /// is to remain of them.
    pub fn late_records(&self) -> Option<LoadedRecords> {
        self.late_records.as_ref()?.try_recv().ok()
    }

    /// Gives up the records if they were not loaded in time: changes are committed as soon as the disk
    /// responds.
    pub fn discard_late_records(&mut self) {
        self.late_records = None;
    }

    /// Stores a payload under a key and replaces an earlier one; an empty payload deletes the record. It does
    /// not wait for the disk: a power loss before the next commit is complete loses the change.
    pub fn put(&self, key: &str, payload: Vec<u8>) {
        self.queue.push(key, payload);
    }

    /// Age of the oldest change that is not committed yet. A power loss loses the changes of this period.
    pub fn uncommitted_age(&self) -> Duration {
        self.queue.uncommitted_since().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Counters and the last error of the commits.
    pub fn health(&self) -> CommitHealth {
        self.queue.health()
    }

    /// Commits all queued changes and waits at most `timeout` for that. Returns whether all are committed.
    pub fn flush(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
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
        self.discard_late_records();
        let Some(thread) = self.thread.take() else { return };
        let deadline = Instant::now() + MAX_CLOSE_WAIT;
        while !thread.is_finished() && Instant::now() < deadline {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
