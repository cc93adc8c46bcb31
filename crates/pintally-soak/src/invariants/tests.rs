//! Books by hand: each invariant is found broken where it is, and only there.

use super::*;
use crate::record::BadClient;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ask(class: Class, end: RequestOutcome) -> ClientRequest {
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

fn attempt_started(at: u64) -> AttemptRecord {
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

fn books(ask: ClientRequest, attempt_started: Vec<AttemptRecord>) -> RunRecord {
    let mut books = RunRecord::default();
    books.incarnations.push(Incarnation { node: 0, started: ms(0), stop_requested_at: None, ended: None });
    books.requests.insert("a".into(), ask);
    books.attempt_started.insert("a".into(), attempt_started);
    books
}

fn kinds(books: &RunRecord) -> Vec<ViolationKind> {
    InvariantChecker { books, late: Duration::ZERO, timing: Timing::usual() }
        .verdict()
        .into_iter()
        .map(|v| v.kind)
        .collect()
}

#[test]
fn answers_that_are_missing_late_or_dropped_are_lost_unless_the_process_ended() {
    assert!(kinds(&books(ask(Class::Safe, answered(503, true, 3_900)), vec![])).is_empty());
    let missing = [
        ask(Class::Safe, RequestOutcome::Open),
        ask(Class::Safe, RequestOutcome::Dropped { at: ms(1_200) }),
        ask(Class::Safe, answered(503, true, 4_100)),
    ];
    for one in missing {
        let mut book = books(one, vec![]);
        assert_eq!(kinds(&book), [ViolationKind::Lost]);
        book.incarnations[0].ended = Some(ms(1_100));
        if !matches!(book.requests["a"].end, RequestOutcome::Answered { .. }) {
            assert!(kinds(&book).is_empty(), "it was killed with it");
            book.incarnations[0].stop_requested_at = Some(ms(100));
            // It came 0.9 s after the signal: an answer is owed, or the end of a connection that was closed unread.
            let dropped = matches!(book.requests["a"].end, RequestOutcome::Dropped { .. });
            assert_eq!(kinds(&book), if dropped { vec![] } else { vec![ViolationKind::Lost] });
        }
    }
    let crossed = ClientRequest {
        on_new_connection: false,
        ..ask(Class::Safe, RequestOutcome::Dropped { at: ms(1_200) })
    };
    assert!(kinds(&books(crossed.clone(), vec![])).is_empty());
    assert_eq!(
        kinds(&books(crossed, vec![attempt_started(1_100)])),
        [ViolationKind::Lost],
        "it was forwarded"
    );
    let left = ClientRequest { left: Some(ms(1_300)), ..ask(Class::Safe, RequestOutcome::Open) };
    assert!(kinds(&books(left, vec![])).is_empty());
}

#[test]
fn effects_that_come_twice_and_promises_behind_an_effect_are_found() {
    let served = answered(200, true, 1_500);
    for (class, second, broken) in [
        (Class::Safe, 1_400, false),
        (Class::Once, 1_400, true),
        (Class::Keyed, 1_400, false),
        (Class::Keyed, 2_600, true),
    ] {
        let found = kinds(&books(ask(class, served), vec![attempt_started(1_100), attempt_started(second)]));
        assert_eq!(found, if broken { vec![ViolationKind::Duplicate] } else { vec![] }, "{class:?} {second}");
    }
    let copy = AttemptRecord { second_copy: true, ..attempt_started(1_100) };
    assert_eq!(kinds(&books(ask(Class::Safe, served), vec![copy])), [ViolationKind::Duplicate]);
    let refused = books(ask(Class::Once, answered(503, true, 1_500)), vec![attempt_started(1_100)]);
    assert_eq!(kinds(&refused), [ViolationKind::RejectedAfterEffect]);
}

#[test]
fn attempts_too_late_for_their_client_their_engine_or_their_time_are_found() {
    let served = answered(200, true, 1_500);
    let left = ClientRequest { left: Some(ms(1_200)), ..ask(Class::Safe, RequestOutcome::Open) };
    assert!(kinds(&books(left.clone(), vec![attempt_started(1_290)])).is_empty());
    assert_eq!(kinds(&books(left, vec![attempt_started(1_310)])), [ViolationKind::AttemptAfterClientLeft]);
    let notified =
        |notified: u64| AttemptRecord { remaining_stated: Some(ms(notified)), ..attempt_started(1_500) };
    assert!(kinds(&books(ask(Class::Safe, served), vec![notified(2_150)])).is_empty());
    assert_eq!(
        kinds(&books(ask(Class::Safe, served), vec![notified(2_151)])),
        [ViolationKind::RemainingTimeOverstated]
    );
    let mut drained = books(ask(Class::Safe, served), vec![attempt_started(2_000)]);
    drained.notified.push((0, "w0".into(), ms(950)));
    assert!(kinds(&drained).is_empty());
    drained.notified[0].2 = ms(949);
    assert_eq!(kinds(&drained), [ViolationKind::SentToDrainingEndpoint]);
    drained.incarnations[0].started = ms(960);
    assert!(kinds(&drained).is_empty(), "the process is younger");
    drained.incarnations[0].started = ms(900);
    drained.notified[0].2 = ms(100);
    assert_eq!(kinds(&drained), [ViolationKind::SentToDrainingEndpoint]);
    drained.discovery_down.push((ms(500), ms(1_000)));
    assert!(kinds(&drained).is_empty(), "nobody could tell the process before");
}

#[test]
fn streams_that_are_cut_or_held_back_are_found() {
    let cut = answered(200, false, 1_500);
    assert!(
        kinds(&books(ask(Class::Safe, cut), vec![attempt_started(1_100)])).is_empty(),
        "its engine broke off"
    );
    let finished = AttemptRecord { finished: Some(ms(1_400)), ..attempt_started(1_100) };
    assert_eq!(kinds(&books(ask(Class::Safe, cut), vec![finished])), [ViolationKind::StreamCut]);
    let writes = AttemptRecord { cut_by_node: Some(ms(1_400)), ..attempt_started(1_100) };
    assert_eq!(kinds(&books(ask(Class::Safe, cut), vec![writes])), [ViolationKind::StreamCut]);
    let given_up = AttemptRecord { cut_by_node: Some(ms(1_400)), ..attempt_started(1_100) };
    let last = attempt_started(1_300);
    assert!(
        kinds(&books(ask(Class::Safe, cut), vec![given_up, last])).is_empty(),
        "the last one's engine broke off"
    );
    let slow = ClientRequest { most_held_back: ms(301), ..ask(Class::Safe, answered(200, true, 1_500)) };
    assert_eq!(kinds(&books(slow, vec![attempt_started(1_100)])), [ViolationKind::EventsDelayed]);
}

#[test]
fn what_stays_held_bad_clients_and_processes_are_found() {
    let record = crate::record::Record::new();
    let served = answered(200, true, 1_500);
    for (wait, kinds_of) in [(0, vec![]), (850, vec![ViolationKind::ReservationLeaked])] {
        record.begins("a", attempt_started(1_100));
        record.holds("a");
        record.finish("a");
        std::thread::sleep(ms(wait));
        record.released("a");
        record.close_held();
        let mut book = record.take_books();
        book.requests = books(ask(Class::Safe, served), vec![]).requests;
        assert_eq!(kinds(&book), kinds_of, "{wait}");
    }
    let mut book = books(ask(Class::Safe, served), vec![]);
    for served_at in [Some(ms(2_900)), Some(ms(3_100)), None] {
        book.bad_clients.push(BadClient { node: 0, connected: ms(0), served_at });
    }
    book.process_faults.push((0, "ended".into()));
    book.denied.push((0, "window_over 1".into()));
    assert_eq!(
        kinds(&book),
        [
            ViolationKind::BadClient,
            ViolationKind::BadClient,
            ViolationKind::Process,
            ViolationKind::GuardViolation
        ]
    );
}
