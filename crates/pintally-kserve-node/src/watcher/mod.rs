//! Watches the endpoint list and the cells file, and caches their last valid versions on disk.

mod cells;
mod endpoint_list;
mod files;
#[cfg(test)]
mod tests;

use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use pintally::interface::ListUpdate;
use pintally_host::Input;
use tracing::warn;

use crate::fleet;
use crate::shared::Shared;

use self::files::WatchedFile;

pub(crate) use self::cells::CellsWatcher;
pub(crate) use self::endpoint_list::EndpointListWatcher;

/// Stands for the file name in messages about a list that was fetched from a peer.
const PEER_LIST: &str = "a peer's list";

/// Watches both files until the channel closes. A message on the channel makes it read them again at once.
pub(crate) fn run(
    shared: &Shared,
    mut list: EndpointListWatcher,
    mut cells: CellsWatcher,
    reload: &Receiver<()>,
) {
    let settings = &shared.settings;
    let interval = Duration::from_micros(settings.engines_poll_interval);
    let (mut list_file, mut cells_file) = (WatchedFile::default(), WatchedFile::default());
    loop {
        if let Some(path) = &settings.cells_file {
            match cells_file.read_if_changed(path) {
                None => {}
                Some(Ok(text)) => cells.update(shared, path, &text),
                Some(Err(error)) => {
                    warn!(file = path, %error, "cells file not readable: previous version stays in force");
                }
            }
        }
        let path = &settings.engines_file;
        match list_file.read_if_changed(path) {
            None => {}
            Some(Ok(text)) => list.update_from_source(shared, path, &text),
            Some(Err(error)) => {
                warn!(file = path, %error, "endpoint list not readable: previous version stays in force");
                shared.send_input(Input::EndpointList(ListUpdate::Failed, Vec::new()));
            }
        }
        if let Some(text) = shared.fleet.take_offered_list() {
            list.update(shared, PEER_LIST, text.as_bytes());
        }
        if let Some(text) = fleet::restore_late_state(shared) {
            list.update_from_store(shared, &text);
        }
        match reload.recv_timeout(interval) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        shared.pool.close_expired();
    }
}
