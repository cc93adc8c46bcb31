//! The encoding of operators' commands and answers must be stable, because tools and nodes of different
//! builds exchange them.

use super::*;

const GOLDEN: &str = include_str!("../../tests/golden/orders.txt");

/// Reads the bytes with this name from the golden file.
fn golden(name: &str) -> Vec<u8> {
    let line = GOLDEN.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    let hex = line.unwrap_or_else(|| panic!("the golden file lacks `{name}`"));
    let byte = |start: usize| u8::from_str_radix(&hex[start..start + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Asserts that bytes equal those of the golden file.
#[track_caller]
pub(crate) fn assert_bytes(name: &str, bytes: &[u8]) {
    assert_eq!(bytes, golden(name), "bytes of {name}");
}

#[test]
fn command_bytes_are_stable() {
    let commands = [
        ("order_limit", OperatorCommand::Limit("tenant-a".into(), 12.5)),
        ("order_members", OperatorCommand::Replicas(vec!["n1".into(), "n2".into()])),
        ("order_clear", OperatorCommand::Clear("engine-a".into())),
        ("order_zone", OperatorCommand::Zone("zone-a".into(), "out".into())),
        ("order_rehearse", OperatorCommand::Rehearse("zone-a".into())),
    ];
    for (name, command) in commands {
        assert_bytes(name, &serde_json::to_vec(&command).unwrap());
        assert_eq!(
            serde_json::from_slice::<OperatorCommand>(&golden(name)).unwrap(),
            command,
            "command of {name}"
        );
    }
}

#[test]
fn answer_bytes_are_stable() {
    let done = CommandAnswer::done("told to all");
    assert_bytes("answer_done", &serde_json::to_vec(&done).unwrap());
    assert_bytes(
        "answer_refused",
        &serde_json::to_vec(&CommandAnswer::rejected("there is no limit `a`")).unwrap(),
    );
}
