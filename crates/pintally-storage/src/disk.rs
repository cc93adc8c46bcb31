//! Disks, as the store sees them.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::Mutex;

use redb::StorageBackend;

/// A disk that a store may lie on.
pub type Disk = Box<dyn StorageBackend>;

/// A file whose writes reach it only with a sync, as if the power could fail at any time: what was not
/// synced dies with the process. Also what an honest disk promises, and no more.
#[derive(Debug)]
pub struct BufferedFile {
    file: File,
    pending: Mutex<Pending>,
}

/// Writes that are not safe yet.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    /// In order, by offset.
    pub(crate) writes: Vec<(u64, Vec<u8>)>,
    pub(crate) len: Option<u64>,
}

impl Pending {
    /// Lays what is pending over what the file holds.
    pub(crate) fn over(&self, offset: u64, out: &mut [u8]) {
        for (at, bytes) in &self.writes {
            let from = (*at).max(offset);
            let to = (at + bytes.len() as u64).min(offset + out.len() as u64);
            if from < to {
                let (here, there) = ((from - offset) as usize, (from - at) as usize);
                let n = (to - from) as usize;
                out[here..here + n].copy_from_slice(&bytes[there..there + n]);
            }
        }
    }

    /// A write; one to the same place takes the place of the one before.
    pub(crate) fn write(&mut self, offset: u64, data: &[u8]) {
        if let Some(same) = self.writes.iter().position(|(at, b)| *at == offset && b.len() == data.len()) {
            self.writes.remove(same);
        }
        self.writes.push((offset, data.to_vec()));
    }
}

/// Reads from a file what it holds, and zeroes behind its end.
pub(crate) fn read_file(file: &File, offset: u64, out: &mut [u8]) -> io::Result<()> {
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

/// Carries out what is pending.
pub(crate) fn carry_out(file: &File, pending: &mut Pending) -> io::Result<()> {
    if let Some(len) = pending.len.take() {
        file.set_len(len)?;
    }
    let merged: BTreeMap<usize, (u64, Vec<u8>)> = pending.writes.drain(..).enumerate().collect();
    for (at, bytes) in merged.into_values() {
        file.write_all_at(&bytes, at)?;
    }
    file.sync_data()
}

impl BufferedFile {
    /// A disk over a file that can be read and written.
    pub fn new(file: File) -> BufferedFile {
        BufferedFile { file, pending: Mutex::default() }
    }

    fn pending(&self) -> std::sync::MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(|e| e.into_inner())
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
        pending.over(offset, out);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.pending().len = Some(len);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        carry_out(&self.file, &mut self.pending())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.pending().write(offset, data);
        Ok(())
    }
}
