//! Files that are watched, and files that are replaced atomically.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::Path;

use pintally_config::form::MAX_FILE_BYTES;

/// A watched file: its bytes as last read, and whether it could not be read.
#[derive(Default)]
pub(super) struct WatchedFile {
    last: Vec<u8>,
    unreadable: bool,
}

impl WatchedFile {
    /// The file's bytes if they have changed; an error is returned once until the file can be read again.
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

/// Reads a file up to one byte over the largest that is parsed, so that a larger one is an error there.
pub(super) fn read(path: &str) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Replaces a file so that a crash at any point leaves the old one or the new one.
pub(super) fn replace_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    fs::create_dir_all(folder)?;
    // Beside the file and under its full name: two files that differ in their extensions must not share it.
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(temporary, path)?;
    File::open(folder)?.sync_all()
}
