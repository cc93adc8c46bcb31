//! Books by hand: each invariant is found broken where it is, and only there.

use super::*;
use crate::record::BadClient;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ask(class: Class, end: AskEnd) -> Ask {
    Ask {
        class,
        node: 0,
        sent: ms(1_000),
        patience: ms(2_500),
        on_new_connection: true,
        resent: false,
        left: None,
        end,
        prompt_reader: true,
        most_held_back: Duration::ZERO,
    }
}

fn begun(at: u64) -> Begun {
    Begun {
        engine: "w0".into(),
        node: 0,
        head: ms(at),
        begun: ms(at),
        told_left: None,
        second_copy: false,
        effect: Some(ms(at)),
        finished: None,
        cut_by_node: None,
    }
}

fn answered(status: u16, whole: bool, at: u64) -> AskEnd {
    AskEnd::Answered { status, whole, first: ms(at), at: ms(at) }
}

fn books(ask: Ask, begun: Vec<Begun>) -> Books {
    let mut books = Books::default();
    books.incarnations.push(Incarnation { node: 0, started: ms(0), told_to_stop: None, ended: None });
    books.asks.insert("a".into(), ask);
    books.begun.insert("a".into(), begun);
    books
}

fn kinds(books: &Books) -> Vec<FaultKind> {
    Judge { books, late: Duration::ZERO, timing: Timing::usual() }
        .verdict()
        .into_iter()
        .map(|v| v.kind)
        .collect()
}

#[test]
fn answers_that_are_missing_late_or_dropped_are_lost_unless_the_process_ended() {
    assert!(kinds(&books(ask(Class::Safe, answered(503, true, 3_900)), vec![])).is_empty());
    let missing = [
        ask(Class::Safe, AskEnd::Open),
        ask(Class::Safe, AskEnd::Dropped { at: ms(1_200) }),
        ask(Class::Safe, answered(503, true, 4_100)),
    ];
    for one in missing {
        let mut book = books(one, vec![]);
        assert_eq!(kinds(&book), [FaultKind::Lost]);
        book.incarnations[0].ended = Some(ms(1_100));
        if !matches!(book.asks["a"].end, AskEnd::Answered { .. }) {
            assert!(kinds(&book).is_empty(), "it was killed with it");
            book.incarnations[0].told_to_stop = Some(ms(100));
            // It came 0.9 s after the signal: an answer is owed, or the end of a connection that was closed unread.
            let dropped = matches!(book.asks["a"].end, AskEnd::Dropped { .. });
            assert_eq!(kinds(&book), if dropped { vec![] } else { vec![FaultKind::Lost] });
        }
    }
    let crossed = Ask { on_new_connection: false, ..ask(Class::Safe, AskEnd::Dropped { at: ms(1_200) }) };
    assert!(kinds(&books(crossed.clone(), vec![])).is_empty());
    assert_eq!(kinds(&books(crossed, vec![begun(1_100)])), [FaultKind::Lost], "it was forwarded");
    let left = Ask { left: Some(ms(1_300)), ..ask(Class::Safe, AskEnd::Open) };
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
        let found = kinds(&books(ask(class, served), vec![begun(1_100), begun(second)]));
        assert_eq!(found, if broken { vec![FaultKind::Duplicate] } else { vec![] }, "{class:?} {second}");
    }
    let copy = Begun { second_copy: true, ..begun(1_100) };
    assert_eq!(kinds(&books(ask(Class::Safe, served), vec![copy])), [FaultKind::Duplicate]);
    let refused = books(ask(Class::Once, answered(503, true, 1_500)), vec![begun(1_100)]);
    assert_eq!(kinds(&refused), [FaultKind::RefusedAfterEffect]);
}

#[test]
fn attempts_too_late_for_their_client_their_engine_or_their_time_are_found() {
    let served = answered(200, true, 1_500);
    let left = Ask { left: Some(ms(1_200)), ..ask(Class::Safe, AskEnd::Open) };
    assert!(kinds(&books(left.clone(), vec![begun(1_290)])).is_empty());
    assert_eq!(kinds(&books(left, vec![begun(1_310)])), [FaultKind::BegunForNobody]);
    let told = |told: u64| Begun { told_left: Some(ms(told)), ..begun(1_500) };
    assert!(kinds(&books(ask(Class::Safe, served), vec![told(2_150)])).is_empty());
    assert_eq!(kinds(&books(ask(Class::Safe, served), vec![told(2_151)])), [FaultKind::ToldTooMuch]);
    let mut drained = books(ask(Class::Safe, served), vec![begun(2_000)]);
    drained.told.push((0, "w0".into(), ms(950)));
    assert!(kinds(&drained).is_empty());
    drained.told[0].2 = ms(949);
    assert_eq!(kinds(&drained), [FaultKind::Drain]);
    drained.incarnations[0].started = ms(960);
    assert!(kinds(&drained).is_empty(), "the process is younger");
    drained.incarnations[0].started = ms(900);
    drained.told[0].2 = ms(100);
    assert_eq!(kinds(&drained), [FaultKind::Drain]);
    drained.discovery_down.push((ms(500), ms(1_000)));
    assert!(kinds(&drained).is_empty(), "nobody could tell the process before");
}

#[test]
fn streams_that_are_cut_or_held_back_are_found() {
    let cut = answered(200, false, 1_500);
    assert!(kinds(&books(ask(Class::Safe, cut), vec![begun(1_100)])).is_empty(), "its engine broke off");
    let finished = Begun { finished: Some(ms(1_400)), ..begun(1_100) };
    assert_eq!(kinds(&books(ask(Class::Safe, cut), vec![finished])), [FaultKind::StreamCut]);
    let writes = Begun { cut_by_node: Some(ms(1_400)), ..begun(1_100) };
    assert_eq!(kinds(&books(ask(Class::Safe, cut), vec![writes])), [FaultKind::StreamCut]);
    let given_up = Begun { cut_by_node: Some(ms(1_400)), ..begun(1_100) };
    let last = begun(1_300);
    assert!(
        kinds(&books(ask(Class::Safe, cut), vec![given_up, last])).is_empty(),
        "the last one's engine broke off"
    );
    let slow = Ask { most_held_back: ms(301), ..ask(Class::Safe, answered(200, true, 1_500)) };
    assert_eq!(kinds(&books(slow, vec![begun(1_100)])), [FaultKind::HeldBack]);
}

#[test]
fn what_stays_held_bad_clients_and_processes_are_found() {
    let record = crate::record::Record::new();
    let served = answered(200, true, 1_500);
    for (wait, kinds_of) in [(0, vec![]), (850, vec![FaultKind::Pinned])] {
        record.begins("a", begun(1_100));
        record.holds("a");
        record.ends("a");
        std::thread::sleep(ms(wait));
        record.released("a");
        record.close_held();
        let mut book = record.take_books();
        book.asks = books(ask(Class::Safe, served), vec![]).asks;
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
        [FaultKind::BadClient, FaultKind::BadClient, FaultKind::Process, FaultKind::Denied]
    );
}
