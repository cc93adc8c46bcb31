//! Orders of people and their answers as bytes: tools and nodes of different builds read each other's.

use super::*;

const GOLDEN: &str = include_str!("../../tests/golden/orders.txt");

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

#[test]
fn order_bytes_are_stable() {
    let orders = [
        ("order_limit", OperatorCommand::Limit("tenant-a".into(), 12.5)),
        ("order_members", OperatorCommand::Keepers(vec!["n1".into(), "n2".into()])),
        ("order_clear", OperatorCommand::Clear("engine-a".into())),
        ("order_zone", OperatorCommand::Zone("zone-a".into(), "out".into())),
        ("order_rehearse", OperatorCommand::Rehearse("zone-a".into())),
    ];
    for (name, order) in orders {
        assert_bytes(name, &serde_json::to_vec(&order).unwrap());
        assert_eq!(
            serde_json::from_slice::<OperatorCommand>(&golden(name)).unwrap(),
            order,
            "order of {name}"
        );
    }
}

#[test]
fn answer_bytes_are_stable() {
    let done = Answer { done: true, why: "told to all".into() };
    assert_bytes("answer_done", &serde_json::to_vec(&done).unwrap());
    assert_bytes("answer_refused", &serde_json::to_vec(&Answer::no("there is no limit `a`")).unwrap());
}

#[test]
fn register_and_record_keys_are_stable() {
    assert_bytes("record_key", KEY.as_bytes());
    assert_bytes("register_key_limit", LIMIT.as_bytes());
    assert_bytes("register_key_zone", ZONE.as_bytes());
}
