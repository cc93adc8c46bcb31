//! Releases where one release frees all reservations of a request: when calls are made, where they are repeated,
//! and that a late call never frees a reservation that a later attempt needs.

mod common;

use common::{endpoints, TestNode, MS, RELEASE_DEADLINE};
use pintally::interface::*;
use pintally_engine::Step;
use pintally_host::{Command, FinalAnswer, Input};

/// Guards against a reservation that is never released while one writer after another is unreachable: the node
/// counts each attempt as in flight although it is at no engine, and the release deadline runs.
#[test]
fn request_is_released_by_deadline_despite_unreachable_writers() {
    for timeout_ms in [60, 110, 250, 499, 2_000] {
        let mut node = TestNode::new(&["r0", "w0", "w1", "w2", "w3", "w4"]);
        node.arrive(1, "x");
        node.end(&node.last_attempt(), Outcome::Read);
        let read_at = node.now;
        while node.releases().is_empty() && node.now < read_at + RELEASE_DEADLINE {
            let fetch = node.last_attempt();
            let until = (node.now + timeout_ms * MS).min(read_at + RELEASE_DEADLINE);
            if node.first_release_by(until).is_none() {
                node.end(&fetch, Outcome::Unreachable);
            }
        }
        let first_call = node.now - read_at;
        assert!(
            !node.releases().is_empty(),
            "nothing is released within {} ms at {timeout_ms} ms",
            RELEASE_DEADLINE / MS
        );
        // Four engines in a row may be unresponsive.
        node.advance(read_at + RELEASE_DEADLINE);
        let ports: std::collections::BTreeSet<u16> = node.releases().iter().map(|r| r.1).collect();
        assert!(ports.len() >= 4, "only {ports:?} from {} ms on at {timeout_ms} ms", first_call / MS);
    }
}

/// Guards against a release that frees the reservation of a later request with the same name: while the release of
/// the first request is not acknowledged, a second request with that name is read and fetched undisturbed.
#[test]
fn reused_name_keeps_its_reservation_during_earlier_release() {
    for outcome in [Outcome::Read, Outcome::Cancelled, Outcome::ConnectionBroken] {
        let mut node = TestNode::new(&["r0", "w0", "w1"]);
        node.arrive(1, "x");
        let read = node.last_attempt();
        if outcome == Outcome::Read {
            node.end(&read, Outcome::Read);
        }
        node.handle(Input::ClientLeft(1));
        node.end(&node.last_attempt(), if outcome == Outcome::Read { Outcome::Cancelled } else { outcome });
        assert!(!node.releases().is_empty(), "the first reservation is released");
        assert!(!node.host.is_request_open(&RequestId("x".into())));
        // The client repeats the name before any engine has acknowledged a call.
        node.arrive(2, "x");
        let second_read = node.last_attempt();
        assert_eq!((second_read.number, second_read.step), (2, Step::Read));
        node.end(&second_read, Outcome::Read);
        // After the end of that read, no call for the first request is made.
        assert!(node.out.iter().any(|c| matches!(c, Command::WithdrawReleases(id) if &*id.0 == "x")));
        let (fetch, from) = (node.last_attempt(), node.now);
        assert_eq!((fetch.number, fetch.step), (2, Step::Fetch));
        node.out.clear();
        node.advance(from + RELEASE_DEADLINE / 2);
        assert_eq!(node.releases(), [], "after {outcome:?}");
        // A late acknowledgement of the first request's calls does not affect the second one's reservation.
        node.release_result("w0", true);
        node.end(&fetch, Outcome::Overloaded);
        assert_eq!((node.last_attempt().number, node.last_attempt().step), (2, Step::Fetch));
        // The reservation of the second request is released like any other.
        node.handle(Input::ClientLeft(2));
        let ended_at = node.now;
        node.end(&node.last_attempt(), Outcome::Cancelled);
        assert!(node.first_release_by(ended_at + RELEASE_DEADLINE).is_some());
        node.release_result("r0", true);
        assert_eq!((node.host.open_requests(), node.host.pending_timers_and_releases().1), (0, 0));
    }
}

