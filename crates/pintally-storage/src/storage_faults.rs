//! Storage fault injection for tests and scenarios.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;

use crate::disk::{BufferedFile, PendingWrite, PendingWrites, SyncDeferral};

/// A fault of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageFault {
    /// Syncs are acknowledged, but only one in several is carried out.
    LostSyncs,
    /// Only the first half of a sync's last write reaches the disk; the other half is written by the next
    /// sync.
    TornWrite,
    /// One bit of the file is flipped at each start.
    FlippedBit,
    /// At each start the file is restored to an image from early in the node's first process.
    OlderImage,
    /// The disk is full.
    Full,
    /// The disk is read-only.
    ReadOnly,
    /// Opening a file and each sync take this long.
    Slow(Duration),
    /// Each sync takes this long; the disk is read without delay.
    SlowSyncs(Duration),
    /// One in several reads fails.
    ReadErrors,
}

/// With [`StorageFault::LostSyncs`] one in this many syncs is carried out.
const SYNCS_PER_EFFECTIVE_SYNC: u64 = 8;
/// With [`StorageFault::ReadErrors`] one in this many reads fails.
const READS_PER_FAILURE: u64 = 3;
/// With [`StorageFault::OlderImage`] the image is taken after this many syncs.
const SYNCS_BEFORE_IMAGE: u64 = 12;

/// A file on a disk with a [`StorageFault`].
#[derive(Debug)]
pub struct FaultyFile {
    buffer: BufferedFile,
    image_path: PathBuf,
    path: PathBuf,
    storage_fault: StorageFault,
    syncs: AtomicU64,
    reads: AtomicU64,
}

impl FaultyFile {
    /// Opens a file on a disk with a fault. A fault that changes the content of the file is applied first.
    ///
    /// # Errors
    ///
    /// Any error of the file system.
    pub fn open(path: &Path, storage_fault: StorageFault, seed: u64) -> io::Result<FaultyFile> {
        FaultyFile::with_deferral(path, storage_fault, seed, SyncDeferral::default())
    }

    pub(crate) fn with_deferral(
        path: &Path,
        storage_fault: StorageFault,
        seed: u64,
        deferral: SyncDeferral,
    ) -> io::Result<FaultyFile> {
        let image_path = image_path(path);
        match storage_fault {
            StorageFault::OlderImage if image_path.exists() => {
                fs::copy(&image_path, path)?;
            }
            StorageFault::FlippedBit => flip_bit(path, seed)?,
            StorageFault::Slow(duration) => thread::sleep(duration),
            _ => {}
        }
        let file = File::options().read(true).write(true).create(true).truncate(false).open(path)?;
        Ok(FaultyFile {
            buffer: BufferedFile::with_deferral(file, deferral),
            image_path,
            path: path.to_path_buf(),
            storage_fault,
            syncs: AtomicU64::new(0),
            reads: AtomicU64::new(0),
        })
    }

    fn check_writable(&self) -> io::Result<()> {
        match self.storage_fault {
            StorageFault::Full => Err(io::ErrorKind::StorageFull.into()),
            StorageFault::ReadOnly => Err(io::ErrorKind::ReadOnlyFilesystem.into()),
            _ => Ok(()),
        }
    }

    fn is_image_due(&self, syncs: u64) -> bool {
        self.storage_fault == StorageFault::OlderImage
            && syncs == SYNCS_BEFORE_IMAGE
            && !self.image_path.exists()
    }
}

fn image_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".image");
    name.into()
}

fn flip_bit(path: &Path, seed: u64) -> io::Result<()> {
    let mut bytes = match fs::read(path) {
        Ok(bytes) if !bytes.is_empty() => bytes,
        Ok(_) => return Ok(()),
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(error),
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let index = (rng.next_u64() % bytes.len() as u64) as usize;
    bytes[index] ^= 1 << (rng.next_u32() % 8);
    fs::write(path, bytes)
}

/// Cuts the last write in half, and returns the second half.
fn tear_last_write(pending: &mut PendingWrites) -> Option<PendingWrite> {
    let last = pending.current_writes().last_mut().filter(|write| write.bytes.len() > 1)?;
    let cut = last.bytes.len() / 2;
    let bytes = last.bytes.split_off(cut);
    Some(PendingWrite { offset: last.offset + cut as u64, bytes })
}

impl StorageBackend for FaultyFile {
    fn len(&self) -> io::Result<u64> {
        self.buffer.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let reads = self.reads.fetch_add(1, Ordering::Relaxed);
        let is_failing_read = reads % READS_PER_FAILURE == READS_PER_FAILURE - 1;
        if self.storage_fault == StorageFault::ReadErrors && is_failing_read {
            return Err(io::Error::other("injected read error"));
        }
        self.buffer.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.check_writable()?;
        self.buffer.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.check_writable()?;
        let syncs = self.syncs.fetch_add(1, Ordering::Relaxed) + 1;
        if self.buffer.defer_sync() {
            return Ok(());
        }
        match self.storage_fault {
            StorageFault::LostSyncs if !syncs.is_multiple_of(SYNCS_PER_EFFECTIVE_SYNC) => return Ok(()),
            StorageFault::Slow(duration) | StorageFault::SlowSyncs(duration) => thread::sleep(duration),
            _ => {}
        }
        let mut pending = self.buffer.pending();
        let torn_off = match self.storage_fault {
            StorageFault::TornWrite => tear_last_write(&mut pending),
            _ => None,
        };
        pending.sync_to(self.buffer.file())?;
        pending.current_writes().extend(torn_off);
        if self.is_image_due(syncs) {
            fs::copy(&self.path, &self.image_path)?;
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.check_writable()?;
        self.buffer.write(offset, data)
    }
}
