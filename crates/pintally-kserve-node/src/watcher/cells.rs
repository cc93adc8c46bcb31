//! Applies new versions of the cells file.

use std::io::ErrorKind;
use std::path::Path;
use std::sync::atomic::Ordering;

use pintally_cells::CellsFile;
use pintally_host::Input;
use tracing::{info, warn};

use super::files::{read, replace_atomically};
use crate::shared::Shared;

/// The current version of the cells file.
#[derive(Default)]
pub(crate) struct CellsWatcher {
    version: u64,
}

impl CellsWatcher {
    /// Applies the file that the previous process cached, if there is one.
    pub(crate) fn restore(shared: &Shared) -> CellsWatcher {
        let mut watcher = CellsWatcher::default();
        let Some(cached) = &shared.settings.cached_cells_file else { return watcher };
        match read(cached) {
            Ok(text) => {
                watcher.apply(shared, cached, &text);
            }
            Err(error) if error.kind() == ErrorKind::NotFound => {}
            Err(error) => warn!(file = cached, %error, "cached cells file not readable"),
        }
        watcher
    }

    /// Applies a new version of the file and caches it.
    pub(super) fn update(&mut self, shared: &Shared, path: &str, text: &[u8]) {
        if !self.apply(shared, path, text) {
            return;
        }
        let Some(cached) = &shared.settings.cached_cells_file else { return };
        if let Err(error) = replace_atomically(Path::new(cached), text) {
            warn!(file = cached, %error, "cells file not cached: a restart will begin without it");
        }
    }

    /// Passes a version to the host. Returns whether it was valid and not older than the current version.
    fn apply(&mut self, shared: &Shared, path: &str, text: &[u8]) -> bool {
        let text = String::from_utf8_lossy(text);
        match CellsFile::parse(path, &text, &shared.settings.core) {
            Ok(cells) if cells.version >= self.version => {
                self.version = cells.version;
                info!(file = path, version = cells.version, cells = cells.cells.len(), "cells file applied");
                shared.send_input(Input::Cells(Box::new(cells)));
                return true;
            }
            Ok(cells) => {
                warn!(
                    file = path,
                    version = cells.version,
                    "cells file rejected: older than the one in force"
                );
            }
            Err(error) => warn!(%error, "cells file rejected: previous version stays in force"),
        }
        shared.counters.lists_refused.fetch_add(1, Ordering::Relaxed);
        false
    }
}
