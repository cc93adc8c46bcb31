//! Health checks before reads and writes.

use crate::common::*;
use crate::fixtures::{fleet, pair, serve, session_of};
use pintally::interface::*;

/// Settings of one of many nodes with health checks allowed.
fn one_of_many() -> Settings {
    Settings { node_count: 100, health_checks_allowed: true, ..settings() }
}

fn health_checked_engines(actions: &[Action]) -> Vec<&str> {
    actions.iter().filter_map(|a| if let Action::HealthCheck(e) = a { Some(&*e.0) } else { None }).collect()
}

#[test]
fn request_with_little_time_does_not_wait_for_health_check() {
    let settings = Settings { node_count: 100, health_checks_allowed: true, ..settings() };
    for client_timeout in [20 * MS, 90 * MS, 2 * SECOND] {
        let mut node = Node::new(settings.clone(), fleet());
        node.request_arrived(Request { client_timeout, ..request("a", 0, 1) });
        let waiting = node.engine_of("a").is_none() && !node.final_answers.contains_key(&id("a"));
        assert_eq!(waiting, client_timeout > SECOND, "with {client_timeout} us left");
    }
}

#[test]
fn health_checks_are_limited_by_own_requests() {
    let settings = Settings { load_reporting: LoadReporting::OnHealthCheck, ..one_of_many() };
    let endpoints = (0..60).map(|i| endpoint(&format!("w{i}"), "near", i % 9)).chain(fleet()).collect();
    let mut node = Node::new(settings, endpoints);
    let mut checks = 0;
    for _ in 0..100 {
        node.now += 500 * MS;
        checks += health_checked_engines(&node.handle(Event::TimerFired(Timer::Maintenance))).len();
    }
    assert_eq!(checks, 0, "without requests there are no health checks");
    for i in 0..100 {
        let name = format!("a{i}");
        let arrival = node.request_arrived(request(&name, 0, i));
        checks += health_checked_engines(&arrival).len();
        node.now += 60 * MS;
        checks += health_checked_engines(&node.dispatch_pending()).len();
        node.attempt_ended(&name, Outcome::Read);
        node.now += 500 * MS;
        checks += health_checked_engines(&node.handle(Event::TimerFired(Timer::Maintenance))).len();
    }
    assert!((100..=600).contains(&checks), "{checks} health checks for 100 requests");
}

#[test]
fn one_of_many_nodes_checks_readers_before_a_read() {
    let endpoints = vec![endpoint("r1", "near", 1), endpoint("r2", "near", 1), endpoint("w1", "near", 1)];
    let session = session_of("r1", &endpoints);
    for (nodes, queue, expected) in [(100, 0.0, Some("r1")), (100, 20.0, Some("r2")), (2, 0.0, Some("r1"))] {
        let mut node = Node::new(Settings { node_count: nodes, ..one_of_many() }, endpoints.clone());
        node.request_arrived(request("usual", 0, 900));
        node.now += 60 * MS;
        node.dispatch_pending();
        serve(&mut node, "usual");
        node.now += 5 * SECOND;
        let actions = node.request_arrived(request("a", 0, session));
        assert_eq!(health_checked_engines(&actions).contains(&"r1"), nodes > 10);
        for (name, queued) in [("r1", queue), ("r2", 0.0)] {
            let load = LoadReport { queue: Some(queued), slots: Some(0.5), ..LoadReport::default() };
            node.handle(Event::HealthChecked(engine(name), true, Some(load)));
        }
        assert_eq!(node.engine_of("a"), expected, "{nodes} nodes, {queue} requests queued");
    }
}

#[test]
fn unanswered_health_check_delays_read_briefly() {
    let mut node = Node::new(one_of_many(), pair());
    node.request_arrived(request("a", 0, 1));
    assert_eq!(node.engine_of("a"), None);
    node.now += 50 * MS;
    node.dispatch_pending();
    assert_eq!(node.engine_of("a"), Some("r1"));
}

#[test]
fn burst_does_not_wait_for_health_checks() {
    let mut node = Node::new(one_of_many(), fleet());
    for i in 0..200 {
        node.request_arrived(request(&format!("a{i}"), 0, i));
    }
    let names = (0..200).map(|i| format!("a{i}"));
    let waiting =
        names.filter(|n| node.engine_of(n).is_none() && !node.final_answers.contains_key(&id(n))).count();
    assert!(
        waiting <= 4,
        "{waiting} requests of a burst wait for health checks and are reconsidered at every event"
    );
}
