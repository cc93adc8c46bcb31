//! The files that hold the copies of the store.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::{Mutex, MutexGuard};

use redb::StorageBackend;

/// A disk that holds a copy of the store.
pub type Disk = Box<dyn StorageBackend>;

/// A file that writes reach only with a sync: what was not synced is lost with the process, as with a power
/// loss. That is also what an honest disk promises, and no more.
#[derive(Debug)]
pub struct BufferedFile {
    file: File,
    pending: Mutex<PendingWrites>,
}

/// Writes that were not synced yet.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    /// In the order in which they are carried out.
    pub(crate) writes: Vec<PendingWrite>,
    len: Option<u64>,
}

/// Bytes to be written at an offset.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    pub(crate) offset: u64,
    pub(crate) bytes: Vec<u8>,
}

impl PendingWrites {
    /// Overlays bytes that were read from the file with those that are pending.
    fn overlay(&self, offset: u64, out: &mut [u8]) {
        for write in &self.writes {
            let from = write.offset.max(offset);
            let to = (write.offset + write.bytes.len() as u64).min(offset + out.len() as u64);
            if from >= to {
                continue;
            }
            let target = (from - offset) as usize;
            let source = (from - write.offset) as usize;
            let len = (to - from) as usize;
            out[target..target + len].copy_from_slice(&write.bytes[source..source + len]);
        }
    }

    /// Adds a write; it replaces an earlier one of the same range.
    fn push(&mut self, offset: u64, data: &[u8]) {
        let is_same_range = |write: &PendingWrite| write.offset == offset && write.bytes.len() == data.len();
        if let Some(same) = self.writes.iter().position(is_same_range) {
            self.writes.remove(same);
        }
        self.writes.push(PendingWrite { offset, bytes: data.to_vec() });
    }

    /// Writes everything to the file and syncs it. What fails is no longer pending.
    pub(crate) fn sync_to(&mut self, file: &File) -> io::Result<()> {
        if let Some(len) = self.len.take() {
            file.set_len(len)?;
        }
        for write in self.writes.drain(..) {
            file.write_all_at(&write.bytes, write.offset)?;
        }
        file.sync_data()
    }
}

/// Reads from a file, and zeroes beyond its end.
fn read_file(file: &File, offset: u64, out: &mut [u8]) -> io::Result<()> {
    let mut done = 0;
    while done < out.len() {
        match file.read_at(&mut out[done..], offset + done as u64) {
            Ok(0) => {
                out[done..].fill(0);
                return Ok(());
            }
            Ok(n) => done += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

impl BufferedFile {
    /// Buffers the writes to a file that was opened for reading and writing.
    pub fn new(file: File) -> BufferedFile {
        BufferedFile { file, pending: Mutex::default() }
    }

    pub(crate) fn file(&self) -> &File {
        &self.file
    }

    pub(crate) fn pending(&self) -> MutexGuard<'_, PendingWrites> {
        self.pending.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl StorageBackend for BufferedFile {
    fn len(&self) -> io::Result<u64> {
        match self.pending().len {
            Some(len) => Ok(len),
            None => Ok(self.file.metadata()?.len()),
        }
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let pending = self.pending();
        read_file(&self.file, offset, out)?;
        pending.overlay(offset, out);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.pending().len = Some(len);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.pending().sync_to(&self.file)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.pending().push(offset, data);
        Ok(())
    }
}
