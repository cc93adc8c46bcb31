//! Watches the list of engines, and keeps the last good one on disk.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use pintally::interface::ListUpdate;
use pintally_cells::CellsFile;
use pintally_config::form::MAX_FILE;
use pintally_config::EngineList;
use pintally_host::{Input, ListChange, ListFollower};
use pintally_recovery::{merge, ListMerge};
use tracing::{info, warn};

use crate::shared::Shared;

/// A watched file: its text as last read, and whether it is missing.
#[derive(Default)]
struct Watched {
    last: Vec<u8>,
    missing: bool,
}

impl Watched {
    /// The file's text if it has changed; an error is told once.
    fn changed(&mut self, file: &str) -> Option<Result<Vec<u8>, io::Error>> {
        match read(file) {
            Ok(text) => {
                self.missing = false;
                let fresh = text != self.last;
                self.last.clone_from(&text);
                fresh.then_some(Ok(text))
            }
            Err(e) => (!std::mem::replace(&mut self.missing, true)).then_some(Err(e)),
        }
    }
}

/// Follows the list and the file of cells until the channel closes; a message on it asks for another
/// look at once.
pub(crate) fn run(shared: &Shared, mut follower: ListFollower, mut cells: u64, look: &Receiver<()>) {
    let settings = &shared.settings;
    let every = Duration::from_micros(settings.engines_poll_interval);
    let (mut list, mut cells_file) = (Watched::default(), Watched::default());
    loop {
        if let Some(file) = &settings.cells_file {
            match cells_file.changed(file) {
                None => {}
                Some(Ok(text)) => apply_cells(shared, &mut cells, file, &text),
                Some(Err(e)) => {
                    warn!(file, error = %e, "the file of cells cannot be read: the old one holds")
                }
            }
        }
        match list.changed(&settings.engines_file) {
            None => {}
            Some(Ok(text)) => apply(shared, &mut follower, &settings.engines_file, &text, true),
            Some(Err(e)) => {
                let file = &settings.engines_file;
                warn!(file, error = %e, "the list of engines cannot be read: the old list holds");
                shared.send_input(Input::EndpointList(ListUpdate::Failed, Vec::new()));
            }
        }
        if let Some(text) = shared.fleet.take_offered_list() {
            apply(shared, &mut follower, "a peer's list", text.as_bytes(), false);
        }
        match look.recv_timeout(every) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        shared.pool.sweep();
    }
}

/// Takes in the file of cells that was kept before the last end, if there is one; returns its version.
pub(crate) fn restore_cells(shared: &Shared) -> u64 {
    let Some(kept) = &shared.settings.cached_cells_file else { return 0 };
    let mut version = 0;
    match read(kept) {
        Ok(text) => {
            take_cells(shared, &mut version, kept, &text);
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => warn!(file = kept, error = %e, "the kept file of cells cannot be read"),
    }
    version
}

fn apply_cells(shared: &Shared, version: &mut u64, file: &str, text: &[u8]) {
    if !take_cells(shared, version, file, text) {
        return;
    }
    let Some(kept) = &shared.settings.cached_cells_file else { return };
    if let Err(e) = write_whole(Path::new(kept), text) {
        warn!(file = kept, error = %e, "the file of cells cannot be kept: a restart will begin without it");
    }
}

/// Hands a version of the cells file to the host; whether it was sound and not older.
fn take_cells(shared: &Shared, version: &mut u64, file: &str, text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text);
    match CellsFile::parse(file, &text, &shared.settings.core) {
        Ok(cells) if cells.version >= *version => {
            *version = cells.version;
            info!(file, version = cells.version, cells = cells.cells.len(), "file of cells taken in");
            shared.send_input(Input::Cells(Box::new(cells)));
            return true;
        }
        Ok(cells) => {
            warn!(file, version = cells.version, "the file of cells is older than the one that holds")
        }
        Err(error) => warn!(%error, "the file of cells is not sound: the old one holds"),
    }
    shared.counts.lists_refused.fetch_add(1, Ordering::Relaxed);
    false
}

/// Takes in the list that was kept before the last end, if there is one.
pub(crate) fn restore(shared: &Shared, follower: &mut ListFollower) {
    let Some(kept) = &shared.settings.cached_list_file else { return };
    match read(kept) {
        Ok(text) => take(shared, follower, kept, &text),
        Err(e) if e.kind() == io::ErrorKind::NotFound => false,
        Err(e) => {
            warn!(file = kept, error = %e, "the kept list cannot be read");
            false
        }
    };
}