/// Guards against an attempt that is wasted on a state that was released: the prompt is read again.
#[test]
fn released_state_is_read_again_instead_of_fetched() {
    let (mut node, first) = TestNode::with_reservation(&["r0", "w0", "w1", "w2"]);
    node.first_release_by(node.now + RELEASE_DEADLINE).expect("it is released");
    node.release_result("r0", true);
    node.end(&first, Outcome::Unreachable);
    assert_eq!(&*node.last_attempt().engine.0, "r0", "it is read again");
    node.end(&node.last_attempt(), Outcome::Read);
    let second = node.last_attempt();
    assert_eq!(&second.engine.0[..1], "w");
    node.handle(Input::FirstToken(1, second.attempt));
    node.end(&second, Outcome::Served);
    assert!(node.out.iter().any(|c| matches!(c, Command::Answer(1, FinalAnswer::Served))));
    assert_eq!((node.host.open_requests(), node.host.pending_timers_and_releases().1), (0, 0));
}

/// Guards against a call for older reservations that frees the reservation that was just created.
#[test]
fn unacknowledged_calls_are_withdrawn_after_a_repeated_read() {
    let (mut node, first) = TestNode::with_reservation(&["r0", "w0", "w1", "w2"]);
    node.first_release_by(node.now + RELEASE_DEADLINE).expect("it is released");
    node.end(&first, Outcome::Unreachable);
    let read = node.last_attempt();
    assert_eq!(&*read.engine.0, "r0");
    node.out.clear();
    node.end(&read, Outcome::Read);
    let withdrawal =
        node.out.iter().position(|c| matches!(c, Command::WithdrawReleases(_))).expect("a withdrawal");
    let fetch = node.out.iter().position(|c| matches!(c, Command::Attempt(_))).expect("a fetch");
    assert!(withdrawal < fetch);
    // That read reached an engine: its outcome starts the release deadline of all reservations over.
    assert_eq!(node.releases(), []);
    let from = node.now;
    let at = node.first_release_by(from + RELEASE_DEADLINE).expect("it is released");
    assert!(at > from + RELEASE_DEADLINE / 2, "after {} ms", (at - from) / MS);
}

/// Guards against reads whose answer was lost and whose reservations stay while the next reads are unreachable.
#[test]
fn uncertain_reservation_is_released_despite_unreachable_reads() {
    let mut node = TestNode::new(&["r0", "r1", "r2", "r3", "w0"]);
    node.arrive(1, "x");
    node.end(&node.last_attempt(), Outcome::ConnectionBroken);
    let lost_at = node.now;
    while node.releases().is_empty() && node.now < lost_at + RELEASE_DEADLINE {
        let next = node.last_attempt();
        if node.first_release_by((node.now + 200 * MS).min(lost_at + RELEASE_DEADLINE)).is_none() {
            node.end(&next, Outcome::Unreachable);
        }
    }
    assert!(!node.releases().is_empty());
    assert!(node.attempts() >= 2);
    // No attempt waits for that state: nothing remains once the release is acknowledged.
    node.release_result("r0", true);
    let next = node.last_attempt();
    node.out.clear();
    node.handle(Input::ClientLeft(1));
    node.end(&next, Outcome::Unreachable);
    assert_eq!(node.releases(), []);
    assert_eq!((node.host.open_requests(), node.host.pending_timers_and_releases().1), (0, 0));
}

/// Guards against a release that is dropped because its engine has left the list.
#[test]
fn reservation_at_unlisted_engine_is_released_by_another() {
    let (mut node, fetch) = TestNode::with_reservation(&["r0", "w0"]);
    node.handle(Input::EndpointList(ListUpdate::Full, endpoints(&["w0"])));
    node.handle(Input::ClientLeft(1));
    node.end(&fetch, Outcome::Cancelled);
    assert_eq!(node.releases().last(), Some(&("x".to_string(), 4000)));
    assert_eq!(node.host.pending_timers_and_releases().1, 1);
    node.release_result("w0", true);
    assert_eq!((node.host.open_requests(), node.host.pending_timers_and_releases().1), (0, 0));
}

