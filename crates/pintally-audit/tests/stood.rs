//! A process that stands still keeps no time, and nothing else is forgiven for it.

use pintally_audit::{audit, Answer, AuditEvent, ClassParameters, Idempotency, Record, RuleParameters};

fn record(middle: Vec<(u64, AuditEvent)>) -> Vec<Record> {
    let figures = RuleParameters {
        drain_grace_us: 1_000_000,
        release_within_us: 500_000,
        slack_us: 100_000,
        classes: vec![ClassParameters { name: "hint".into(), effect: Idempotency::Idempotent }],
        engines: Vec::new(),
    };
    let mut all = vec![Record { at: 0, event: AuditEvent::Parameters(figures) }];
    all.extend(middle.into_iter().map(|(at, event)| Record { at, event }));
    all
}

fn asked(at: u64) -> (u64, AuditEvent) {
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

fn stood(at: u64, paused: bool) -> (u64, AuditEvent) {
    (at, AuditEvent::NodePaused { node: "n0".into(), paused })
}

fn answered(at: u64) -> (u64, AuditEvent) {
    (at, AuditEvent::Answered { request: "c1".into(), answer: Answer::Served })
}

#[test]
fn what_came_late_because_the_process_stood_still_is_not_lost() {
    let lost = |middle| audit(&record(middle)).unwrap().rules.lost.len();
    assert_eq!(lost(vec![asked(1_000), stood(2_000, true), stood(4_000_000, false), answered(4_100_000)]), 0);
    assert_eq!(lost(vec![asked(1_000), stood(2_000, true), stood(4_000_000, false)]), 0);
    // It stood still at another time, or for less than the lateness.
    assert_eq!(
        lost(vec![asked(5_000_000), stood(2_000, true), stood(4_000_000, false), answered(9_000_000)]),
        1
    );
    assert_eq!(lost(vec![asked(1_000), stood(2_000, true), stood(1_000_000, false), answered(9_000_000)]), 1);
    assert_eq!(lost(vec![asked(1_000)]), 1);
}

/// Guards against a verdict on the machine: it stood still over the client's deadline, and everybody with it.
#[test]
fn what_came_late_because_the_whole_machine_stood_still_is_not_lost() {
    let lost = |late: Option<u64>, at| {
        let mut lines = vec![asked(1_000), answered(at)];
        lines.extend(late.map(|us| (4_900_000, AuditEvent::MachineLate { us })));
        audit(&record(lines)).unwrap().rules.lost.len()
    };
    // Its deadline is at 2.0 s; the machine stood from 1.9 s to 4.9 s.
    assert_eq!(lost(Some(3_000_000), 5_000_000), 0);
    // A second is forgiven with little behind it, and not for what was over before it began.
    assert_eq!(lost(Some(3_000_000), 7_200_000), 1);
    assert_eq!(lost(Some(1_000_000), 5_000_000), 1);
    assert_eq!(lost(None, 5_000_000), 1);
}
