//! Small hand-written records: which violations the rules report, and which they excuse.

use pintally_audit::*;

const SECOND: u64 = 1_000_000;

fn parameters() -> AuditEvent {
    AuditEvent::Parameters(RuleParameters {
        drain_grace_us: SECOND,
        release_within_us: SECOND / 2,
        slack_us: 0,
        classes: vec![ClassParameters { name: "safe".into(), effect: Idempotency::Idempotent }],
        engines: Vec::new(),
    })
}

fn record(lines: Vec<(u64, AuditEvent)>) -> Vec<Record> {
    let mut all = vec![Record { at: 0, event: parameters() }];
    all.extend(lines.into_iter().map(|(at, event)| Record { at, event }));
    all
}

fn state_held_5_s(held: u64) -> Vec<(u64, AuditEvent)> {
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
fn reports_state_held_too_long() {
    let report = audit(&record(state_held_5_s(SECOND))).unwrap();
    assert_eq!(report.rules.pinned.len(), 1, "{:?}", report.rules);
    assert!(report.rules.lost.is_empty() && report.rules.twice.is_empty());
}

/// Guards against blaming a killed node for a read that ended just after the node was killed.
#[test]
fn excuses_state_of_node_killed_during_read() {
    let mut lines = state_held_5_s(SECOND);
    lines.push((SECOND - 1000, AuditEvent::NodeDown { node: "n".into() }));
    assert!(audit(&record(lines)).unwrap().rules.pinned.is_empty());
    // A kill before the start of the read excuses nothing, nor does the kill of another node.
    for (at, node) in [(0, "n"), (SECOND, "m")] {
        let mut lines = state_held_5_s(SECOND);
        lines.push((at, AuditEvent::NodeDown { node: node.into() }));
        assert_eq!(audit(&record(lines)).unwrap().rules.pinned.len(), 1, "{node}");
    }
}

#[test]
fn machine_lateness_excuses_nearby_events_only() {
    let pinned_with_1_s_lateness = |at| {
        let mut lines = state_held_5_s(SECOND);
        lines.push((at, AuditEvent::MachineLate { us: SECOND }));
        audit(&record(lines)).unwrap().rules.pinned.len()
    };
    // A lateness of 1 s counts 8 times, but adds at most 2 s to itself: a state held for 5 s is still reported.
    assert_eq!(pinned_with_1_s_lateness(SECOND), 1);
    let pinned_with_100_ms_lateness = |at| {
        let mut lines = state_held_5_s(SECOND);
        lines.iter_mut().filter(|l| l.0 > 2 * SECOND).for_each(|l| l.0 = 2 * SECOND);
        lines.push((at, AuditEvent::MachineLate { us: SECOND / 10 }));
        audit(&record(lines)).unwrap().rules.pinned.len()
    };
    assert_eq!(pinned_with_100_ms_lateness(SECOND), 0);
    assert_eq!(pinned_with_100_ms_lateness(30 * SECOND), 1);
}

#[test]
fn rejects_missing_parameters_and_repeated_request_ids() {
    assert!(audit(&[]).is_err());
    let mut lines = state_held_5_s(SECOND);
    lines.push(lines[0].clone());
    assert!(audit(&record(lines)).unwrap_err().message.contains("asked twice"));
    assert!(read_record(&b"{\"at\":1}\n"[..]).unwrap_err().to_string().starts_with("line 1"));
}