/// Guards against reservations that are never released when no engine is reachable for longer than all calls take:
/// the loss is counted and logged, and the release is called again as soon as any engine responds.
#[test]
fn lost_release_is_reported_and_repeated_on_response() {
    let (mut node, fetch) = TestNode::with_reservation(&["r0", "w0"]);
    node.handle(Input::ClientLeft(1));
    node.end(&fetch, Outcome::Cancelled);
    for _ in 0..60 {
        node.release_result("r0", false);
        node.release_result("w0", false);
        node.advance(node.now + RELEASE_DEADLINE);
    }
    assert_eq!(node.host.counters().releases_lost, 1);
    let warning = "release not acknowledged by any engine: request_id=x";
    assert!(node.out.iter().any(|command| matches!(command, Command::Log(text) if text == warning)));
    assert_eq!((node.host.open_requests(), node.host.pending_timers_and_releases().1), (0, 1));
    // Another request is read: r0 is reachable again, and acknowledges the release within the deadline.
    node.arrive(2, "y");
    node.end(&node.last_attempt(), Outcome::Read);
    let deadline = node.now + RELEASE_DEADLINE;
    while node.host.pending_timers_and_releases().1 > 0 {
        assert!(node.now < deadline, "{:?}", node.releases());
        node.out.clear();
        node.advance(node.now + MS);
        if node.releases().iter().any(|r| *r == ("x".to_string(), 4000)) {
            node.release_result("r0", true);
        }
    }
}

/// Guards against a reservation that is never released because its reader is unreachable: each further call goes to
/// another engine, and none follows an acknowledgement.
#[test]
fn unacknowledged_release_is_repeated_at_other_engines() {
    let mut node = TestNode::new(&["r0", "w0", "w1"]);
    node.arrive(1, "x");
    node.end(&node.last_attempt(), Outcome::Read);
    node.handle(Input::ClientLeft(1));
    node.end(&node.last_attempt(), Outcome::Cancelled);
    assert_eq!(node.releases(), [("x".to_string(), 4000)]);
    // The next call does not wait for an acknowledgement, and goes to another engine.
    let first = node.now;
    node.advance(first + 200 * MS);
    let ports: Vec<u16> = node.releases().iter().map(|r| r.1).collect();
    assert_eq!(ports.len(), 4, "{ports:?}");
    let mut different = ports[..3].to_vec();
    different.sort_unstable();
    assert_eq!(different, [4000, 4001, 4002]);
    node.release_result("w1", true);
    assert!(node.out.iter().any(|c| matches!(c, Command::WithdrawReleases(_))));
    node.out.clear();
    node.advance(first + 4 * RELEASE_DEADLINE);
    assert_eq!(node.releases(), []);
    assert_eq!(node.host.pending_timers_and_releases().1, 0);
    assert_eq!(node.host.open_requests(), 0);
}

/// Guards against a late release that frees the state of a later read: nothing is released while an attempt is in
/// flight, and a pending release is withdrawn until the request is complete.
#[test]
fn nothing_is_released_while_an_attempt_is_in_flight() {
    let mut node = TestNode::new(&["r0", "r1", "w0"]);
    node.arrive(1, "x");
    // A read without an outcome may have created a reservation; the next read is sent at once.
    node.end(&node.last_attempt(), Outcome::TimedOut);
    assert!(node.last_attempt().attempt > 0, "it is read again");
    assert_eq!(node.releases(), []);
    node.end(&node.last_attempt(), Outcome::Read);
    let write = node.last_attempt();
    assert_eq!(&*write.engine.0, "w0");
    assert_eq!(node.releases(), []);
    // The first token frees all reservations.
    node.handle(Input::FirstToken(1, write.attempt));
    node.end(&write, Outcome::Served);
    assert_eq!(node.releases(), []);
    assert_eq!((node.host.open_requests(), node.host.pending_timers_and_releases().1), (0, 0));
}
