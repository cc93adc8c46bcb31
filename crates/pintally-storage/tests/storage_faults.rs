//! Power losses, without and with each storage fault. A power loss is simulated by a store that is never
//! dropped, so that writes that were not synced never reach the file.

use std::path::Path;
use std::time::Duration;

use pintally_storage::{LoadIssue, LoadedRecords, Record, RecordError, StorageFault, Store, StoreSettings};
use proptest::prelude::*;

fn settings(folder: &Path, storage_fault: Option<StorageFault>) -> StoreSettings {
    StoreSettings {
        directory: folder.to_path_buf(),
        commit_interval: Duration::from_millis(1),
        load_timeout: Duration::from_secs(5),
        storage_fault: storage_fault.map(|fault| (fault, 7)),
    }
}

/// Writes and commits a number of rounds, then loses power. Returns what was loaded at the start, and whether
/// all commits succeeded.
fn run_until_power_loss(settings: &StoreSettings, rounds: u64) -> (LoadedRecords, bool) {
    let (store, loaded) = Store::open(settings);
    let mut all_committed = true;
    for round in 0..rounds {
        store.put("count", (loaded.latest().sequence + round + 1).to_le_bytes().to_vec());
        store.put(&format!("engine/{round}"), vec![round as u8; 200]);
        all_committed &= store.flush(Duration::from_secs(10)) && store.health().last_error.is_none();
    }
    std::mem::forget(store);
    (loaded, all_committed)
}

fn count(loaded: &LoadedRecords) -> Option<u64> {
    loaded.get("count").map(|r| u64::from_le_bytes(r.payload[..8].try_into().unwrap()))
}

#[test]
fn synced_records_survive_a_power_loss() {
    let folder = tempfile::tempdir().unwrap();
    let settings = settings(folder.path(), None);
    let (first, all_committed) = run_until_power_loss(&settings, 5);
    assert!(first.is_empty() && first.issues.is_empty() && all_committed);
    let (second, _) = run_until_power_loss(&settings, 5);
    assert!(second.issues.is_empty(), "{:?}", second.issues);
    assert_eq!(count(&second), Some(5));
    assert_eq!(second.latest().boot, 1);
    let (third, _) = run_until_power_loss(&settings, 0);
    assert_eq!(third.latest().boot, 2, "each start has its own boot number");
    assert_eq!(third.with_prefix("engine/").count(), 5);
}

/// Guards against a store that promises too much: changes that were put and not committed are lost, and
/// `uncommitted_age` reports the period of these changes.
#[test]
fn uncommitted_records_are_lost_and_their_age_reported() {
    let folder = tempfile::tempdir().unwrap();
    let slow = StoreSettings { commit_interval: Duration::from_secs(3600), ..settings(folder.path(), None) };
    let (store, _) = Store::open(&slow);
    store.put("first", vec![1]);
    assert!(store.flush(Duration::from_secs(5)), "the first commit does not wait");
    store.put("second", vec![2]);
    assert!(!store.flush(Duration::from_millis(20)));
    assert!(store.uncommitted_age() >= Duration::from_millis(20));
    std::mem::forget(store);
    let (_, loaded) = Store::open(&settings(folder.path(), None));
    assert!(loaded.get("first").is_some() && loaded.get("second").is_none());
}

#[test]
fn store_opens_with_every_storage_fault() {
    let faults = [
        StorageFault::LostSyncs,
        StorageFault::TornWrite,
        StorageFault::FlippedBit,
        StorageFault::OlderImage,
        StorageFault::Full,
        StorageFault::ReadOnly,
        StorageFault::Slow(Duration::from_millis(30)),
        StorageFault::SlowSyncs(Duration::from_millis(30)),
        StorageFault::ReadErrors,
    ];
    for storage_fault in faults {
        let folder = tempfile::tempdir().unwrap();
        run_until_power_loss(&settings(folder.path(), None), 4);
        let faulty = settings(folder.path(), Some(storage_fault));
        for _ in 0..3 {
            let (loaded, _) = run_until_power_loss(&faulty, 10);
            // Every loaded record is valid.
            for record in loaded.records.values() {
                assert_eq!(Record::decode(&record.key, &record.encode()), Ok(record.clone()));
            }
            if let Some(count) = count(&loaded) {
                assert!(count >= 1, "{storage_fault:?}");
            }
            println!("{storage_fault:?}: {} records, issues {:?}", loaded.records.len(), loaded.issues);
        }
    }
}

/// Guards against one flipped bit that loses all state: the other copy is intact.
#[test]
fn flipped_bit_in_one_copy_loses_no_record() {
    for index in [0usize, 100, 4096, 5000, 9000, 20_000] {
        let folder = tempfile::tempdir().unwrap();
        let settings = settings(folder.path(), None);
        run_until_power_loss(&settings, 6);
        let file = folder.path().join("state-0.redb");
        let mut bytes = std::fs::read(&file).unwrap();
        let index = index.min(bytes.len() - 1);
        bytes[index] ^= 0x10;
        std::fs::write(&file, bytes).unwrap();
        let (loaded, all_committed) = run_until_power_loss(&settings, 1);
        assert_eq!(count(&loaded), Some(6), "byte {index}: {:?}", loaded.issues);
        assert!(all_committed, "byte {index}: commits still succeed");
    }
}

#[test]
fn older_image_restores_earlier_versions() {
    let folder = tempfile::tempdir().unwrap();
    let faulty = settings(folder.path(), Some(StorageFault::OlderImage));
    run_until_power_loss(&faulty, 10);
    let (second, _) = run_until_power_loss(&faulty, 10);
    assert!(count(&second).unwrap() < 10, "the image is older than what was written");
    let (third, _) = run_until_power_loss(&faulty, 1);
    assert_eq!(third.latest(), second.latest(), "the same image comes back: only peers can detect it");
}

