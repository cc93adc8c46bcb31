//! The in-flight limit, the order of pending requests and quotas.

use crate::common::*;
use crate::fixtures::{fleet, pair, report, serve};
use pintally::interface::*;

/// A node without capacity: its writer is overloaded and one request is in flight.
fn node_without_capacity() -> Node {
    let mut node = Node::new(settings(), pair());
    node.request_arrived(request("first", 0, 1));
    node.attempt_ended("first", Outcome::Read);
    node.attempt_ended("first", Outcome::Overloaded);
    node.request_arrived(request("way", 0, 2));
    assert_eq!(node.engine_of("way"), Some("r1"));
    node
}

/// Gives the request in flight its first token and lets the overload expire, so that there is capacity.
fn free_capacity(node: &mut Node) {
    node.attempt_ended("way", Outcome::Read);
    node.first_token("way");
    node.now += 310 * MS;
    for _ in 0..30 {
        node.dispatch_pending();
    }
}

/// The order in which pending requests were sent.
fn order_sent(node: &Node, names: &[&str]) -> Vec<String> {
    let sent = node.actions.iter().filter_map(|a| match a {
        Action::Send(id, _, _) if names.contains(&&*id.0) => Some(id.0.to_string()),
        _ => None,
    });
    sent.fold(vec![], |mut all, name| {
        if !all.contains(&name) {
            all.push(name);
        }
        all
    })
}

#[test]
fn reads_wait_while_no_writer_has_capacity() {
    let mut node = Node::new(settings(), pair());
    node.request_arrived(request("a", 0, 1));
    node.attempt_ended("a", Outcome::Read);
    node.attempt_ended("a", Outcome::Overloaded);
    // With its only writer overloaded, the node allows one request in flight.
    node.request_arrived(request("b", 0, 2));
    node.request_arrived(request("c", 0, 3));
    assert!(node.engine_of("b").is_some() != node.engine_of("c").is_some());
}

#[test]
fn pending_request_that_would_be_late_is_rejected() {
    let mut node = Node::new(settings(), pair());
    node.request_arrived(request("a", 0, 1));
    node.attempt_ended("a", Outcome::Read);
    node.attempt_ended("a", Outcome::Overloaded);
    node.request_arrived(request("b", 0, 2));
    node.request_arrived(request("c", 0, 3));
    let delayed = if node.engine_of("b").is_some() { "c" } else { "b" };
    node.now += 1_100 * MS;
    node.dispatch_pending();
    assert!(node.final_answers.contains_key(&id(delayed)), "long before its deadline");
}

#[test]
fn requests_within_quota_go_first() {
    let tenants = vec![
        Tenant { name: "big".into(), quota_per_s: 1.0 },
        Tenant { name: "small".into(), quota_per_s: 100.0 },
    ];
    let mut node = Node::new(Settings { tenants, ..settings() }, pair());
    node.request_arrived(request("a", 0, 1));
    node.attempt_ended("a", Outcome::Read);
    node.attempt_ended("a", Outcome::Overloaded);
    node.request_arrived(request("b", 0, 2));
    for i in 0..4 {
        node.request_arrived(Request { tenant: Some(0), ..request(&format!("big{i}"), 0, 10 + i) });
    }
    node.now += MS;
    node.request_arrived(Request { tenant: Some(1), ..request("small", 0, 20) });
    node.now += MS;
    node.request_arrived(Request { tenant: Some(0), ..request("big9", 0, 30) });
    // When there is capacity again, the tenant within its quota goes first although "big9" arrived later.
    node.attempt_ended("b", Outcome::Read);
    node.first_token("b");
    node.now += 310 * MS;
    node.dispatch_pending();
    assert_eq!(order_sent(&node, &["small", "big9"])[0], "small");
}

#[test]
fn newest_pending_request_goes_first() {
    let mut node = node_without_capacity();
    for (i, name) in ["old", "mid", "new"].iter().enumerate() {
        node.now += MS;
        node.request_arrived(request(name, 0, 10 + i as u64));
    }
    free_capacity(&mut node);
    assert_eq!(order_sent(&node, &["old", "mid", "new"]), ["new", "mid", "old"]);
}

#[test]
fn resumed_stream_waits_for_fresh_requests_for_a_limited_time() {
    for (wait, expected) in [(0, ["fresh", "back"]), (2 * SECOND, ["back", "fresh"])] {
        let mut node = node_without_capacity();
        node.request_arrived(Request { resumed: true, ..request("back", 0, 10) });
        node.now += wait;
        node.request_arrived(request("fresh", 0, 11));
        free_capacity(&mut node);
        assert_eq!(order_sent(&node, &["back", "fresh"]), expected);
    }
}

