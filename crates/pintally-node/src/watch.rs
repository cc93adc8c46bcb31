//! Watches the list of engines, and keeps the last good one on disk.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use pintally::interface::ListForm;
use pintally_config::form::FILE_MOST;
use pintally_host::{Applied, Input, ListFollower};
use tracing::{info, warn};

use crate::shared::Shared;

/// Follows the list until the channel closes; a message on it asks for another look at once.
pub(crate) fn run(shared: &Shared, mut follower: ListFollower, look: &Receiver<()>) {
    let every = Duration::from_micros(shared.settings.engines_every);
    let file = shared.settings.engines_file.clone();
    let (mut last, mut missing) = (Vec::new(), false);
    loop {
        match read(&file) {
            Ok(text) if text != last => {
                missing = false;
                apply(shared, &mut follower, &file, &text);
                last = text;
            }
            Ok(_) => missing = false,
            Err(e) => {
                if !std::mem::replace(&mut missing, true) {
                    warn!(file, error = %e, "the list of engines cannot be read: the old list holds");
                    shared.tell(Input::List(ListForm::Failed, Vec::new()));
                }
            }
        }
        match look.recv_timeout(every) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        shared.pool.sweep();
    }
}

/// Takes in the list that was kept before the last end, if there is one.
pub(crate) fn restore(shared: &Shared, follower: &mut ListFollower) {
    let Some(kept) = &shared.settings.kept_list else { return };
    match read(kept) {
        Ok(text) => take(shared, follower, kept, &text),
        Err(e) if e.kind() == io::ErrorKind::NotFound => false,
        Err(e) => {
            warn!(file = kept, error = %e, "the kept list cannot be read");
            false
        }
    };
}

fn apply(shared: &Shared, follower: &mut ListFollower, file: &str, text: &[u8]) {
    if !take(shared, follower, file, text) {
        return;
    }
    let Some(kept) = &shared.settings.kept_list else { return };
    let Some(text) = follower.kept() else { return };
    if let Err(e) = write_whole(Path::new(kept), text.as_bytes()) {
        warn!(file = kept, error = %e, "the list cannot be kept: a restart will begin without it");
    }
}

/// Hands a text to the follower and its changes to the host; whether there were any.
fn take(shared: &Shared, follower: &mut ListFollower, file: &str, text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text);
    let applied = follower.apply(file, &text, |ms| shared.clock.at_unix_ms(ms));
    if matches!(applied, Applied::Bad(_) | Applied::Older(_)) {
        shared.counts.lists_refused.fetch_add(1, Ordering::Relaxed);
    }
    match applied {
        Applied::Same => false,
        Applied::Changes(form, changes) => {
            info!(file, changes = changes.len(), engines = follower.len(), "list of engines taken in");
            shared.tell(Input::List(form, changes));
            true
        }
        Applied::Bad(Some(error)) => {
            warn!(%error, "the list of engines is not sound: the old list holds");
            false
        }
        Applied::Older(Some(version)) => {
            warn!(file, version, "the list of engines is older than the one that holds");
            false
        }
        Applied::Bad(None) | Applied::Older(None) => false,
    }
}

fn read(path: &str) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    File::open(path)?.take(FILE_MOST as u64 + 1).read_to_end(&mut text)?;
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