#[test]
fn slow_disk_delays_neither_open_nor_put() {
    let folder = tempfile::tempdir().unwrap();
    let faulty = settings(folder.path(), Some(StorageFault::Slow(Duration::from_secs(3))));
    let slow = StoreSettings { load_timeout: Duration::from_millis(100), ..faulty };
    let started = std::time::Instant::now();
    let (store, loaded) = Store::open(&slow);
    (0..1000).for_each(|n| store.put(&format!("k{n}"), vec![1; 100]));
    assert!(started.elapsed() < Duration::from_millis(1500), "{:?}", started.elapsed());
    assert_eq!(loaded.issues, [LoadIssue::TimedOut]);
    std::mem::forget(store);
}

/// Guards against a store whose records are not used after a kill because the disk is busy: the database was repaired
/// with ten syncs before any record was passed on. What was repaired is still there after one more kill.
#[test]
fn slow_syncs_do_not_delay_the_records_of_a_killed_process() {
    let folder = tempfile::tempdir().unwrap();
    run_until_power_loss(&settings(folder.path(), None), 5);
    let slow_syncs = StorageFault::SlowSyncs(Duration::from_millis(400));
    let slow = StoreSettings {
        load_timeout: Duration::from_millis(300),
        ..settings(folder.path(), Some(slow_syncs))
    };
    let mut expected = 5;
    for start in 1..4 {
        let (loaded, all_committed) = run_until_power_loss(&slow, 1);
        assert_eq!(loaded.issues, [], "start {start}");
        assert_eq!(count(&loaded), Some(expected), "start {start}");
        assert_eq!(loaded.latest().boot, start, "start {start}");
        assert!(all_committed, "start {start}");
        // One round was committed.
        expected = loaded.latest().sequence + 1;
    }
}

/// Guards against a change that replaces a record which was read too late for the start: the record is returned before
/// anything is committed.
#[test]
fn late_records_are_returned_before_a_commit() {
    let folder = tempfile::tempdir().unwrap();
    run_until_power_loss(&settings(folder.path(), None), 5);
    let slow = StorageFault::Slow(Duration::from_millis(200));
    let slow =
        StoreSettings { load_timeout: Duration::from_millis(50), ..settings(folder.path(), Some(slow)) };
    let (store, loaded) = Store::open(&slow);
    assert_eq!((loaded.is_empty(), loaded.issues), (true, vec![LoadIssue::TimedOut]));
    store.put("count", 1u64.to_le_bytes().to_vec());
    assert!(!store.flush(Duration::from_millis(800)), "nothing is committed before the records are taken");
    let late = store.late_records().expect("they have been read");
    assert_eq!((count(&late), late.issues.as_slice()), (Some(5), [].as_slice()));
    assert!(store.flush(Duration::from_secs(10)) && store.late_records().is_none());
    std::mem::forget(store);
    let (_store, loaded) = Store::open(&settings(folder.path(), None));
    assert_eq!((count(&loaded), loaded.latest().boot), (Some(1), 2));
}

/// Guards against a process that ends before its records were read and replaces them by its last changes.
#[test]
fn store_that_is_closed_before_its_records_were_read_keeps_them() {
    let folder = tempfile::tempdir().unwrap();
    run_until_power_loss(&settings(folder.path(), None), 5);
    let slow = StorageFault::Slow(Duration::from_millis(200));
    let slow =
        StoreSettings { load_timeout: Duration::from_millis(50), ..settings(folder.path(), Some(slow)) };
    let (store, loaded) = Store::open(&slow);
    assert_eq!(loaded.issues, [LoadIssue::TimedOut]);
    store.put("count", 1u64.to_le_bytes().to_vec());
    drop(store);
    let (_store, loaded) = Store::open(&settings(folder.path(), None));
    assert_eq!(count(&loaded), Some(5));
}

/// Guards against a store that commits nothing after a slow start because nobody takes its late records.
#[test]
fn discarded_late_records_hold_up_no_commit() {
    let folder = tempfile::tempdir().unwrap();
    run_until_power_loss(&settings(folder.path(), None), 5);
    let slow = StorageFault::Slow(Duration::from_millis(200));
    let slow =
        StoreSettings { load_timeout: Duration::from_millis(50), ..settings(folder.path(), Some(slow)) };
    let (mut store, loaded) = Store::open(&slow);
    assert_eq!(loaded.issues, [LoadIssue::TimedOut]);
    store.discard_late_records();
    store.put("count", 1u64.to_le_bytes().to_vec());
    assert!(store.flush(Duration::from_secs(10)) && store.health().last_error.is_none());
    assert!(store.late_records().is_none());
}

#[test]
fn uncreatable_directory_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file");
    std::fs::write(&file, "x").unwrap();
    let (store, loaded) = Store::open(&settings(&file.join("below"), None));
    assert!(
        loaded.issues.iter().any(|issue| matches!(issue, LoadIssue::Unwritable(_))),
        "{:?}",
        loaded.issues
    );
    store.put("key", vec![1]);
    assert!(store.flush(Duration::from_secs(5)), "all records are accepted and none is stored");
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Record::decode("key", &bytes).is_err());
    }

    #[test]
    fn record_under_another_key_is_rejected(payload in proptest::collection::vec(any::<u8>(), 0..50), boot: u64) {
        let record = Record { key: "a".into(), boot, sequence: 1, unix_ms: 0, payload };
        prop_assert_eq!(Record::decode("a", &record.encode()), Ok(record.clone()));
        prop_assert_eq!(Record::decode("b", &record.encode()), Err(RecordError::WrongKey));
    }
}