/// Takes in a list that was kept elsewhere than in its file.
pub(crate) fn restore_text(shared: &Shared, follower: &mut ListFollower, text: Option<&str>) {
    if let Some(text) = text {
        take(shared, follower, "the kept state", text.as_bytes());
    }
    if let (Some(version), Some(text)) = (follower.version(), follower.kept()) {
        shared.fleet.set_endpoint_list(version, &text);
    }
}

/// Where nodes act together a list is held against the one that holds: a drain that any node knew is
/// never undone by another text of the same version.
fn united(follower: &ListFollower, file: &str, text: &[u8]) -> Option<Vec<u8>> {
    let claim = EngineList::parse(file, &String::from_utf8_lossy(text)).ok()?;
    let held = EngineList::parse(file, &follower.kept()?).ok()?;
    match merge(Some(&held), &claim) {
        ListMerge::United(list) => Some(list.render().into_bytes()),
        ListMerge::Kept if held.version == claim.version => Some(held.render().into_bytes()),
        ListMerge::Kept | ListMerge::Took(_) => None,
    }
}

fn apply(shared: &Shared, follower: &mut ListFollower, file: &str, text: &[u8], source: bool) {
    let together = shared.settings.membership.as_ref().and_then(|_| united(follower, file, text));
    let changed = take(shared, follower, file, together.as_deref().unwrap_or(text));
    let same = EngineList::parse(file, &String::from_utf8_lossy(text)).ok().map(|l| l.version);
    if source && same.is_some() && same == follower.version() {
        shared.send_input(Input::EndpointListConfirmed);
    }
    if !changed {
        return;
    }
    let Some(text) = follower.kept() else { return };
    if let Some(version) = follower.version() {
        shared.fleet.set_endpoint_list(version, &text);
    }
    let Some(kept) = &shared.settings.cached_list_file else { return };
    if let Err(e) = write_whole(Path::new(kept), text.as_bytes()) {
        warn!(file = kept, error = %e, "the list cannot be kept: a restart will begin without it");
    }
}

/// Hands a text to the follower and its changes to the host; whether there were any.
fn take(shared: &Shared, follower: &mut ListFollower, file: &str, text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text);
    let applied = follower.apply(file, &text, |ms| shared.clock.at_unix_ms(ms));
    if matches!(applied, ListChange::Bad(_) | ListChange::Older(_)) {
        shared.counts.lists_refused.fetch_add(1, Ordering::Relaxed);
    }
    match applied {
        ListChange::Same => false,
        ListChange::Changes(form, changes) => {
            info!(file, changes = changes.len(), engines = follower.len(), "list of engines taken in");
            shared.send_input(Input::EndpointList(form, changes));
            true
        }
        ListChange::Bad(Some(error)) => {
            warn!(%error, "the list of engines is not sound: the old list holds");
            false
        }
        ListChange::Older(Some(version)) => {
            warn!(file, version, "the list of engines is older than the one that holds");
            false
        }
        ListChange::Bad(None) | ListChange::Older(None) => false,
    }
}

fn read(path: &str) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    File::open(path)?.take(MAX_FILE as u64 + 1).read_to_end(&mut text)?;
    Ok(text)
}

/// Writes a file so that a crash at any point leaves the old one or the new one.
fn write_whole(path: &Path, text: &[u8]) -> io::Result<()> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    fs::create_dir_all(folder)?;
    // Beside the file and under its whole name: two files that differ in their endings must not share it.
    let mut fresh = path.as_os_str().to_owned();
    fresh.push(".new");
    let mut file = File::create(&fresh)?;
    file.write_all(text)?;
    file.sync_all()?;
    fs::rename(fresh, path)?;
    File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against two files beside each other that take the same name while they are written: a
    /// day's list and the kept list did, and one of them was gone when it was to be renamed.
    #[test]
    fn the_name_while_writing_is_the_files_own() {
        let folder = std::env::temp_dir().join(format!("pintally-watch-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("list.new"), "another's").unwrap();
        write_whole(&folder.join("list.kept"), b"kept").unwrap();
        assert_eq!(fs::read(folder.join("list.kept")).unwrap(), b"kept");
        assert_eq!(fs::read(folder.join("list.new")).unwrap(), b"another's");
        fs::remove_dir_all(&folder).unwrap();
    }
}
