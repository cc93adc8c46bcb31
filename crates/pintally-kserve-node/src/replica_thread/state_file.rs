//! The replica's vote and log on disk. Nothing leaves the replica before what it rests on is durable.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use pintally_config::RecoverySettings;
use pintally_storage::{Store, StoreSettings};
use tracing::warn;

use crate::fleet::injected_fault;

/// The key of the replica's record in its store.
pub(super) const STATE_KEY: &str = "accord";
/// The replica's folder inside the node's.
const FOLDER: &str = "keeper";
/// Between two commits where nobody flushes.
const COMMIT_INTERVAL: Duration = Duration::from_millis(1);
/// A disk that takes longer for a vote has failed: the replica sends nothing.
const SAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// A disk that has returned nothing by then is lost. Nobody waits for this thread, so that the time is a
/// long one. Guards against a disk that is slow at the start and taken for lost: the replica would have no
/// vote until all others had answered.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);

/// Where a replica's state is made durable. Without a store everything counts as durable.
pub(super) struct StateFile {
    store: Option<Store>,
    /// What is not durable yet: until it is, nothing may be sent.
    unsaved: Option<Vec<u8>>,
}

/// What a start has read.
pub(super) struct SavedState {
    /// The state as last saved.
    pub(super) bytes: Option<Vec<u8>>,
    /// Whether the disk showed no harm, so that an absent state was never there.
    pub(super) clean: bool,
}

impl StateFile {
    /// Opens the replica's store, if the settings name a folder, and reads what it has.
    pub(super) fn open(settings: Option<&RecoverySettings>) -> (StateFile, SavedState) {
        let named = settings.and_then(|settings| Some((settings, settings.store.as_ref()?)));
        let Some((settings, folder)) = named else {
            let file = StateFile { store: None, unsaved: None };
            return (file, SavedState { bytes: None, clean: false });
        };
        let (store, loaded) = Store::open(&StoreSettings {
            directory: PathBuf::from(folder).join(FOLDER),
            commit_interval: COMMIT_INTERVAL,
            load_timeout: OPEN_TIMEOUT,
            storage_fault: injected_fault(settings),
        });
        for issue in &loaded.issues {
            warn!(%issue, "replica state is missing or corrupt: votes are recovered first");
        }
        let saved = SavedState {
            bytes: loaded.get(STATE_KEY).map(|record| record.payload.clone()),
            clean: loaded.issues.is_empty(),
        };
        (StateFile { store: Some(store), unsaved: None }, saved)
    }

    /// The replica's state from now on, to be made durable by [`StateFile::flush`].
    pub(super) fn set(&mut self, bytes: Vec<u8>) {
        self.unsaved = Some(bytes);
    }

    /// Whether everything is durable that was to be.
    pub(super) fn is_durable(&self) -> bool {
        self.unsaved.is_none()
    }

    /// Makes the state durable; whether everything is.
    pub(super) fn flush(&mut self) -> bool {
        let (Some(store), Some(bytes)) = (&self.store, &self.unsaved) else {
            self.unsaved = None;
            return true;
        };
        let commits_before = store.health().commits;
        store.put(STATE_KEY, bytes.clone());
        let started = Instant::now();
        let durable = store.flush(SAVE_TIMEOUT) && store.health().commits > commits_before;
        if durable {
            self.unsaved = None;
        } else {
            let elapsed_ms = started.elapsed().as_millis() as u64;
            warn!(elapsed_ms, "replica state not saved: replica sends nothing");
        }
        durable
    }
}
