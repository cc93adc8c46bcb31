//! Releases where each release frees one reservation and only its engine can execute it.

mod common;

use std::sync::Arc;

use common::{endpoints, TestNode, MS, RELEASE_DEADLINE, SETTINGS};
use pintally::interface::*;
use pintally_config::NodeSettings;
use pintally_engine::Step;
use pintally_host::{Command, Host, Input, ReleaseScope};

/// Guards against a reservation that is never released while one writer after another is unreachable: the node
/// counts each attempt as in flight although it is at no engine, and the release deadline runs.
#[test]
fn reservation_is_released_by_deadline_despite_unreachable_writers() {
    for timeout_ms in [250, 499, 2_000] {
        let mut node =
            TestNode::with_release_scope(&["r0", "w0", "w1", "w2", "w3", "w4"], ReleaseScope::Attempt);
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
        assert_eq!(node.releases(), [("x.0".to_string(), 4000)], "at {timeout_ms} ms");
        assert_eq!(node.host.counters().releases_guarded, 1);
        // A released state is not fetched: the prompt is read again.
        node.end(&node.last_attempt(), Outcome::Unreachable);
        assert_eq!((&*node.last_attempt().engine.0, node.last_attempt().step), ("r0", Step::Read));
        // A writer that is reachable and merely slow keeps its reservation.
        node.end(&node.last_attempt(), Outcome::Read);
        let (fetch, from) = (node.last_attempt(), node.now);
        node.out.clear();
        node.advance(from + RELEASE_DEADLINE * 5 / 8);
        assert!(
            matches!(node.out[..], [Command::ProbeConnection(1, attempt, ..)] if attempt == fetch.attempt)
        );
        node.handle(Input::DeliveryConfirmed(1, fetch.attempt));
        node.advance_confirming_delivery(fetch.attempt, from + 4 * RELEASE_DEADLINE);
        assert_eq!(node.releases(), []);
    }
}

/// A release that was given up is called again as soon as its engine responds.
#[test]
fn release_is_repeated_when_partitioned_engine_responds() {
    let mut node = TestNode::with_release_scope(&["r0", "w0"], ReleaseScope::Attempt);
    node.arrive(1, "x");
    node.end(&node.last_attempt(), Outcome::Read);
    let fetch = node.last_attempt();
    node.handle(Input::ClientLeft(1));
    node.end(&fetch, Outcome::Cancelled);
    let mut calls = 0;
    while node.host.counters().releases_lost == 0 {
        calls += 1;
        assert_eq!(node.releases().len(), calls);
        node.handle(Input::Released(RequestId("x.0".into()), EngineId("r0".into()), false));
        node.advance(node.now + 60 * RELEASE_DEADLINE);
    }
    assert_eq!((calls, node.host.pending_timers_and_releases().1), (9, 1));
    node.out.clear();
    node.arrive(2, "y");
    node.end(&node.last_attempt(), Outcome::Read);
    node.advance(node.now + 1);
    assert_eq!(node.releases().first(), Some(&("x.0".to_string(), 4000)));
}

/// Guards against a release that overtakes the read whose reservation it should free, because the read is delayed on
/// a stalled connection or at an engine that hangs: such a release is repeated.
#[test]
fn acknowledged_release_of_uncertain_reservation_is_repeated() {
    let mut node = TestNode::with_release_scope(&["r0", "w0"], ReleaseScope::Attempt);
    node.arrive(1, "x");
    node.handle(Input::ClientLeft(1));
    node.end(&node.last_attempt(), Outcome::TimedOut);
    let mut calls = 0;
    for _ in 0..40 {
        let called = node.releases().len();
        if called > calls {
            calls = called;
            node.handle(Input::Released(RequestId("x.0".into()), EngineId("r0".into()), true));
        }
        node.advance(node.now + RELEASE_DEADLINE / 4);
    }
    assert_eq!(calls, 4, "{:?}", node.releases());
    assert_eq!((node.host.open_requests(), node.host.pending_timers_and_releases().1), (0, 0));
}

