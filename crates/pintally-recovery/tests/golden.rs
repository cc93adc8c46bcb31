//! What nodes tell each other after a start, as bytes: nodes of different builds read each other's.

use pintally::interface::{EngineId, RequestId};
use pintally_recovery::{Answer, BackupNode, ReservationPublisher, Stage};

const GOLDEN: &str = include_str!("golden/messages.txt");

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
fn answer_bytes_are_stable() {
    let answer = |stage, list, carried, heard| Answer { stage, list, carried, heard };
    let answers = [
        ("answer_reading", answer(Stage::Reading, None, 0.0, Vec::new())),
        ("answer_asking", answer(Stage::Asking, Some((300, u32::MAX)), 0.1, vec![u64::MAX, 0])),
        ("answer_careful", answer(Stage::Careful, Some((0, 0)), 1e12, vec![1 << 16])),
        ("answer_serving", answer(Stage::Serving, Some((1 << 52, 1)), 1.5, Vec::new())),
    ];
    for (name, answer) in answers {
        assert_bytes(name, &serde_json::to_vec(&answer).unwrap());
        assert_eq!(serde_json::from_slice::<Answer>(&golden(name)).unwrap(), answer, "answer of {name}");
    }
}

/// What a node tells its guardians; one that reads it lets go of all of it behind the node's death.
#[test]
fn held_states_bytes_are_stable() {
    let held = [("engine-a", "request-1"), ("engine-b", "quote\"d")]
        .map(|(engine, name)| (EngineId(engine.into()), RequestId(name.into())));
    let guardians = ["n2".to_string()];
    let mut teller = ReservationPublisher::default();
    assert!(teller.tell(0, 1 << 40, &held, &guardians).is_empty());
    let words = teller.tell(200_000, 1 << 40, &held, &guardians);
    assert_eq!(words.len(), 1);
    assert_bytes("held_states", &words[0]);
    let mut guardian = BackupNode::new(1_000_000);
    guardian.receive_reservations(200_000, "n1", &golden("held_states"));
    guardian.node_down(200_000, "n1");
    assert_eq!(guardian.take_due(1_200_000), [("n1".to_string(), held.to_vec())]);
}
