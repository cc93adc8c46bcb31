//! Reservations while an attempt is in flight: connection probes decide whether they stay.

mod common;

use common::{TestNode, MS, RELEASE_DEADLINE};
use pintally::interface::*;
use pintally_host::{Command, Input};

/// Guards against harm by the deadline itself: a writer that was reached and waits keeps its state, whatever was
/// released meanwhile, and so does the next one if the first rejects the attempt.
#[test]
fn delivered_fetch_keeps_its_state_after_a_release_by_the_deadline() {
    let (mut node, first) = TestNode::with_reservation(&["r0", "w0", "w1"]);
    node.first_release_by(node.now + RELEASE_DEADLINE).expect("it is released");
    node.release_result("r0", true);
    node.end(&first, Outcome::Overloaded);
    let second = node.last_attempt();
    assert_eq!(&second.engine.0[..1], "w");
    assert_ne!(second.engine, first.engine);
    // The release deadline starts over with that outcome.
    let from = node.now;
    node.out.clear();
    let again = node.first_release_by(from + RELEASE_DEADLINE).expect("it is released once more");
    assert!(again > from + RELEASE_DEADLINE / 2, "after {} ms", (again - from) / MS);
    // A first token frees all reservations: no more calls are made.
    node.handle(Input::FirstToken(1, second.attempt));
    assert!(node.out.iter().any(|c| matches!(c, Command::WithdrawReleases(_))));
    node.out.clear();
    node.advance(from + 4 * RELEASE_DEADLINE);
    assert_eq!(node.releases(), []);
}

/// Guards against prompts that are read again because a writer is merely slow: its machine is probed before the
/// reservation that it may be waiting for is released, and an answer keeps the reservation.
#[test]
fn reservation_stays_while_probes_confirm_delivery() {
    let (mut node, fetch) = TestNode::with_reservation(&["r0", "w0", "w1"]);
    let from = node.now;
    node.advance_confirming_delivery(fetch.attempt, from + 4 * RELEASE_DEADLINE);
    // One probe for each 5/8 of the release deadline, and no more.
    assert_eq!((node.releases(), node.probes()), (vec![], 6));
    // With its end the deadline starts over, and the next attempt has a probe of its own.
    node.end(&fetch, Outcome::TimedOut);
    let again = node.now;
    assert_ne!(node.last_attempt().engine, fetch.engine);
    assert!(
        node.first_release_by(again + RELEASE_DEADLINE).expect("it is released")
            > again + RELEASE_DEADLINE / 2
    );
    assert_eq!(node.probes(), 7);
}

/// Guards against a reservation that is never released for an attempt whose engine answered a probe and has vanished
/// since: the node does not notice until the attempt times out, seconds later.
#[test]
fn reservation_is_released_when_a_confirmed_engine_vanishes() {
    for confirmations in [1, 2, 5] {
        let (mut node, fetch) = TestNode::with_reservation(&["r0", "w0", "w1"]);
        let mut confirmed_at = node.now;
        for _ in 0..confirmations {
            let before = node.probes();
            while node.probes() == before {
                node.advance(node.now + MS);
            }
            node.handle(Input::DeliveryConfirmed(1, fetch.attempt));
            confirmed_at = node.now;
        }
        assert_eq!(node.releases(), []);
        let at = node
            .first_release_by(confirmed_at + RELEASE_DEADLINE)
            .expect("it is released although the attempt is in flight");
        assert!(at > confirmed_at + RELEASE_DEADLINE / 2, "a slow connection gets time");
    }
}

/// What arrives from the engine on other connections shows as well as a probe that it is reachable.
#[test]
fn engine_heard_on_other_connections_is_not_probed() {
    let (mut node, fetch) = TestNode::with_reservation(&["r0", "w0"]);
    let from = node.now;
    node.advance_confirming_delivery(fetch.attempt, from + RELEASE_DEADLINE);
    let before = node.probes();
    for n in 0..40 {
        node.release_result(&fetch.engine.0, true);
        node.advance(from + RELEASE_DEADLINE + n * RELEASE_DEADLINE / 10);
    }
    assert_eq!((node.probes(), node.releases()), (before, vec![]));
}
