//! Replaces the files that nodes watch.
//!
//! On a busy disk a rename can take seconds. During a run a thread of its own replaces the files, because the
//! requests of clients must go on meanwhile: a pause ends in a burst that the scenario does not have.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};

use pintally_audit::AuditEvent;
use pintally_mock_engine::Recorder;

/// New content of a file.
pub(crate) struct FileReplacement {
    pub(crate) file: PathBuf,
    pub(crate) text: String,
    /// What readers learn from it.
    pub(crate) events: Vec<AuditEvent>,
}

impl FileReplacement {
    /// Replaces the file atomically: a reader sees either the old or the new content. The events are recorded
    /// just before, so that they count as published from this moment.
    pub(crate) fn write(self, recorder: &Recorder) -> io::Result<()> {
        let fresh = fresh_path(&self.file);
        fs::write(&fresh, self.text)?;
        self.events.into_iter().for_each(|event| recorder.note(event));
        fs::rename(fresh, self.file)
    }
}

fn fresh_path(file: &Path) -> PathBuf {
    let mut fresh = file.as_os_str().to_owned();
    fresh.push(".new");
    fresh.into()
}

/// A thread that replaces files in the order in which it is given them.
pub(crate) struct FileWriter {
    replacements: Option<Sender<FileReplacement>>,
    thread: Option<JoinHandle<()>>,
    /// The first error.
    error: Arc<Mutex<Option<io::Error>>>,
}

impl FileWriter {
    pub(crate) fn start(recorder: Recorder) -> io::Result<FileWriter> {
        let (replacements, received) = channel::<FileReplacement>();
        let error = Arc::new(Mutex::new(None));
        let first_error = error.clone();
        let run = move || {
            for replacement in received {
                if let Err(error) = replacement.write(&recorder) {
                    first_error.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(error);
                }
            }
        };
        let thread = thread::Builder::new().name("files".into()).spawn(run)?;
        Ok(FileWriter { replacements: Some(replacements), thread: Some(thread), error })
    }

    /// Queues a replacement.
    ///
    /// # Errors
    ///
    /// The error of an earlier one.
    pub(crate) fn replace(&self, replacement: FileReplacement) -> io::Result<()> {
        if let Some(error) = self.error.lock().unwrap_or_else(PoisonError::into_inner).take() {
            return Err(error);
        }
        if let Some(replacements) = &self.replacements {
            replacements.send(replacement).map_err(|_| io::Error::other("the writer of files has ended"))?;
        }
        Ok(())
    }
}

impl Drop for FileWriter {
    fn drop(&mut self) {
        self.replacements = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

#[cfg(test)]
mod tests;
