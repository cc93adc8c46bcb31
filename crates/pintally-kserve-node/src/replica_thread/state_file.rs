//! The replica's vote and log on disk. The replica sends a message only when the state that it depends on is
//! durable.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use pintally_config::RecoverySettings;
use pintally_storage::{Store, StoreSettings};
use tracing::warn;

use crate::fleet::injected_fault;

/// The key of the replica's record in its store.
pub(super) const STATE_KEY: &str = "accord";
/// The directory of the replica's store inside that of the node.
const DIRECTORY: &str = "keeper";
/// Interval between commits without a flush.
const COMMIT_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum time for saving the state. If the disk takes longer, it counts as failed and the replica sends
/// nothing.
const SAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for loading the state, after which the disk counts as lost. It is long, because no other
/// thread waits for this one, and because a replica whose disk is slow at startup and counts as lost has no
/// vote until all other replicas have answered.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);

/// Makes a replica's state durable. Without a store everything counts as durable.
pub(super) struct StateFile {
    store: Option<Store>,
    /// State that is not durable yet. Nothing may be sent until it is.
    unsaved: Option<Vec<u8>>,
}

/// The state that was loaded at startup.
pub(super) struct SavedState {
    /// The last saved state.
    pub(super) bytes: Option<Vec<u8>>,
    /// Whether the store loaded without issues. If so, missing state was never saved.
    pub(super) clean: bool,
}

impl StateFile {
    /// Opens the replica's store, if the settings name a directory, and loads the saved state.
    pub(super) fn open(settings: Option<&RecoverySettings>) -> (StateFile, SavedState) {
        let configured = settings.and_then(|settings| Some((settings, settings.store.as_ref()?)));
        let Some((settings, directory)) = configured else {
            let file = StateFile { store: None, unsaved: None };
            return (file, SavedState { bytes: None, clean: false });
        };
        let (mut store, loaded) = Store::open(&StoreSettings {
            directory: PathBuf::from(directory).join(DIRECTORY),
            commit_interval: COMMIT_INTERVAL,
            load_timeout: OPEN_TIMEOUT,
            storage_fault: injected_fault(settings),
        });
        // After the timeout the votes are recovered from the other replicas.
        store.discard_late_records();
        for issue in &loaded.issues {
            warn!(%issue, "replica state is missing or corrupt: votes are recovered first");
        }
        let saved = SavedState {
            bytes: loaded.get(STATE_KEY).map(|record| record.payload.clone()),
            clean: loaded.issues.is_empty(),
        };
        (StateFile { store: Some(store), unsaved: None }, saved)
    }

    /// Sets the replica's state, which [`StateFile::flush`] makes durable.
    pub(super) fn set(&mut self, bytes: Vec<u8>) {
        self.unsaved = Some(bytes);
    }

    /// Whether the latest state is durable.
    pub(super) fn is_durable(&self) -> bool {
        self.unsaved.is_none()
    }

    /// Makes the state durable. Returns whether that succeeded.
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
