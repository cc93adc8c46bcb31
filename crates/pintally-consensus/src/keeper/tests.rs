//! The persisted state as bytes: a later build reads what an earlier one has stored.

use super::*;

const GOLDEN: &str = include_str!("../../tests/golden/stored.txt");

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

fn register() -> KeyValueStore {
    let mut register = KeyValueStore::default();
    for (key, value) in
        [("limit/a", &[1u8, 255][..]), ("limit/b", &[2]), ("limit/a", &[3, 0]), ("limit/b", &[])]
    {
        let write = Write { key: key.into(), value: value.to_vec(), expect: None };
        register.apply(&write).unwrap();
    }
    register
}

fn saved() -> Saved {
    let members = |names: &[&str]| names.iter().map(|n| ReplicaName::from(*n)).collect::<Vec<_>>();
    let write = Write { key: "limit/c".into(), value: vec![9], expect: Some(0) };
    let entry = |term, what| Entry { term, what };
    let entries = vec![
        entry(300, LogCommand::Noop),
        entry(300, LogCommand::ChangeReplicas(members(&["n1", "n2", "n3"]))),
        entry(301, LogCommand::Write(write)),
    ];
    let log = Log {
        base: Position { term: 299, index: 70_000 },
        keepers: members(&["n1", "n2"]),
        snapshot: register().encode(),
        entries,
    };
    Saved { term: 301, voted: Some("n2".into()), formed: true, log }
}

#[test]
fn register_snapshot_bytes_are_stable() {
    assert_bytes("register", &register().encode());
    assert_eq!(KeyValueStore::decode(&golden("register")), Some(register()));
    assert_bytes("register_empty", &KeyValueStore::default().encode());
    assert_eq!(KeyValueStore::decode(&golden("register_empty")), Some(KeyValueStore::default()));
}

#[test]
fn persisted_state_bytes_are_stable() {
    for (name, value) in [("state", saved()), ("state_empty", Saved::default())] {
        assert_bytes(name, &postcard::to_stdvec(&value).unwrap());
        let read: Saved = postcard::from_bytes(&golden(name)).unwrap();
        assert_eq!(read.log, value.log, "log of {name}");
        assert_eq!((read.term, read.voted, read.formed), (value.term, value.voted, value.formed), "{name}");
    }
}

#[test]
fn replica_starts_from_persisted_state() {
    let settings = Settings::new("n1", &["n1", "n2", "n3"]);
    let keeper = Replica::new(settings, Some(&golden("state")), true, 1, 0);
    assert_eq!(keeper.store(), &register());
    let status = keeper.status(0);
    assert_eq!((status.term, status.commit, status.last), (301, 70_000, 70_003));
    assert_eq!(status.keepers, ["n1", "n2", "n3"]);
}