#[test]
fn retry_of_rejected_prompt_goes_behind_fresh_requests() {
    let mut node = node_without_capacity();
    node.request_arrived(request("try", 0, 10));
    node.now += 1_000 * MS;
    node.dispatch_pending();
    assert!(matches!(node.final_answers[&id("try")], Action::Reject(..)));
    node.attempt_ended("way", Outcome::Read);
    node.attempt_ended("way", Outcome::Overloaded);
    node.request_arrived(request("next", 0, 3));
    node.now += 60 * MS;
    // The client sends it again. Its objective has almost passed by now, so without capacity it is rejected at
    // once.
    node.request_arrived(request("again", 0, 10));
    assert!(matches!(node.final_answers[&id("again")], Action::Reject(..)));
    node.request_arrived(request("fresh", 0, 11));
    assert!(!node.final_answers.contains_key(&id("fresh")));
}

#[test]
fn attempts_at_failed_engine_take_no_capacity() {
    let endpoints = vec![endpoint("r1", "far", 2), endpoint("w1", "near", 1)];
    let mut node = Node::new(Settings { cancellation_allowed: false, ..settings() }, endpoints);
    for i in 0..5 {
        node.request_arrived(request(&format!("hung{i}"), 0, i));
    }
    node.update_endpoints(ListUpdate::Delta, vec![endpoint("r2", "near", 1)]);
    node.attempt_ended("hung0", Outcome::ConnectionBroken);
    for i in 0..4 {
        let name = format!("next{i}");
        node.request_arrived(request(&name, 0, 20 + i));
        assert_eq!(node.engine_of(&name), Some("r2"));
    }
}

#[test]
fn every_sign_of_an_overloaded_writer_delays_reads() {
    let signs: [fn(&mut Node); 4] = [
        |node| report(node, "w1", 0.5),
        |node| report(node, "w1", 0.95),
        |node| {
            node.handle(Event::HealthChecked(engine("w1"), false, None));
        },
        |node| {
            node.request_arrived(request("stalls", 0, 9));
            node.attempt_ended("stalls", Outcome::Read);
            node.now += 400 * MS;
        },
    ];
    for (number, sign) in signs.iter().enumerate() {
        let mut node = Node::new(settings(), pair());
        sign(&mut node);
        node.request_arrived(request("a", 0, 1));
        node.request_arrived(request("b", 0, 2));
        let delayed = node.engine_of("a").is_none() || node.engine_of("b").is_none();
        assert_eq!(delayed, number > 0, "sign {number}");
    }
}

#[test]
fn failed_attempts_do_not_lower_in_flight_limit() {
    let mut node = Node::new(settings(), fleet());
    for i in 0..12 {
        let name = format!("late{i}");
        node.request_arrived(request(&name, 0, i));
        node.now += 3 * SECOND;
        node.attempt_ended(&name, Outcome::TimedOut);
        serve(&mut node, &name);
        node.now += 30 * SECOND;
    }
    for i in 0..12 {
        node.request_arrived(request(&format!("burst{i}"), 0, 100 + i));
    }
    let sent = (0..12).filter(|i| node.engine_of(&format!("burst{i}")).is_some()).count();
    assert_eq!(sent, 12);
}

#[test]
fn late_first_tokens_lower_limit_of_one_of_many_nodes() {
    let mut node = Node::new(Settings { node_count: 100, ..settings() }, fleet());
    let serve_after = |node: &mut Node, name: &str, after: Micros| {
        node.request_arrived(request(name, 0, 7));
        let sent = node.engine_of(name).is_some();
        node.now += after;
        if sent {
            node.attempt_ended(name, Outcome::Read);
            node.first_token(name);
            node.attempt_ended(name, Outcome::Served);
        }
        sent
    };
    for i in 0..20 {
        serve_after(&mut node, &format!("late{i}"), 3 * SECOND);
    }
    let sent = (0..6).filter(|i| serve_after(&mut node, &format!("b{i}"), 10 * MS)).count();
    assert!(sent <= 1, "{sent} requests started after late first tokens");
    // With first tokens on target again, the node starts more requests.
    for i in 0..20 {
        serve_after(&mut node, &format!("good{i}"), 90 * MS);
        node.now += 20 * SECOND;
    }
    let sent = (0..6).filter(|i| serve_after(&mut node, &format!("c{i}"), 10 * MS)).count();
    assert!(sent >= 5, "{sent} requests started after first tokens on target");
}

#[test]
fn timeouts_lower_limit_of_one_of_many_nodes() {
    for (nodes, delayed) in [(2, false), (100, true)] {
        let mut node = Node::new(Settings { node_count: nodes, ..settings() }, fleet());
        for i in 0..12 {
            let name = format!("out{i}");
            node.request_arrived(request(&name, 0, i));
            while node.has_attempt_in_flight(&id(&name)) {
                node.now += SECOND;
                node.attempt_ended(&name, Outcome::TimedOut);
            }
            node.now += 20 * SECOND;
        }
        for i in 0..8 {
            node.request_arrived(request(&format!("burst{i}"), 0, 100 + i));
        }
        let sent = (0..8).filter(|i| node.engine_of(&format!("burst{i}")).is_some()).count();
        assert_eq!(sent < 4, delayed, "{sent} of 8 started by one of {nodes} nodes");
    }
}
