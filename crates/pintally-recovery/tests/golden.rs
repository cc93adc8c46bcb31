//! The bytes of messages between nodes are stable, so that nodes of different builds can read them.

use pintally::interface::{EngineId, RequestId};
use pintally_recovery::{Answer, BackupNode, ReservationPublisher, Stage};

const GOLDEN: &str = include_str!("golden/messages.txt");

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

#[test]
fn answer_bytes_are_stable() {
    let answer = |stage, list, fleet_rate, engine_reports| Answer { stage, list, fleet_rate, engine_reports };
    let answers = [
        ("answer_reading", answer(Stage::LoadingState, None, 0.0, Vec::new())),
        ("answer_asking", answer(Stage::QueryingPeers, Some((300, u32::MAX)), 0.1, vec![u64::MAX, 0])),
        ("answer_careful", answer(Stage::SlowStart, Some((0, 0)), 1e12, vec![1 << 16])),
        ("answer_serving", answer(Stage::Serving, Some((1 << 52, 1)), 1.5, Vec::new())),
    ];
    for (name, answer) in answers {
        assert_bytes(name, &serde_json::to_vec(&answer).unwrap());
        assert_eq!(serde_json::from_slice::<Answer>(&golden(name)).unwrap(), answer, "answer of {name}");
    }
}

/// A backup node that reads the message of an earlier build releases all of its reservations after the
/// node's death.
#[test]
fn reservation_message_bytes_are_stable() {
    let reservations = [("engine-a", "request-1"), ("engine-b", "quote\"d")]
        .map(|(engine, name)| (EngineId(engine.into()), RequestId(name.into())));
    let backup_nodes = ["n2".to_string()];
    let mut publisher = ReservationPublisher::default();
    assert!(publisher.publish_due(0, 1 << 40, &reservations, &backup_nodes).is_empty());
    let messages = publisher.publish_due(200_000, 1 << 40, &reservations, &backup_nodes);
    assert_eq!(messages.len(), 1);
    assert_bytes("held_states", &messages[0]);
    let mut backup = BackupNode::new(1_000_000);
    backup.receive_reservations(200_000, "n1", &golden("held_states"));
    backup.node_down(200_000, "n1");
    assert_eq!(backup.take_due_reservations(1_200_000), [("n1".to_string(), reservations.to_vec())]);
}
