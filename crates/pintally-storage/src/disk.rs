//! The files that hold the copies of the store.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use redb::StorageBackend;

/// A disk that holds a copy of the store.
pub type Disk = Box<dyn StorageBackend>;

/// Whether the syncs of a store's files are deferred, which they are while its records are loaded.
///
/// Opening a database after a kill repairs it, with several syncs. A disk that is busy can take longer for
/// these than the start of a node waits, although it could be read at once.
#[derive(Clone, Debug, Default)]
pub(crate) struct SyncDeferral(Arc<AtomicBool>);

impl SyncDeferral {
    /// Defers syncs until [`SyncDeferral::end`].
    pub(crate) fn start() -> SyncDeferral {
        SyncDeferral(Arc::new(AtomicBool::new(true)))
    }

    /// The next sync of each file carries out the deferred ones too.
    pub(crate) fn end(&self) {
        self.0.store(false, Ordering::Release);
    }

    fn is_active(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A file whose writes are buffered until a sync. Writes that were not synced are lost with the process, as
/// in a power loss; a correct disk does not guarantee more than that either.
#[derive(Debug)]
pub struct BufferedFile {
    file: File,
    pending: Mutex<PendingWrites>,
    deferral: SyncDeferral,
}

/// What is to be written up to a sync.
#[derive(Debug, Default)]
struct WriteBatch {
    /// In the order in which they reach the file.
    writes: Vec<PendingWrite>,
    /// A length that was not set yet.
    len: Option<u64>,
}

impl WriteBatch {
    fn write_to(self, file: &File) -> io::Result<()> {
        if let Some(len) = self.len {
            file.set_len(len)?;
        }
        for write in self.writes {
            file.write_all_at(&write.bytes, write.offset)?;
        }
        file.sync_data()
    }
}

/// Writes that were not synced yet.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    /// Those before each deferred sync. A batch must be on the disk before the next one is written.
    deferred: Vec<WriteBatch>,
    /// Those since the last sync.
    current: WriteBatch,
}

/// Bytes to be written at an offset.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    pub(crate) offset: u64,
    pub(crate) bytes: Vec<u8>,
}

impl PendingWrites {
    fn batches(&self) -> impl DoubleEndedIterator<Item = &WriteBatch> {
        self.deferred.iter().chain([&self.current])
    }

    fn len(&self) -> Option<u64> {
        self.batches().rev().find_map(|batch| batch.len)
    }

    /// Overwrites bytes that were read from the file with the pending ones.
    fn overlay(&self, offset: u64, out: &mut [u8]) {
        for write in self.batches().flat_map(|batch| &batch.writes) {
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
        let writes = &mut self.current.writes;
        let is_same_range = |write: &PendingWrite| write.offset == offset && write.bytes.len() == data.len();
        if let Some(same) = writes.iter().position(is_same_range) {
            writes.remove(same);
        }
        writes.push(PendingWrite { offset, bytes: data.to_vec() });
    }

    /// The writes since the last sync, in the order in which they reach the file.
    pub(crate) fn current_writes(&mut self) -> &mut Vec<PendingWrite> {
        &mut self.current.writes
    }

    /// Writes all pending writes to the file and syncs it, once for each sync that was deferred. Writes that
    /// fail are no longer pending.
    pub(crate) fn sync_to(&mut self, file: &File) -> io::Result<()> {
        let current = std::mem::take(&mut self.current);
        for batch in self.deferred.drain(..).chain([current]) {
            batch.write_to(file)?;
        }
        Ok(())
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
        BufferedFile::with_deferral(file, SyncDeferral::default())
    }

    pub(crate) fn with_deferral(file: File, deferral: SyncDeferral) -> BufferedFile {
        BufferedFile { file, pending: Mutex::default(), deferral }
    }

    /// Defers a sync, if syncs are deferred. Returns whether it did.
    pub(crate) fn defer_sync(&self) -> bool {
        if !self.deferral.is_active() {
            return false;
        }
        let mut pending = self.pending();
        let batch = std::mem::take(&mut pending.current);
        pending.deferred.push(batch);
        true
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
        match self.pending().len() {
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
        self.pending().current.len = Some(len);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        if self.defer_sync() {
            return Ok(());
        }
        self.pending().sync_to(&self.file)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.pending().push(offset, data);
        Ok(())
    }
}
