//! Small records by hand: what the rules excuse, and what they do not.

use pintally_audit::*;

const SECOND: u64 = 1_000_000;

fn figures() -> AuditEvent {
    AuditEvent::Parameters(RuleParameters {
        drain_grace_us: SECOND,
        release_within_us: SECOND / 2,
        slack_us: 0,
        classes: vec![ClassParameters { name: "safe".into(), effect: Idempotency::Idempotent }],
        engines: Vec::new(),
    })
}

fn record(lines: Vec<(u64, AuditEvent)>) -> Vec<Record> {
    let mut all = vec![Record { at: 0, event: figures() }];
    all.extend(lines.into_iter().map(|(at, event)| Record { at, event }));
    all
}

fn read_and_held(held: u64) -> Vec<(u64, AuditEvent)> {
    let (engine, node, request) = ("r".to_string(), "n".to_string(), "c".to_string());
    let state = "n-1.0".to_string();
    vec![
        (
            0,
            AuditEvent::RequestSent {
                request: request.clone(),
                node: node.clone(),
                class: "safe".into(),
                tenant: None,
                patience_us: 20 * SECOND,
                streamed: true,
            },
        ),
        (
            1,
            AuditEvent::AttemptArrived {
                engine: engine.clone(),
                node: node.clone(),
                request: request.clone(),
                attempt: state.clone(),
                step: Step::Read,
                reached: true,
            },
        ),
        (
            held,
            AuditEvent::StateHeld {
                engine: engine.clone(),
                node,
                request: request.clone(),
                state: state.clone(),
            },
        ),
        (held, AuditEvent::AttemptEnded { engine: engine.clone(), attempt: state.clone() }),
        (held + 5 * SECOND, AuditEvent::StateFreed { engine, state, by: FreedBy::Expired }),
        (held + 5 * SECOND, AuditEvent::Answered { request, answer: Answer::Failed }),
    ]
}

#[test]
fn a_state_that_waits_too_long_is_pinned() {
    let report = audit(&record(read_and_held(SECOND))).unwrap();
    assert_eq!(report.rules.pinned.len(), 1, "{:?}", report.rules);
    assert!(report.rules.lost.is_empty() && report.rules.twice.is_empty());
}

/// Guards against blaming a node for a read that ended just behind its death.
#[test]
fn a_state_of_a_node_that_was_killed_while_it_was_read_is_not() {
    let mut lines = read_and_held(SECOND);
    lines.push((SECOND - 1000, AuditEvent::NodeDown { node: "n".into() }));
    assert!(audit(&record(lines)).unwrap().rules.pinned.is_empty());
    // A death before the read began excuses nothing, nor does that of another node.
    for (at, node) in [(0, "n"), (SECOND, "m")] {
        let mut lines = read_and_held(SECOND);
        lines.push((at, AuditEvent::NodeDown { node: node.into() }));
        assert_eq!(audit(&record(lines)).unwrap().rules.pinned.len(), 1, "{node}");
    }
}

#[test]
fn a_machine_that_is_late_is_allowed_for_near_to_it_only() {
    let late = |at| {
        let mut lines = read_and_held(SECOND);
        lines.push((at, AuditEvent::MachineLate { us: SECOND }));
        audit(&record(lines)).unwrap().rules.pinned.len()
    };
    // Eight times a second, but two seconds at the most: five seconds are too long all the same.
    assert_eq!(late(SECOND), 1);
    let short = |at| {
        let mut lines = read_and_held(SECOND);
        lines.iter_mut().filter(|l| l.0 > 2 * SECOND).for_each(|l| l.0 = 2 * SECOND);
        lines.push((at, AuditEvent::MachineLate { us: SECOND / 10 }));
        audit(&record(lines)).unwrap().rules.pinned.len()
    };
    assert_eq!(short(SECOND), 0);
    assert_eq!(short(30 * SECOND), 1);
}

#[test]
fn a_record_must_begin_with_its_figures_and_name_each_try_once() {
    assert!(audit(&[]).is_err());
    let mut lines = read_and_held(SECOND);
    lines.push(lines[0].clone());
    assert!(audit(&record(lines)).unwrap_err().message.contains("asked twice"));
    assert!(read_record(&b"{\"at\":1}\n"[..]).unwrap_err().to_string().starts_with("line 1"));
}
