//! The stored bytes are stable, so that a later build reads the records of an earlier one.

use std::path::Path;
use std::time::Duration;

use pintally_storage::{LoadIssue, Record, RecordError, RecordVersion, Store, StoreSettings};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

const GOLDEN: &str = include_str!("golden/records.txt");
const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
const COPIES: [&str; 2] = ["state-0.redb", "state-1.redb"];

/// The bytes of an entry in the golden file.
fn golden(name: &str) -> Vec<u8> {
    let line = GOLDEN.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    let hex = line.unwrap_or_else(|| panic!("the golden file lacks `{name}`"));
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

#[track_caller]
fn assert_bytes(name: &str, bytes: &[u8]) {
    assert_eq!(bytes, golden(name), "bytes of {name}");
}

fn settings(folder: &Path) -> StoreSettings {
    StoreSettings {
        directory: folder.to_path_buf(),
        commit_interval: Duration::from_millis(1),
        load_timeout: Duration::from_secs(5),
        storage_fault: None,
    }
}

fn record(key: &str, payload: &[u8]) -> Record {
    let unix_ms = 1_700_000_000_123;
    Record { key: key.into(), boot: 3, sequence: 70_000, unix_ms, payload: payload.to_vec() }
}

fn records() -> [(&'static str, Record); 2] {
    [("record", record("list", &[0, 1, 127, 128, 255])), ("record_deleted", record("engine/a", &[]))]
}

/// Creates both copies of a store as an earlier build wrote them, with the given bytes under a key.
fn create_copies(folder: &Path, key: &str, bytes: &[u8]) {
    for name in COPIES {
        let database = Database::create(folder.join(name)).unwrap();
        let transaction = database.begin_write().unwrap();
        transaction.open_table(TABLE).unwrap().insert(key, bytes).unwrap();
        transaction.commit().unwrap();
    }
}

#[test]
fn record_bytes_are_stable() {
    for (name, record) in records() {
        assert_bytes(name, &record.encode());
        assert_eq!(Record::decode(&record.key, &golden(name)), Ok(record), "record of {name}");
    }
}

/// Each error has a message of its own, which operators read.
#[test]
fn damaged_record_is_rejected_with_reason() {
    let intact = golden("record");
    let mut flipped = intact.clone();
    flipped[9] ^= 1;
    assert_bytes("record_flipped_bit", &flipped);
    // Three bytes with a matching CRC-32 that are no record.
    let garbage = [&crc32fast::hash(&[255; 3]).to_le_bytes()[..], &[255; 3]].concat();
    assert_bytes("record_garbage", &garbage);
    let cases = [
        ("list", golden("record_flipped_bit"), RecordError::ChecksumMismatch, "checksum mismatch"),
        ("list", golden("record_garbage"), RecordError::Malformed, "bytes are not a valid record"),
        ("list", intact[..3].to_vec(), RecordError::Malformed, "bytes are not a valid record"),
        ("carried", intact, RecordError::WrongKey, "stored under a key other than its own"),
    ];
    for (key, bytes, reason, text) in cases {
        assert_eq!(Record::decode(key, &bytes), Err(reason));
        assert_eq!(reason.to_string(), text);
    }
}

#[test]
fn store_reads_records_of_an_earlier_build() {
    for (name, record) in records() {
        let folder = tempfile::tempdir().unwrap();
        create_copies(folder.path(), &record.key, &golden(name));
        let (_store, loaded) = Store::open(&settings(folder.path()));
        assert_eq!(loaded.issues, []);
        assert_eq!(loaded.records.get(&record.key), Some(&record), "{name}");
        assert_eq!(loaded.latest(), RecordVersion { boot: 3, sequence: 70_000 });
    }
}

#[test]
fn store_reports_a_damaged_record() {
    let folder = tempfile::tempdir().unwrap();
    create_copies(folder.path(), "list", &golden("record_flipped_bit"));
    let (_store, loaded) = Store::open(&settings(folder.path()));
    let rejected =
        |copy| LoadIssue::RecordRejected { copy, key: "list".into(), reason: RecordError::ChecksumMismatch };
    assert_eq!(loaded.issues, [rejected(0), rejected(1)]);
    assert_eq!(loaded.issues[1].to_string(), "record `list` of copy 1: checksum mismatch");
    assert!(loaded.is_empty());
}

/// The file names, the table and the keys are those that an earlier build reads.
#[test]
fn store_layout_is_stable() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _) = Store::open(&settings(folder.path()));
    store.put("list", vec![1, 2, 3]);
    assert!(store.flush(Duration::from_secs(10)));
    drop(store);
    for name in COPIES {
        let database = Database::open(folder.path().join(name)).unwrap();
        let table = database.begin_read().unwrap().open_table(TABLE).unwrap();
        let records: Vec<Record> = table
            .iter()
            .unwrap()
            .map(|entry| entry.unwrap())
            .map(|(key, value)| Record::decode(key.value(), value.value()).unwrap())
            .collect();
        let fields = records.iter().map(|r| (r.key.as_str(), r.boot, r.sequence, &r.payload[..]));
        assert_eq!(fields.collect::<Vec<_>>(), [("list", 1, 1, &[1u8, 2, 3][..])], "{name}");
    }
}
