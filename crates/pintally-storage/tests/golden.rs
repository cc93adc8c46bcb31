//! Stored records as bytes: a later build reads what an earlier one has kept.

use std::path::Path;
use std::time::Duration;

use pintally_storage::{LoadIssue, Record, RecordError, Store, StoreSettings};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

const GOLDEN: &str = include_str!("golden/records.txt");
const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
const COPIES: [&str; 2] = ["state-0.redb", "state-1.redb"];

/// The bytes that the golden file holds under a name.
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
    let within = Duration::from_secs(5);
    StoreSettings {
        folder: folder.to_path_buf(),
        every: Duration::from_millis(1),
        within,
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

/// Both copies of a store as an earlier build has left them, with these bytes under a key.
fn stored(folder: &Path, key: &str, bytes: &[u8]) {
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

/// Each refusal has its own reason, and people read its words.
#[test]
fn damaged_record_is_refused_with_its_reason() {
    let whole = golden("record");
    let mut flipped = whole.clone();
    flipped[9] ^= 1;
    assert_bytes("record_flipped_bit", &flipped);
    // Three bytes under their own CRC-32, which are no record.
    let garbage = [&crc32fast::hash(&[255; 3]).to_le_bytes()[..], &[255; 3]].concat();
    assert_bytes("record_garbage", &garbage);
    let cases = [
        ("list", golden("record_flipped_bit"), RecordError::Checksum, "the checksum does not hold"),
        ("list", golden("record_garbage"), RecordError::Form, "it cannot be read"),
        ("list", whole[..3].to_vec(), RecordError::Form, "it cannot be read"),
        ("carried", whole, RecordError::Place, "it stands under another key"),
    ];
    for (key, bytes, reason, words) in cases {
        assert_eq!(Record::decode(key, &bytes), Err(reason));
        assert_eq!(reason.to_string(), words);
    }
}

#[test]
fn store_reads_records_of_an_earlier_build() {
    for (name, record) in records() {
        let folder = tempfile::tempdir().unwrap();
        stored(folder.path(), &record.key, &golden(name));
        let (_store, loaded) = Store::open(&settings(folder.path()));
        assert_eq!(loaded.issues, []);
        assert_eq!(loaded.records.get(&record.key), Some(&record), "{name}");
        assert_eq!(loaded.latest(), (3, 70_000));
    }
}

#[test]
fn store_reports_a_damaged_record() {
    let folder = tempfile::tempdir().unwrap();
    stored(folder.path(), "list", &golden("record_flipped_bit"));
    let (_store, loaded) = Store::open(&settings(folder.path()));
    let lack = |copy| LoadIssue::RecordRejected(copy, "list".into(), "the checksum does not hold".into());
    assert_eq!(loaded.issues, [lack(0), lack(1)]);
    assert_eq!(loaded.issues[1].to_string(), "record `list` of copy 1: the checksum does not hold");
    assert!(loaded.is_empty());
}

/// File names, table and keys are where an earlier build looks for them.
#[test]
fn store_writes_records_where_an_earlier_build_reads_them() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _) = Store::open(&settings(folder.path()));
    store.put("list", vec![1, 2, 3]);
    assert!(store.flush(Duration::from_secs(10)));
    drop(store);
    for name in COPIES {
        let database = Database::open(folder.path().join(name)).unwrap();
        let table = database.begin_read().unwrap().open_table(TABLE).unwrap();
        let kept: Vec<Record> = table
            .iter()
            .unwrap()
            .map(|entry| entry.unwrap())
            .map(|(key, value)| Record::decode(key.value(), value.value()).unwrap())
            .collect();
        let shown = kept.iter().map(|r| (r.key.as_str(), r.boot, r.sequence, &r.payload[..]));
        assert_eq!(shown.collect::<Vec<_>>(), [("list", 1, 1, &[1u8, 2, 3][..])], "{name}");
    }
}
