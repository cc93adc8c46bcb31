//! Handwritten records: each violation is found, and correct records have none.

use super::*;
use crate::record::BadClient;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(class: Class, end: RequestOutcome) -> ClientRequest {
    ClientRequest {
        class,
        node: 0,
        sent: ms(1_000),
        client_timeout: ms(2_500),
        on_new_connection: true,
        resent: false,
        left: None,
        end,
        prompt_reader: true,
        most_held_back: Duration::ZERO,
    }
}

fn attempt(at: u64) -> AttemptRecord {
    AttemptRecord {
        engine: "w0".into(),
        node: 0,
        head: ms(at),
        attempt_started: ms(at),
        remaining_stated: None,
        second_copy: false,
        effect: Some(ms(at)),
        finished: None,
        cut_by_node: None,
    }
}

fn answered(status: u16, whole: bool, at: u64) -> RequestOutcome {
    RequestOutcome::Answered { status, whole, first: ms(at), at: ms(at) }
}

fn record_with(request: ClientRequest, attempts: Vec<AttemptRecord>) -> RunRecord {
    let mut record = RunRecord::default();
    record.incarnations.push(Incarnation { node: 0, started: ms(0), stop_requested_at: None, ended: None });
    record.requests.insert("a".into(), request);
    record.attempts.insert("a".into(), attempts);
    record
}

fn violation_kinds(record: &RunRecord) -> Vec<ViolationKind> {
    InvariantChecker { record, tolerance: Duration::ZERO, timing: Timing::typical() }
        .violations()
        .into_iter()
        .map(|v| v.kind)
        .collect()
}

#[test]
fn finds_lost_answers_unless_process_ended() {
    assert!(
        violation_kinds(&record_with(request(Class::Safe, answered(503, true, 3_900)), vec![])).is_empty()
    );
    let missing = [
        request(Class::Safe, RequestOutcome::Open),
        request(Class::Safe, RequestOutcome::Dropped { at: ms(1_200) }),
        request(Class::Safe, answered(503, true, 4_100)),
    ];
    for one in missing {
        let mut record = record_with(one, vec![]);
        assert_eq!(violation_kinds(&record), [ViolationKind::Lost]);
        record.incarnations[0].ended = Some(ms(1_100));
        if !matches!(record.requests["a"].end, RequestOutcome::Answered { .. }) {
            assert!(violation_kinds(&record).is_empty(), "its process was killed");
            record.incarnations[0].stop_requested_at = Some(ms(100));
            // The request came 0.9 s after SIGTERM: it must get an answer, or its connection is closed unread.
            let dropped = matches!(record.requests["a"].end, RequestOutcome::Dropped { .. });
            assert_eq!(violation_kinds(&record), if dropped { vec![] } else { vec![ViolationKind::Lost] });
        }
    }
    let crossed = ClientRequest {
        on_new_connection: false,
        ..request(Class::Safe, RequestOutcome::Dropped { at: ms(1_200) })
    };
    assert!(violation_kinds(&record_with(crossed.clone(), vec![])).is_empty());
    assert_eq!(
        violation_kinds(&record_with(crossed, vec![attempt(1_100)])),
        [ViolationKind::Lost],
        "an attempt reached an engine"
    );
    let left = ClientRequest { left: Some(ms(1_300)), ..request(Class::Safe, RequestOutcome::Open) };
    assert!(violation_kinds(&record_with(left, vec![])).is_empty());
}

#[test]
fn finds_duplicate_effects_and_rejection_after_effect() {
    let served = answered(200, true, 1_500);
    for (class, second, broken) in [
        (Class::Safe, 1_400, false),
        (Class::Once, 1_400, true),
        (Class::Keyed, 1_400, false),
        (Class::Keyed, 2_600, true),
    ] {
        let found =
            violation_kinds(&record_with(request(class, served), vec![attempt(1_100), attempt(second)]));
        assert_eq!(found, if broken { vec![ViolationKind::Duplicate] } else { vec![] }, "{class:?} {second}");
    }
    let copy = AttemptRecord { second_copy: true, ..attempt(1_100) };
    assert_eq!(
        violation_kinds(&record_with(request(Class::Safe, served), vec![copy])),
        [ViolationKind::Duplicate]
    );
    let refused = record_with(request(Class::Once, answered(503, true, 1_500)), vec![attempt(1_100)]);
    assert_eq!(violation_kinds(&refused), [ViolationKind::RejectedAfterEffect]);
}

