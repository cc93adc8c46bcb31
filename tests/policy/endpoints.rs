//! The endpoint list.

use crate::common::*;
use crate::fixtures::serve;
use pintally::interface::*;

#[test]
fn draining_and_gone_engines_get_no_requests() {
    let mut node = Node::new(
        settings(),
        vec![endpoint("r1", "near", 1), endpoint("r2", "near", 1), endpoint("w1", "near", 1)],
    );
    node.update_endpoints(
        ListUpdate::Delta,
        vec![Endpoint { state: EndpointState::Draining, ..endpoint("r1", "near", 1) }],
    );
    for session in 0..6 {
        let name = format!("a{session}");
        node.request_arrived(request(&name, 0, session));
        assert_eq!(node.engine_of(&name), Some("r2"));
        serve(&mut node, &name);
    }
    // An engine that is missing from a full list has left the fleet.
    node.update_endpoints(ListUpdate::Full, vec![endpoint("r1", "near", 1), endpoint("w1", "near", 1)]);
    node.request_arrived(request("b", 0, 9));
    assert_eq!(node.engine_of("b"), Some("r1"));
    // A list that could not be obtained changes nothing.
    node.handle(Event::EndpointList(ListUpdate::Failed, vec![]));
    node.request_arrived(request("c", 0, 10));
    assert_eq!(node.engine_of("c"), Some("r1"));
}

#[test]
fn indices_of_gone_engines_are_reused() {
    let mut router = pintally::Router::new(settings(), 7);
    let mut actions = Vec::new();
    for round in 0..5_000 {
        let gone = Endpoint { state: EndpointState::Gone, ..endpoint(&format!("r{round}"), "near", 1) };
        let new = vec![endpoint(&format!("r{}", round + 1), "near", 1), gone];
        router.handle(SECOND + round, Event::EndpointList(ListUpdate::Delta, new), &mut actions);
    }
    assert!(router.engine_estimates(9 * SECOND).len() <= 3, "{}", router.engine_estimates(9 * SECOND).len());
}
