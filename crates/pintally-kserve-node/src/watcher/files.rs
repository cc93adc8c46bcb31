//! Reads watched files, and replaces cached files atomically.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::Path;

use pintally_config::form::MAX_FILE_BYTES;

/// A watched file: its last contents, and whether the last read failed.
#[derive(Default)]
pub(super) struct WatchedFile {
    last: Vec<u8>,
    unreadable: bool,
}

impl WatchedFile {
    /// Returns the file's bytes if they have changed. An error is returned only once until the file is
    /// readable again.
    pub(super) fn read_if_changed(&mut self, path: &str) -> Option<io::Result<Vec<u8>>> {
        match read(path) {
            Ok(bytes) => {
                self.unreadable = false;
                let changed = bytes != self.last;
                self.last.clone_from(&bytes);
                changed.then_some(Ok(bytes))
            }
            Err(error) => {
                let reported = std::mem::replace(&mut self.unreadable, true);
                (!reported).then_some(Err(error))
            }
        }
    }
}

/// Reads a file up to one byte over the maximum size, so that the parser rejects a file that is too large.
pub(super) fn read(path: &str) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Replaces a file atomically: a crash at any point leaves either the old or the new file.
pub(super) fn replace_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    fs::create_dir_all(folder)?;
    // In the same directory, with the suffix after the full file name, so that files which differ only in
    // their extension have different temporary names.
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(temporary, path)?;
    File::open(folder)?.sync_all()
}
