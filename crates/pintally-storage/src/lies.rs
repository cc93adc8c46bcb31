//! Disks that lie, for tests and days. They stand in the place of an honest one inside the process.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;

use crate::disk::{carry_out, read_file, Pending};

/// How a disk lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageFault {
    /// A sync is acknowledged and not done; only every so manieth is.
    LostSyncs,
    /// The last write of a sync reaches the disk by half; its rest comes with the next sync.
    TornWrite,
    /// At each start one bit of the file is another.
    FlippedBit,
    /// At each start the file is as it was early in its first life.
    OlderImage,
    /// Nothing more fits.
    Full,
    /// Nothing can be written.
    ReadOnly,
    /// Each sync takes so long.
    Slow(Duration),
    /// Reads fail, one in so many.
    ReadErrors,
}

/// Of so many syncs one is done where syncs are lost.
const SYNCS_KEPT: u64 = 8;
/// Of so many reads one fails.
const READS_FAIL: u64 = 3;
/// The image that comes back is the one after so many syncs.
const IMAGE_AFTER: u64 = 12;

/// A file on a disk that lies.
#[derive(Debug)]
pub struct FaultyFile {
    file: File,
    path: PathBuf,
    storage_fault: StorageFault,
    pending: Mutex<Pending>,
    syncs: AtomicU64,
    reads: AtomicU64,
}

impl FaultyFile {
    /// Opens a file on such a disk; what the lie does to an image is done to it first.
    pub fn open(path: &Path, storage_fault: StorageFault, seed: u64) -> io::Result<FaultyFile> {
        let image = with_ending(path, "image");
        match storage_fault {
            StorageFault::OlderImage if image.exists() => {
                fs::copy(&image, path)?;
            }
            StorageFault::FlippedBit => flip(path, seed)?,
            _ => {}
        }
        let file = File::options().read(true).write(true).create(true).truncate(false).open(path)?;
        let (pending, path) = (Mutex::default(), path.to_path_buf());
        Ok(FaultyFile {
            file,
            path,
            storage_fault,
            pending,
            syncs: AtomicU64::new(0),
            reads: AtomicU64::new(0),
        })
    }

    fn pending(&self) -> std::sync::MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn writable(&self) -> io::Result<()> {
        match self.storage_fault {
            StorageFault::Full => Err(io::ErrorKind::StorageFull.into()),
            StorageFault::ReadOnly => Err(io::ErrorKind::ReadOnlyFilesystem.into()),
            _ => Ok(()),
        }
    }
}

fn with_ending(path: &Path, ending: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".");
    name.push(ending);
    name.into()
}

fn flip(path: &Path, seed: u64) -> io::Result<()> {
    let mut bytes = match fs::read(path) {
        Ok(bytes) if !bytes.is_empty() => bytes,
        Ok(_) => return Ok(()),
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(e) => return Err(e),
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let place = (rng.next_u64() % bytes.len() as u64) as usize;
    bytes[place] ^= 1 << (rng.next_u32() % 8);
    fs::write(path, bytes)
}

impl StorageBackend for FaultyFile {
    fn len(&self) -> io::Result<u64> {
        match self.pending().len {
            Some(len) => Ok(len),
            None => Ok(self.file.metadata()?.len()),
        }
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let reads = self.reads.fetch_add(1, Ordering::Relaxed);
        if self.storage_fault == StorageFault::ReadErrors && reads % READS_FAIL == READS_FAIL - 1 {
            return Err(io::Error::other("the disk cannot read this"));
        }
        let pending = self.pending();
        read_file(&self.file, offset, out)?;
        pending.over(offset, out);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.writable()?;
        self.pending().len = Some(len);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.writable()?;
        let syncs = self.syncs.fetch_add(1, Ordering::Relaxed) + 1;
        match self.storage_fault {
            StorageFault::LostSyncs if !syncs.is_multiple_of(SYNCS_KEPT) => return Ok(()),
            StorageFault::Slow(span) => thread::sleep(span),
            _ => {}
        }
        let mut pending = self.pending();
        let mut rest = None;
        if self.storage_fault == StorageFault::TornWrite {
            if let Some((at, bytes)) = pending.writes.last_mut().filter(|(_, b)| b.len() > 1) {
                let half = bytes.len() / 2;
                rest = Some((*at + half as u64, bytes.split_off(half)));
            }
        }
        carry_out(&self.file, &mut pending)?;
        pending.writes.extend(rest);
        if self.storage_fault == StorageFault::OlderImage
            && syncs == IMAGE_AFTER
            && !with_ending(&self.path, "image").exists()
        {
            fs::copy(&self.path, with_ending(&self.path, "image"))?;
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.writable()?;
        self.pending().write(offset, data);
        Ok(())
    }
}