/// Reservations that one incarnation leaves are released by the next one as soon as their engine is listed. They are
/// dropped if a list from its source no longer has the engine. A reservation of the next incarnation itself is never
/// released.
#[test]
fn orphaned_reservations_are_released_by_the_next_incarnation() {
    let mut node = TestNode::with_release_scope(&["r0", "r1", "w0"], ReleaseScope::Attempt);
    node.arrive(1, "held");
    node.end(&node.last_attempt(), Outcome::Read);
    node.arrive(2, "reads");
    node.arrive(3, "unheard");
    node.end(&node.last_attempt(), Outcome::Error);
    let mut at_exit = node.host.reservations_at_exit(16);
    at_exit.sort();
    let names: Vec<&str> = at_exit.iter().map(|(_, name)| &*name.0).collect();
    assert!(["held.0", "reads.0", "unheard.0", "unheard.1"].iter().all(|n| names.contains(n)), "{names:?}");
    assert_eq!(node.host.reservations_at_exit(1).len(), 1);

    // Of their engines, r0 is listed at once, r9 later and w9 never again.
    let mut settings = NodeSettings::parse("test", SETTINGS).expect("the settings are valid");
    settings.name = "m".into();
    let orphaned = |engine: &str, name: &str| (EngineId(engine.into()), RequestId(name.into()));
    let own = orphaned("r0", "m-00000007-5.0");
    let all = vec![orphaned("r0", "a.0"), orphaned("w9", "b.0"), orphaned("r9", "c.1"), own];
    node.host = Host::new(Arc::new(settings), 7).with_orphaned_reservations(all);
    node.out.clear();
    node.handle(Input::EndpointList(ListUpdate::Full, endpoints(&["r0", "w0"])));
    assert_eq!(node.releases(), [("a.0".to_string(), 4000)]);
    let remaining: Vec<_> =
        node.host.reservations_at_exit(16).into_iter().map(|l| l.1 .0.to_string()).collect();
    assert_eq!(
        remaining,
        ["a.0", "b.0", "c.1"],
        "unacknowledged releases are persisted for one more incarnation"
    );
    node.handle(Input::EndpointList(ListUpdate::Delta, endpoints(&["r9"])));
    assert_eq!(node.releases().len(), 2);
    for (engine, name) in [("r0", "a.0"), ("r9", "c.1")] {
        node.handle(Input::Released(RequestId(name.into()), EngineId(engine.into()), true));
    }
    node.handle(Input::EndpointListConfirmed);
    assert_eq!(node.host.reservations_at_exit(16), []);
    assert_eq!((node.host.pending_timers_and_releases().1, node.host.counters().orphaned_releases), (0, 2));
}

/// While one engine takes over the address of another, two engines are listed with one address. The reservations of
/// each are released under its own name, and none are lost when one of the engines leaves the list.
#[test]
fn engines_at_one_address_are_distinguished_by_name() {
    let mut node = TestNode::with_release_scope(&["r0"], ReleaseScope::Attempt);
    let mut both = endpoints(&["r0", "r1"]);
    both[1].address = both[0].address;
    node.arrive(1, "x");
    node.end(&node.last_attempt(), Outcome::Read);
    both[0].endpoint.state = EndpointState::Draining;
    node.handle(Input::EndpointList(ListUpdate::Full, both.clone()));
    node.arrive(2, "y");
    assert_eq!(&*node.last_attempt().engine.0, "r1");
    node.end(&node.last_attempt(), Outcome::Read);
    both.remove(0);
    node.handle(Input::EndpointList(ListUpdate::Full, both));
    for number in [1, 2] {
        node.handle(Input::ClientLeft(number));
    }
    let released = |c: &Command| match c {
        Command::Release { name, engine, .. } => Some((name.0.to_string(), engine.0.to_string())),
        _ => None,
    };
    node.advance(node.now + RELEASE_DEADLINE);
    let all: std::collections::BTreeSet<_> = node.out.iter().filter_map(released).collect();
    let expected =
        [("x.0", "r0"), ("y.0", "r1")].map(|(name, engine)| (name.to_string(), engine.to_string()));
    assert_eq!(all.into_iter().collect::<Vec<_>>(), expected);
}
