//! Power losses on honest disks and on each kind that lies. A power loss is a store whose process is
//! gone: what was not synced never reached the file.

use std::path::Path;
use std::time::Duration;

use pintally_storage::{LoadIssue, Loaded, Record, RecordError, StorageFault, Store, StoreSettings};
use proptest::prelude::*;

fn settings(folder: &Path, storage_fault: Option<StorageFault>) -> StoreSettings {
    StoreSettings {
        folder: folder.to_path_buf(),
        every: Duration::from_millis(1),
        within: Duration::from_secs(5),
        storage_fault: storage_fault.map(|l| (l, 7)),
    }
}

/// Writes so many rounds, each made safe, and takes the power away.
fn live(settings: &StoreSettings, rounds: u64) -> (Loaded, bool) {
    let (store, loaded) = Store::open(settings);
    let mut safe = true;
    for round in 0..rounds {
        store.put("count", (loaded.latest().1 + round + 1).to_le_bytes().to_vec());
        store.put(&format!("engine/{round}"), vec![round as u8; 200]);
        safe &= store.flush(Duration::from_secs(10)) && store.health().trouble.is_none();
    }
    std::mem::forget(store);
    (loaded, safe)
}

fn count(loaded: &Loaded) -> Option<u64> {
    loaded.get("count").map(|r| u64::from_le_bytes(r.payload[..8].try_into().unwrap()))
}

#[test]
fn what_was_synced_is_there_after_a_power_loss() {
    let folder = tempfile::tempdir().unwrap();
    let settings = settings(folder.path(), None);
    let (first, safe) = live(&settings, 5);
    assert!(first.is_empty() && first.issues.is_empty() && safe);
    let (second, _) = live(&settings, 5);
    assert!(second.issues.is_empty(), "{:?}", second.issues);
    assert_eq!(count(&second), Some(5));
    assert_eq!(second.latest().0, 1);
    let (third, _) = live(&settings, 0);
    assert_eq!(third.latest().0, 2, "boots are counted");
    assert_eq!(third.under("engine/").count(), 5);
}

/// Guards against a promise that is wider than it is: what was put and not committed is lost, and the
/// store says how much time that is.
#[test]
fn what_waits_is_at_risk_and_no_more() {
    let folder = tempfile::tempdir().unwrap();
    let slow = StoreSettings { every: Duration::from_secs(3600), ..settings(folder.path(), None) };
    let (store, _) = Store::open(&slow);
    store.put("first", vec![1]);
    assert!(store.flush(Duration::from_secs(5)), "the first commit does not wait");
    store.put("second", vec![2]);
    assert!(!store.flush(Duration::from_millis(20)));
    assert!(store.at_risk() >= Duration::from_millis(20));
    std::mem::forget(store);
    let (_, loaded) = Store::open(&settings(folder.path(), None));
    assert!(loaded.get("first").is_some() && loaded.get("second").is_none());
}

#[test]
fn no_kind_of_lying_disk_keeps_a_node_from_starting() {
    let lies = [
        StorageFault::LostSyncs,
        StorageFault::TornWrite,
        StorageFault::FlippedBit,
        StorageFault::OlderImage,
        StorageFault::Full,
        StorageFault::ReadOnly,
        StorageFault::Slow(Duration::from_millis(30)),
        StorageFault::ReadErrors,
    ];
    for storage_fault in lies {
        let folder = tempfile::tempdir().unwrap();
        live(&settings(folder.path(), None), 4);
        let lying = settings(folder.path(), Some(storage_fault));
        for _ in 0..3 {
            let (loaded, _) = live(&lying, 10);
            // Whatever is told was written at some time, and is whole.
            for record in loaded.records.values() {
                assert_eq!(Record::decode(&record.key, &record.encode()), Ok(record.clone()));
            }
            if let Some(count) = count(&loaded) {
                assert!(count >= 1, "{storage_fault:?}");
            }
            println!("{storage_fault:?}: {} records, lacks {:?}", loaded.records.len(), loaded.issues);
        }
    }
}

/// Guards against one flipped bit that takes all state with it: the other copy is whole.
#[test]
fn a_flipped_bit_in_one_copy_loses_nothing() {
    for place in [0usize, 100, 4096, 5000, 9000, 20_000] {
        let folder = tempfile::tempdir().unwrap();
        let settings = settings(folder.path(), None);
        live(&settings, 6);
        let file = folder.path().join("state-0.redb");
        let mut bytes = std::fs::read(&file).unwrap();
        let place = place.min(bytes.len() - 1);
        bytes[place] ^= 0x10;
        std::fs::write(&file, bytes).unwrap();
        let (loaded, safe) = live(&settings, 1);
        assert_eq!(count(&loaded), Some(6), "bit {place}: {:?}", loaded.issues);
        assert!(safe, "bit {place}: it goes on keeping");
    }
}

#[test]
fn an_older_image_shows_in_boot_and_sequence() {
    let folder = tempfile::tempdir().unwrap();
    let lying = settings(folder.path(), Some(StorageFault::OlderImage));
    live(&lying, 10);
    let (second, _) = live(&lying, 10);
    assert!(count(&second).unwrap() < 10, "the image is older than what was written");
    let (third, _) = live(&lying, 1);
    assert_eq!(third.latest(), second.latest(), "the same past comes back: only peers can tell");
}

#[test]
fn a_slow_disk_holds_up_no_start_and_no_put() {
    let folder = tempfile::tempdir().unwrap();
    let lying = settings(folder.path(), Some(StorageFault::Slow(Duration::from_secs(3))));
    let slow = StoreSettings { within: Duration::from_millis(100), ..lying };
    let began = std::time::Instant::now();
    let (store, loaded) = Store::open(&slow);
    (0..1000).for_each(|n| store.put(&format!("k{n}"), vec![1; 100]));
    assert!(began.elapsed() < Duration::from_millis(1500), "{:?}", began.elapsed());
    assert_eq!(loaded.issues, [LoadIssue::TimedOut]);
    std::mem::forget(store);
}

#[test]
fn a_folder_that_cannot_be_made_is_told() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file");
    std::fs::write(&file, "x").unwrap();
    let (store, loaded) = Store::open(&settings(&file.join("below"), None));
    assert!(loaded.issues.iter().any(|l| matches!(l, LoadIssue::Unwritable(_))), "{:?}", loaded.issues);
    store.put("key", vec![1]);
    assert!(store.flush(Duration::from_secs(5)), "it takes everything and keeps nothing");
}

proptest! {
    #[test]
    fn no_bytes_are_taken_for_a_record(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Record::decode("key", &bytes).is_err());
    }

    #[test]
    fn a_record_under_another_key_is_refused(payload in proptest::collection::vec(any::<u8>(), 0..50), boot: u64) {
        let record = Record { key: "a".into(), boot, sequence: 1, unix_ms: 0, payload };
        prop_assert_eq!(Record::decode("a", &record.encode()), Ok(record.clone()));
        prop_assert_eq!(Record::decode("b", &record.encode()), Err(RecordError::Place));
    }
}
