//! The files that hold the copies of the store.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::{Mutex, MutexGuard};

use redb::StorageBackend;

/// A disk that holds a copy of the store.
pub type Disk = Box<dyn StorageBackend>;

/// A file whose writes are buffered until a sync. Writes that were not synced are lost with the process, as
/// in a power loss; a correct disk does not guarantee more than that either.
#[derive(Debug)]
pub struct BufferedFile {
    file: File,
    pending: Mutex<PendingWrites>,
}

/// Writes that were not synced yet, and a length that was not set yet.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    /// In the order in which they reach the file.
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
    /// Overwrites bytes that were read from the file with the pending ones.
    fn overlay(&self, offset: u64, out: &mut [u8]) {
        for write in &self.writes {
            let start = write.offset.max(offset);
            let end = (write.offset + write.bytes.len() as u64).min(offset + out.len() as u64);
            if start >= end {
                continue;
            }
            let target = (start - offset) as usize;
            let source = (start - write.offset) as usize;
            let len = (end - start) as usize;
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

    /// Writes all pending writes to the file and syncs it. Writes that fail are no longer pending.
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

/// Reads from a file; bytes beyond its end are zero.
fn read_file(file: &File, offset: u64, out: &mut [u8]) -> io::Result<()> {
    let mut bytes_read = 0;
    while bytes_read < out.len() {
        match file.read_at(&mut out[bytes_read..], offset + bytes_read as u64) {
            Ok(0) => {
                out[bytes_read..].fill(0);
                return Ok(());
            }
            Ok(n) => bytes_read += n,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
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
