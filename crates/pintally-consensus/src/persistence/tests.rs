//! The encoding of the persisted state does not change: a later build reads what an earlier one stored.

use super::*;
use crate::log::{LogCommand, LogEntry, LogPosition};
use crate::{KeyValueStore, Replica, Settings, Write};

const GOLDEN: &str = include_str!("../../tests/golden/stored.txt");

/// The bytes that the golden file holds under a name.
fn golden(name: &str) -> Vec<u8> {
    let line = GOLDEN.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    let hex = line.unwrap_or_else(|| panic!("the golden file lacks `{name}`"));
    let byte = |offset: usize| u8::from_str_radix(&hex[offset..offset + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

#[track_caller]
fn assert_bytes(name: &str, bytes: &[u8]) {
    assert_eq!(bytes, golden(name), "bytes of {name}");
}

fn store() -> KeyValueStore {
    let mut store = KeyValueStore::default();
    for (key, value) in
        [("limit/a", &[1u8, 255][..]), ("limit/b", &[2]), ("limit/a", &[3, 0]), ("limit/b", &[])]
    {
        let write = Write { key: key.into(), value: value.to_vec(), expect: None };
        store.apply(&write).unwrap();
    }
    store
}

fn persistent_state() -> PersistentState {
    let replicas = |names: &[&str]| names.iter().map(|name| ReplicaName::from(*name)).collect::<Vec<_>>();
    let write = Write { key: "limit/c".into(), value: vec![9], expect: Some(0) };
    let entry = |term, command| LogEntry { term, command };
    let entries = vec![
        entry(300, LogCommand::Noop),
        entry(300, LogCommand::ChangeReplicas(replicas(&["n1", "n2", "n3"]))),
        entry(301, LogCommand::Write(write)),
    ];
    let log = Log {
        last_included: LogPosition { term: 299, index: 70_000 },
        snapshot_replicas: replicas(&["n1", "n2"]),
        snapshot: store().encode(),
        entries,
    };
    PersistentState { current_term: 301, voted_for: Some("n2".into()), initialized: true, log }
}

#[test]
fn snapshot_bytes_are_stable() {
    assert_bytes("store", &store().encode());
    assert_eq!(KeyValueStore::decode(&golden("store")), Some(store()));
    assert_bytes("store_empty", &KeyValueStore::default().encode());
    assert_eq!(KeyValueStore::decode(&golden("store_empty")), Some(KeyValueStore::default()));
}

#[test]
fn persisted_state_bytes_are_stable() {
    for (name, value) in [("state", persistent_state()), ("state_empty", PersistentState::default())] {
        assert_bytes(name, &postcard::to_stdvec(&value).unwrap());
        let decoded: PersistentState = postcard::from_bytes(&golden(name)).unwrap();
        assert_eq!(decoded.log, value.log, "log of {name}");
        assert_eq!(decoded.current_term, value.current_term, "term of {name}");
        assert_eq!(decoded.voted_for, value.voted_for, "vote of {name}");
        assert_eq!(decoded.initialized, value.initialized, "flag of {name}");
    }
}

#[test]
fn replica_starts_from_persisted_state() {
    let settings = Settings::new("n1", &["n1", "n2", "n3"]);
    let replica = Replica::new(settings, Some(&golden("state")), true, 1, 0);
    assert_eq!(replica.store(), &store());
    let status = replica.status(0);
    assert_eq!((status.term, status.commit_index, status.last_log_index), (301, 70_000, 70_003));
    assert_eq!(status.replicas, ["n1", "n2", "n3"]);
}
