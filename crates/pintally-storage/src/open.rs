//! Opens the copies of the store: each is checked and read; a damaged one is set aside and replaced.

use std::ffi::OsString;
use std::fs::{self, File};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};

use crate::disk::{BufferedFile, Disk, SyncDeferral};
use crate::loaded_records::{LoadIssue, LoadedRecords};
use crate::record::Record;
use crate::storage_faults::FaultyFile;
use crate::store::StoreSettings;

/// The table of records in each copy.
pub(crate) const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
/// Number of copies.
const COPIES: usize = 2;
/// Page cache of each copy.
const PAGE_CACHE_BYTES: usize = 1 << 20;

/// Why a copy cannot be opened or read. The messages are those of the operating system and of the database.
#[derive(Debug, thiserror::Error)]
enum CopyError {
    #[error(transparent)]
    File(#[from] io::Error),
    #[error(transparent)]
    Database(#[from] redb::DatabaseError),
    #[error(transparent)]
    Transaction(#[from] redb::TransactionError),
    #[error(transparent)]
    Table(#[from] redb::TableError),
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    /// The database panicked.
    #[error("the database panicked while it was read")]
    Panic,
}

/// A key and the encoded record that was found under it.
struct StoredEntry {
    key: String,
    bytes: Vec<u8>,
}

/// Opens all copies and loads the newest record of each key. A copy that cannot be used is `None`. Syncs of
/// the copies may be deferred until the records have been passed on.
pub(crate) fn open_copies(
    settings: &StoreSettings,
    deferral: &SyncDeferral,
) -> (Vec<Option<Database>>, LoadedRecords) {
    let mut loaded = LoadedRecords::default();
    if let Err(error) = fs::create_dir_all(&settings.directory) {
        loaded.issues.push(LoadIssue::Unwritable(error.to_string()));
    }
    let copies: Vec<Option<Database>> =
        (0..COPIES).map(|copy| open_copy(settings, deferral, copy, &mut loaded)).collect();
    if copies.iter().all(Option::is_none) {
        loaded.issues.push(LoadIssue::Unwritable("no copy can be opened".into()));
    }
    (copies, loaded)
}

/// Opens one copy and loads its records. A copy that cannot be read is set aside and replaced by an empty
/// one.
fn open_copy(
    settings: &StoreSettings,
    deferral: &SyncDeferral,
    copy: usize,
    loaded: &mut LoadedRecords,
) -> Option<Database> {
    let path = copy_path(&settings.directory, copy);
    let load_error = match load_copy(settings, deferral, &path, copy, loaded) {
        Ok(database) => return Some(database),
        Err(error) => error,
    };
    if let Err(rename_error) = fs::rename(&path, set_aside_path(&path)) {
        let reason = format!("{load_error}; it cannot be set aside: {rename_error}");
        loaded.issues.push(LoadIssue::CopyUnreadable { copy, reason });
        return None;
    }
    loaded.issues.push(LoadIssue::CopyReplaced { copy, reason: load_error.to_string() });
    match load_copy(settings, deferral, &path, copy, loaded) {
        Ok(database) => Some(database),
        Err(error) => {
            loaded.issues.push(LoadIssue::CopyUnreadable { copy, reason: error.to_string() });
            None
        }
    }
}

fn copy_path(directory: &Path, copy: usize) -> PathBuf {
    directory.join(format!("state-{copy}.redb"))
}

fn set_aside_path(path: &Path) -> OsString {
    let mut name = path.as_os_str().to_owned();
    name.push(".aside");
    name
}

fn load_copy(
    settings: &StoreSettings,
    deferral: &SyncDeferral,
    path: &Path,
    copy: usize,
    loaded: &mut LoadedRecords,
) -> Result<Database, CopyError> {
    let disk = open_disk(settings, deferral, path, copy)?;
    // The database reports damage by errors. If it panics on unexpected bytes, the copy is lost in the same
    // way as after an error.
    let read_result = catch_unwind(AssertUnwindSafe(|| read_database(disk)));
    let (database, entries) = read_result.unwrap_or(Err(CopyError::Panic))?;
    for StoredEntry { key, bytes } in entries {
        match Record::decode(&key, &bytes) {
            Ok(record) => loaded.insert_if_newer(record),
            Err(reason) => loaded.issues.push(LoadIssue::RecordRejected { copy, key, reason }),
        }
    }
    Ok(database)
}

fn open_disk(
    settings: &StoreSettings,
    deferral: &SyncDeferral,
    path: &Path,
    copy: usize,
) -> io::Result<Disk> {
    let deferral = deferral.clone();
    if let Some((storage_fault, seed)) = settings.storage_fault {
        let file = FaultyFile::with_deferral(path, storage_fault, seed ^ copy as u64, deferral)?;
        return Ok(Box::new(file));
    }
    let file = File::options().read(true).write(true).create(true).truncate(false).open(path)?;
    Ok(Box::new(BufferedFile::with_deferral(file, deferral)))
}

/// Opens a database, checks its integrity and reads all of its entries.
fn read_database(disk: Disk) -> Result<(Database, Vec<StoredEntry>), CopyError> {
    let mut builder = Database::builder();
    builder.set_cache_size(PAGE_CACHE_BYTES).set_check_integrity_on_open(true);
    let database = builder.create_with_backend(BoxedDisk(disk))?;
    let transaction = database.begin_read()?;
    let table = match transaction.open_table(TABLE) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok((database, Vec::new())),
        Err(error) => return Err(error.into()),
    };
    let mut entries = Vec::new();
    for entry in table.iter()? {
        let (key, value) = entry?;
        entries.push(StoredEntry { key: key.value().to_string(), bytes: value.value().to_vec() });
    }
    Ok((database, entries))
}

/// A boxed disk, as a type that the database's builder accepts.
#[derive(Debug)]
struct BoxedDisk(Disk);

impl StorageBackend for BoxedDisk {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }
    fn sync_data(&self) -> io::Result<()> {
        self.0.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
}
