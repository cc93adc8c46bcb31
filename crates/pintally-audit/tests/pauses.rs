//! Pauses of a node's process and stalls of the machine excuse late answers, and only while they last.

use pintally_audit::{audit, Answer, AuditEvent, ClassParameters, Idempotency, Record, RuleParameters};

fn record(events: Vec<(u64, AuditEvent)>) -> Vec<Record> {
    let figures = RuleParameters {
        drain_grace_us: 1_000_000,
        release_within_us: 500_000,
        slack_us: 100_000,
        classes: vec![ClassParameters { name: "hint".into(), effect: Idempotency::Idempotent }],
        engines: Vec::new(),
    };
    let mut all = vec![Record { at: 0, event: AuditEvent::Parameters(figures) }];
    all.extend(events.into_iter().map(|(at, event)| Record { at, event }));
    all
}

fn request_sent(at: u64) -> (u64, AuditEvent) {
    let (request, node, class) = ("c1".into(), "n0".into(), "hint".into());
    (
        at,
        AuditEvent::RequestSent {
            request,
            node,
            class,
            tenant: None,
            patience_us: 2_000_000,
            streamed: false,
        },
    )
}

fn pause_event(at: u64, paused: bool) -> (u64, AuditEvent) {
    (at, AuditEvent::NodePaused { node: "n0".into(), paused })
}

fn answered(at: u64) -> (u64, AuditEvent) {
    (at, AuditEvent::Answered { request: "c1".into(), answer: Answer::Served })
}

#[test]
fn node_pause_excuses_late_answer() {
    let lost = |events| audit(&record(events)).unwrap().rules.lost.len();
    assert_eq!(
        lost(vec![
            request_sent(1_000),
            pause_event(2_000, true),
            pause_event(4_000_000, false),
            answered(4_100_000)
        ]),
        0
    );
    assert_eq!(lost(vec![request_sent(1_000), pause_event(2_000, true), pause_event(4_000_000, false)]), 0);
    // The pause is at another time, or shorter than the delay of the answer.
    assert_eq!(
        lost(vec![
            request_sent(5_000_000),
            pause_event(2_000, true),
            pause_event(4_000_000, false),
            answered(9_000_000)
        ]),
        1
    );
    assert_eq!(
        lost(vec![
            request_sent(1_000),
            pause_event(2_000, true),
            pause_event(1_000_000, false),
            answered(9_000_000)
        ]),
        1
    );
    assert_eq!(lost(vec![request_sent(1_000)]), 1);
}

/// Guards against blaming a node for a stall of the whole machine, clients included, across the client's deadline.
#[test]
fn machine_stall_excuses_late_answer() {
    let lost = |late: Option<u64>, at| {
        let mut lines = vec![request_sent(1_000), answered(at)];
        lines.extend(late.map(|us| (4_900_000, AuditEvent::MachineLate { us })));
        audit(&record(lines)).unwrap().rules.lost.len()
    };
    // The deadline is at 2.0 s; the machine is stalled from 1.9 s to 4.9 s.
    assert_eq!(lost(Some(3_000_000), 5_000_000), 0);
    // A stall excuses at most 2 s beside its own length, and nothing if it begins over 1 s after the deadline.
    assert_eq!(lost(Some(3_000_000), 7_200_000), 1);
    assert_eq!(lost(Some(1_000_000), 5_000_000), 1);
    assert_eq!(lost(None, 5_000_000), 1);
}
