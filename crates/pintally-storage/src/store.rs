//! The store: two copies, one thread that commits.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use tracing::warn;

use crate::disk::{BufferedFile, Disk};
use crate::lies::{FaultyFile, StorageFault};
use crate::loaded::{LoadIssue, Loaded};
use crate::record::{Record, MAX_KEY_BYTES, MAX_PAYLOAD_BYTES};

const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
/// Copies of everything.
const COPIES: usize = 2;
/// Bytes of pages that each copy keeps in memory.
const CACHE: usize = 1 << 20;
/// A key and the bytes that stand under it.
type Entry = (String, Vec<u8>);

/// Records that wait for a commit; further keys are dropped and counted.
const MAX_WAITING: usize = 65_536;

/// Where and how often a node keeps its state.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// The folder of the files; made if it is not there.
    pub folder: PathBuf,
    /// Between two commits.
    pub every: Duration,
    /// The disk's tellings are waited for so long at the start; then the node goes on without.
    pub within: Duration,
    /// A disk that lies, for days and tests, with the seed of what it does.
    pub storage_fault: Option<(StorageFault, u64)>,
}

/// How the store fares.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Commits that reached a copy at least.
    pub commits: u64,
    /// Commits of one copy that failed.
    pub failed: u64,
    /// Records that were not kept for want of room in the queue.
    pub dropped: u64,
    /// The last failure, until a commit works again.
    pub trouble: Option<String>,
}

#[derive(Default)]
struct Queue {
    waiting: BTreeMap<String, Vec<u8>>,
    /// Since when something waits, or is being written.
    since: Option<Instant>,
    closing: bool,
    health: Health,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    woken: Condvar,
}