#[test]
fn finds_late_attempts_and_overstated_remaining_time() {
    let served = answered(200, true, 1_500);
    let left = ClientRequest { left: Some(ms(1_200)), ..request(Class::Safe, RequestOutcome::Open) };
    assert!(violation_kinds(&record_with(left.clone(), vec![attempt(1_290)])).is_empty());
    assert_eq!(
        violation_kinds(&record_with(left, vec![attempt(1_310)])),
        [ViolationKind::AttemptAfterClientLeft]
    );
    let stating =
        |remaining_ms: u64| AttemptRecord { remaining_stated: Some(ms(remaining_ms)), ..attempt(1_500) };
    assert!(violation_kinds(&record_with(request(Class::Safe, served), vec![stating(2_150)])).is_empty());
    assert_eq!(
        violation_kinds(&record_with(request(Class::Safe, served), vec![stating(2_151)])),
        [ViolationKind::RemainingTimeOverstated]
    );
    let mut drained = record_with(request(Class::Safe, served), vec![attempt(2_000)]);
    drained.notified.push((0, "w0".into(), ms(950)));
    assert!(violation_kinds(&drained).is_empty());
    drained.notified[0].2 = ms(949);
    assert_eq!(violation_kinds(&drained), [ViolationKind::SentToDrainingEndpoint]);
    drained.incarnations[0].started = ms(960);
    assert!(violation_kinds(&drained).is_empty(), "the process started after the notification");
    drained.incarnations[0].started = ms(900);
    drained.notified[0].2 = ms(100);
    assert_eq!(violation_kinds(&drained), [ViolationKind::SentToDrainingEndpoint]);
    drained.discovery_down.push((ms(500), ms(1_000)));
    assert!(violation_kinds(&drained).is_empty(), "discovery was down, so the process could not know");
}

#[test]
fn finds_cut_and_delayed_streams() {
    let cut = answered(200, false, 1_500);
    assert!(
        violation_kinds(&record_with(request(Class::Safe, cut), vec![attempt(1_100)])).is_empty(),
        "its engine broke the stream"
    );
    let finished = AttemptRecord { finished: Some(ms(1_400)), ..attempt(1_100) };
    assert_eq!(
        violation_kinds(&record_with(request(Class::Safe, cut), vec![finished])),
        [ViolationKind::StreamCut]
    );
    let cut_while_writing = AttemptRecord { cut_by_node: Some(ms(1_400)), ..attempt(1_100) };
    assert_eq!(
        violation_kinds(&record_with(request(Class::Safe, cut), vec![cut_while_writing])),
        [ViolationKind::StreamCut]
    );
    let given_up = AttemptRecord { cut_by_node: Some(ms(1_400)), ..attempt(1_100) };
    let last = attempt(1_300);
    assert!(
        violation_kinds(&record_with(request(Class::Safe, cut), vec![given_up, last])).is_empty(),
        "the last attempt's engine broke the stream"
    );
    let slow = ClientRequest { most_held_back: ms(301), ..request(Class::Safe, answered(200, true, 1_500)) };
    assert_eq!(violation_kinds(&record_with(slow, vec![attempt(1_100)])), [ViolationKind::EventsDelayed]);
}

#[test]
fn finds_leaked_states_bad_clients_and_process_faults() {
    let shared = crate::record::SharedRecord::new();
    let served = answered(200, true, 1_500);
    for (wait, expected) in [(0, vec![]), (850, vec![ViolationKind::ReservationLeaked])] {
        shared.begin_attempt("a", attempt(1_100));
        shared.hold_state("a");
        shared.end_attempt("a");
        std::thread::sleep(ms(wait));
        shared.release_states("a");
        shared.close_held_states();
        let mut record = shared.take();
        record.requests = record_with(request(Class::Safe, served), vec![]).requests;
        assert_eq!(violation_kinds(&record), expected, "{wait}");
    }
    let mut record = record_with(request(Class::Safe, served), vec![]);
    for served_at in [Some(ms(2_900)), Some(ms(3_100)), None] {
        record.bad_clients.push(BadClient { node: 0, connected: ms(0), served_at });
    }
    record.process_faults.push((0, "ended".into()));
    record.guard_violations.push((0, "window_over 1".into()));
    assert_eq!(
        violation_kinds(&record),
        [
            ViolationKind::BadClient,
            ViolationKind::BadClient,
            ViolationKind::Process,
            ViolationKind::GuardViolation
        ]
    );
}
