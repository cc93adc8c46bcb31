//! Reservations while an attempt is in flight: connection probes decide whether they are kept.

mod common;

use common::{TestNode, MS, RELEASE_DEADLINE};
use pintally::interface::*;
use pintally_host::{Command, Input};

/// Guards against a release by the deadline that takes the state from a writer which was reached and waits for it.
/// The state is also kept for the next writer if the first one rejects the attempt.
#[test]
fn delivered_fetch_keeps_state_after_release_by_deadline() {
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
    let released_at = node.first_release_by(from + RELEASE_DEADLINE).expect("it is released once more");
    assert!(released_at > from + RELEASE_DEADLINE / 2, "after {} ms", (released_at - from) / MS);
    // A first token frees all reservations: no more calls are made.
    node.handle(Input::FirstToken(1, second.attempt));
    assert!(node.out.iter().any(|c| matches!(c, Command::WithdrawReleases(_))));
    node.out.clear();
    node.advance(from + 4 * RELEASE_DEADLINE);
    assert_eq!(node.releases(), []);
}

/// Guards against prompts that are read again because a writer is merely slow: its machine is probed before the
/// reservation that it may wait for is released, and a successful probe keeps the reservation.
#[test]
fn reservation_stays_while_probes_confirm_delivery() {
    let (mut node, fetch) = TestNode::with_reservation(&["r0", "w0", "w1"]);
    let from = node.now;
    node.advance_confirming_delivery(fetch.attempt, from + 4 * RELEASE_DEADLINE);
    // One probe for each 5/8 of the release deadline, and no more.
    assert_eq!((node.releases(), node.probes()), (vec![], 6));
    // The deadline starts over when the attempt ends, and the next attempt has its own probe.
    node.end(&fetch, Outcome::TimedOut);
    let ended_at = node.now;
    assert_ne!(node.last_attempt().engine, fetch.engine);
    assert!(
        node.first_release_by(ended_at + RELEASE_DEADLINE).expect("it is released")
            > ended_at + RELEASE_DEADLINE / 2
    );
    assert_eq!(node.probes(), 7);
}

/// Guards against a reservation that is never released because its engine answered a probe and vanished afterwards:
/// the node does not notice until the attempt times out, seconds later.
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

/// Anything received from the engine on other connections proves that it is reachable, as a probe does.
#[test]
fn engine_that_responds_elsewhere_is_not_probed() {
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