impl Shared {
    fn queue(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// What a node keeps. Dropping it commits what waits, if the disk lets it in time.
pub struct Store {
    shared: Arc<Shared>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Store {
    /// Opens the store and reads what it holds. Never fails: without a disk the store takes everything
    /// and keeps nothing, and what was found says so. Returns within `within`, whatever the disk does.
    pub fn open(settings: &StoreSettings) -> (Store, Loaded) {
        let shared = Arc::new(Shared::default());
        let (told, telling) = crossbeam_channel::bounded(1);
        let (own, own_settings) = (shared.clone(), settings.clone());
        let run = move || {
            let (copies, loaded) = open_all(&own_settings);
            let latest = loaded.latest();
            let _ = told.send(loaded);
            commit_all(&own, &own_settings, copies, latest);
        };
        let thread = thread::Builder::new().name("store".into()).spawn(run).ok();
        let late = || Loaded { issues: vec![LoadIssue::TimedOut], ..Loaded::default() };
        let loaded = telling.recv_timeout(settings.within).unwrap_or_else(|_| late());
        (Store { shared, thread }, loaded)
    }

    /// Keeps a payload under a key, in place of what stood there; an empty one takes it back. Does not
    /// wait for the disk: a power loss before the next commit ends loses it.
    pub fn put(&self, key: &str, payload: Vec<u8>) {
        if key.is_empty() || key.len() > MAX_KEY_BYTES || payload.len() > MAX_PAYLOAD_BYTES {
            self.shared.queue().health.dropped += 1;
            return;
        }
        let mut queue = self.shared.queue();
        if queue.waiting.len() >= MAX_WAITING && !queue.waiting.contains_key(key) {
            queue.health.dropped += 1;
            return;
        }
        queue.waiting.insert(key.to_string(), payload);
        queue.since.get_or_insert_with(Instant::now);
        drop(queue);
        self.shared.woken.notify_one();
    }

    /// For how long the oldest record that is not safe yet has waited: what a power loss now would cost.
    pub fn at_risk(&self) -> Duration {
        self.shared.queue().since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// How it fares.
    pub fn health(&self) -> Health {
        self.shared.queue().health.clone()
    }

    /// Commits what waits, and waits for that at most so long; whether all of it is safe.
    pub fn flush(&self, within: Duration) -> bool {
        let by = Instant::now() + within;
        while self.shared.queue().since.is_some() {
            if Instant::now() > by {
                return false;
            }
            self.shared.woken.notify_one();
            thread::sleep(Duration::from_millis(1));
        }
        true
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.shared.queue().closing = true;
        self.shared.woken.notify_one();
        // A disk that is slow by seconds does not hold up the end of the process.
        let by = Instant::now() + Duration::from_secs(2);
        if let Some(thread) = self.thread.take() {
            while !thread.is_finished() && Instant::now() < by {
                thread::sleep(Duration::from_millis(1));
            }
        }
    }
}

fn name_of(folder: &Path, copy: usize) -> PathBuf {
    folder.join(format!("state-{copy}.redb"))
}

fn open_all(settings: &StoreSettings) -> (Vec<Option<Database>>, Loaded) {
    let mut loaded = Loaded::default();
    let made = fs::create_dir_all(&settings.folder);
    if let Err(e) = made {
        loaded.issues.push(LoadIssue::Unwritable(e.to_string()));
    }
    let copies: Vec<Option<Database>> =
        (0..COPIES).map(|copy| open_copy(settings, copy, &mut loaded)).collect();
    if copies.iter().all(Option::is_none) {
        loaded.issues.push(LoadIssue::Unwritable("no copy can be opened".into()));
    }
    (copies, loaded)
}

/// Opens a copy and takes in what it holds. One that is of no use is set aside and begun anew.
fn open_copy(settings: &StoreSettings, copy: usize, loaded: &mut Loaded) -> Option<Database> {
    let path = name_of(&settings.folder, copy);
    let why = match read_copy(settings, &path, copy, loaded) {
        Ok(database) => return Some(database),
        Err(why) => why,
    };
    let mut aside = path.clone().into_os_string();
    aside.push(".aside");
    if let Err(e) = fs::rename(&path, aside) {
        loaded.issues.push(LoadIssue::CopyUnreadable(copy, format!("{why}; it cannot be set aside: {e}")));
        return None;
    }
    loaded.issues.push(LoadIssue::CopyReplaced(copy, why));
    match read_copy(settings, &path, copy, loaded) {
        Ok(database) => Some(database),
        Err(why) => {
            loaded.issues.push(LoadIssue::CopyUnreadable(copy, why));
            None
        }
    }
}

fn read_copy(
    settings: &StoreSettings,
    path: &Path,
    copy: usize,
    loaded: &mut Loaded,
) -> Result<Database, String> {
    let disk: Disk = match settings.storage_fault {
        Some((storage_fault, seed)) => {
            Box::new(FaultyFile::open(path, storage_fault, seed ^ copy as u64).map_err(|e| e.to_string())?)
        }
        None => {
            let file = File::options().read(true).write(true).create(true).truncate(false).open(path);
            Box::new(BufferedFile::new(file.map_err(|e| e.to_string())?))
        }
    };
    // The store's own checks answer with errors; should one of them panic on bytes that nobody foresaw,
    // the copy is as lost as with an error.
    let read = catch_unwind(AssertUnwindSafe(|| -> Result<(Database, Vec<Entry>), String> {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE).set_check_integrity_on_open(true);
        let database = builder.create_with_backend(Boxed(disk)).map_err(|e| e.to_string())?;
        let mut found = Vec::new();
        let reading = database.begin_read().map_err(|e| e.to_string())?;
        match reading.open_table(TABLE) {
            Ok(table) => {
                for entry in table.iter().map_err(|e| e.to_string())? {
                    let (key, value) = entry.map_err(|e| e.to_string())?;
                    found.push((key.value().to_string(), value.value().to_vec()));
                }
            }
            Err(redb::TableError::TableDoesNotExist(_)) => {}
            Err(e) => return Err(e.to_string()),
        }
        Ok((database, found))
    }));
    let (database, found) = read.unwrap_or_else(|_| Err("the store gave up on its bytes".into()))?;
    for (key, bytes) in found {
        match Record::decode(&key, &bytes) {
            Ok(record) => loaded.take(record),
            Err(bad) => loaded.issues.push(LoadIssue::RecordRejected(copy, key, bad.to_string())),
        }
    }
    Ok(database)
}

/// A disk of any kind, as the store's builder wants it.
#[derive(Debug)]
struct Boxed(Disk);

impl redb::StorageBackend for Boxed {
    fn len(&self) -> std::io::Result<u64> {
        self.0.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        self.0.read(offset, out)
    }
    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.0.set_len(len)
    }
    fn sync_data(&self) -> std::io::Result<()> {
        self.0.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.0.write(offset, data)
    }
}

/// Commits what waits, every so often, until the store is closed.
fn commit_all(
    shared: &Shared,
    settings: &StoreSettings,
    mut copies: Vec<Option<Database>>,
    latest: (u64, u64),
) {
    let boot = latest.0 + 1;
    let mut sequence = latest.1;
    let mut last = Instant::now() - settings.every;
    loop {
        let mut queue = shared.queue();
        loop {
            let due = last + settings.every;
            let now = Instant::now();
            if queue.closing || (!queue.waiting.is_empty() && now >= due) {
                break;
            }
            let span = if queue.waiting.is_empty() { Duration::from_secs(1) } else { due - now };
            queue = shared.woken.wait_timeout(queue, span).unwrap_or_else(|e| e.into_inner()).0;
        }
        let closing = queue.closing;
        let batch = std::mem::take(&mut queue.waiting);
        drop(queue);
        last = Instant::now();
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let records: Vec<Record> = batch
            .into_iter()
            .map(|(key, payload)| {
                sequence += 1;
                Record { key, boot, sequence, unix_ms, payload }
            })
            .collect();
        let mut trouble = None;
        let mut kept = false;
        for copy in copies.iter_mut() {
            let Some(database) = copy.as_ref() else { continue };
            let done = catch_unwind(AssertUnwindSafe(|| commit(database, &records)));
            match done.unwrap_or_else(|_| Err("the store gave up".into())) {
                Ok(()) => kept = true,
                Err(why) => {
                    shared.queue().health.failed += 1;
                    trouble = Some(why);
                }
            }
        }
        let mut queue = shared.queue();
        queue.health.commits += u64::from(kept && !records.is_empty());
        if trouble.is_some() && queue.health.trouble.is_none() {
            warn!(why = trouble, "what the node learns cannot be kept");
        }
        queue.health.trouble = trouble;
        queue.since = if queue.waiting.is_empty() { None } else { Some(last) };
        if closing {
            return;
        }
    }
}

fn commit(database: &Database, records: &[Record]) -> Result<(), String> {
    if records.is_empty() {
        return Ok(());
    }
    let writing = database.begin_write().map_err(|e| e.to_string())?;
    {
        let mut table = writing.open_table(TABLE).map_err(|e| e.to_string())?;
        for record in records {
            table.insert(record.key.as_str(), record.encode().as_slice()).map_err(|e| e.to_string())?;
        }
    }
    writing.commit().map_err(|e| e.to_string())
}
