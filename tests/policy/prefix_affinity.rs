//! Prefix affinity and the hash ring.

use std::collections::BTreeSet;

use crate::common::*;
use crate::fixtures::{fleet, serve, session_of};
use pintally::interface::*;

#[test]
fn preferred_replica_does_not_depend_on_node_or_list_order() {
    for session in 0..50 {
        let mut one = Node::new(settings(), fleet());
        let mut other_list = fleet();
        other_list.reverse();
        let mut other = Node::new(Settings { zone: "far".into(), ..settings() }, other_list);
        one.request_arrived(request("a", 0, session));
        other.request_arrived(request("a", 0, session));
        assert_eq!(one.engine_of("a"), other.engine_of("a"));
    }
}

#[test]
fn preferred_replicas_spread_over_readers() {
    let replicas: std::collections::BTreeSet<String> = (0..60)
        .map(|session| {
            let mut node = Node::new(settings(), fleet());
            node.request_arrived(request("a", 0, session));
            node.engine_of("a").unwrap().to_string()
        })
        .collect();
    assert_eq!(replicas.len(), 4);
}

#[test]
fn session_returns_to_reader_with_cached_prompt() {
    let mut node = Node::new(settings(), fleet());
    node.request_arrived(request("a", 0, 1));
    let first = node.engine_of("a").unwrap().to_string();
    // The preferred replica rejects the prompt, so that it is cached at another reader.
    node.attempt_ended("a", Outcome::Overloaded);
    let second = node.engine_of("a").unwrap().to_string();
    assert_ne!(first, second);
    serve(&mut node, "a");
    node.now += SECOND;
    node.request_arrived(request("b", 0, 1));
    assert_eq!(node.engine_of("b"), Some(second.as_str()));
}

#[test]
fn shared_prefix_attracts_other_sessions() {
    let shared =
        |name: &str, session| Request { prefix: Some(99), prefix_tokens: 1_500, ..request(name, 0, session) };
    let mut node = Node::new(settings(), fleet());
    node.request_arrived(shared("a", 1));
    let preferred = node.engine_of("a").unwrap().to_string();
    serve(&mut node, "a");
    for (i, name) in ["b", "c", "d"].iter().enumerate() {
        node.request_arrived(shared(name, 10 + i as u64));
        assert_eq!(node.engine_of(name), Some(preferred.as_str()));
        serve(&mut node, name);
    }
}

#[test]
fn affinity_table_decays() {
    let mut node = Node::new(settings(), fleet());
    node.request_arrived(request("a", 0, 1));
    let preferred = node.engine_of("a").unwrap().to_string();
    node.attempt_ended("a", Outcome::Overloaded);
    let holder = node.engine_of("a").unwrap().to_string();
    serve(&mut node, "a");
    node.now += 30 * SECOND;
    node.request_arrived(request("b", 0, 1));
    assert_eq!(node.engine_of("b"), Some(holder.as_str()));
    serve(&mut node, "b");
    node.now += 600 * SECOND;
    node.request_arrived(request("c", 0, 1));
    assert_eq!(node.engine_of("c"), Some(preferred.as_str()));
}

#[test]
fn restart_clears_affinity() {
    let mut node = Node::new(settings(), fleet());
    node.request_arrived(request("a", 0, 1));
    let preferred = node.engine_of("a").unwrap().to_string();
    node.attempt_ended("a", Outcome::Overloaded);
    let holder = node.engine_of("a").unwrap().to_string();
    serve(&mut node, "a");
    node.now += SECOND;
    let started = Some(node.now - 100 * MS);
    let restarted =
        fleet().into_iter().find(|m| *m.engine.0 == *holder).map(|m| Endpoint { started, ..m }).unwrap();
    node.update_endpoints(ListUpdate::Delta, vec![restarted]);
    node.request_arrived(request("b", 0, 1));
    assert_eq!(node.engine_of("b"), Some(preferred.as_str()));
}

#[test]
fn one_of_many_nodes_prefers_common_replica() {
    let endpoints = vec![endpoint("r1", "near", 1), endpoint("r2", "near", 1), endpoint("w1", "near", 1)];
    let key = session_of("r1", &endpoints);
    for (nodes, expected) in [(2, "r2"), (100, "r1")] {
        let shared = |name: &str, session| Request {
            prefix: Some(key),
            prefix_tokens: 1_500,
            ..request(name, 0, session)
        };
        let mut node = Node::new(Settings { node_count: nodes, ..settings() }, endpoints.clone());
        node.request_arrived(shared("a", 50));
        node.attempt_ended("a", Outcome::Overloaded);
        assert_eq!(node.engine_of("a"), Some("r2"));
        serve(&mut node, "a");
        node.now += 2 * SECOND;
        node.request_arrived(shared("b", 52));
        assert_eq!(node.engine_of("b"), Some(expected), "{nodes} nodes");
    }
}

/// Guards against replicas that differ from node to node because each has seen only a few requests: the turns of
/// a session come to many nodes, and each would have the prompt read again at another reader.
#[test]
fn many_nodes_agree_on_preferred_replica() {
    let names = ["r1", "r2", "r3", "r4", "w1", "w2", "w3", "w4"];
    let endpoints: Vec<Endpoint> = names.iter().map(|n| endpoint(n, "near", 1)).collect();
    let shared =
        |name: &str, session| Request { prefix: Some(7), prefix_tokens: 1_500, ..request(name, 0, session) };
    let mut replicas = BTreeSet::new();
    for session in 0..8 {
        let mut new_node = Node::new(Settings { node_count: 100, ..settings() }, endpoints.clone());
        let mut busy_node = Node::new(Settings { node_count: 100, ..settings() }, endpoints.clone());
        for n in 0..9 {
            let name = format!("seen{n}");
            busy_node.request_arrived(if n < 4 {
                shared(&name, 100 + n)
            } else {
                request(&name, 0, 100 + n)
            });
            busy_node.now += 60 * MS;
            busy_node.dispatch_pending();
            serve(&mut busy_node, &name);
            busy_node.now += SECOND;
        }
        busy_node.now += 10 * SECOND;
        new_node.request_arrived(shared("a", session));
        busy_node.request_arrived(shared("a", session));
        assert_eq!(new_node.engine_of("a"), busy_node.engine_of("a"), "session {session}");
        replicas.insert(new_node.engine_of("a").unwrap().to_string());
    }
    assert_eq!(replicas.len(), 2, "a prefix has two replicas: {replicas:?}");
}

#[test]
fn replicas_of_shared_prefixes_are_near_writers() {
    // Guards against states that all have to cross the one link of a rack without writers.
    let mut endpoints: Vec<Endpoint> = (1..=4).map(|i| endpoint(&format!("r{i}"), "near", i / 3)).collect();
    endpoints.extend((1..=4).map(|i| endpoint(&format!("w{i}"), "near", 0)));
    let (mut shared, mut unshared) = (0, 0);
    for key in 0..200 {
        let mut node = Node::new(settings(), endpoints.clone());
        node.request_arrived(Request { prefix: Some(key), prefix_tokens: 1_500, ..request("a", 0, key) });
        shared += usize::from(["r1", "r2"].contains(&node.engine_of("a").unwrap()));
        node.request_arrived(request("b", 0, 1_000 + key));
        unshared += usize::from(["r1", "r2"].contains(&node.engine_of("b").unwrap()));
    }
    assert!(shared > 190, "{shared} of 200 replicas of shared prefixes are in the rack with all writers");
    assert!(
        (10..=80).contains(&unshared),
        "{unshared} of 200 prompts without a shared prefix are read there"
    );
}

#[test]
fn hot_prefix_gets_more_replicas() {
    let mut endpoints = vec![];
    for i in 1..=8 {
        endpoints.push(endpoint(&format!("r{i}"), "near", i));
        endpoints.push(endpoint(&format!("w{i}"), "near", i));
    }
    let mut node = Node::new(Settings { node_count: 200, ..settings() }, endpoints);
    let mut replicas = [std::collections::BTreeSet::new(), Default::default()];
    for i in 0..120 {
        // Every third request has the hot prefix, two in a hundred the rare one.
        let prefix = if i % 3 == 0 {
            5
        } else if i % 50 == 1 {
            6
        } else {
            100 + i
        };
        let name = format!("q{i}");
        node.request_arrived(Request { prefix: Some(prefix), prefix_tokens: 1_900, ..request(&name, 0, i) });
        if prefix < 7 {
            replicas[prefix as usize - 5].insert(node.engine_of(&name).unwrap().to_string());
        }
        serve(&mut node, &name);
        node.now += 50 * MS;
    }
    assert!((2..=4).contains(&replicas[0].len()), "{replicas:?}");
    assert_eq!(replicas[1].len(), 1, "{replicas:?}");
}

/// Guards against memory that grows with the number of sessions, prefixes and rejected prompts.
#[test]
fn new_names_do_not_grow_tables_without_bound() {
    const REQUESTS: u64 = 100_000;
    const MAX_ENTRIES: usize = 1 << 15;
    let mut router = pintally::Router::new(settings(), 1);
    let mut actions = Vec::new();
    let mut now = SECOND;
    let mut handle = |event| {
        now += 10;
        actions.clear();
        router.handle(now, event, &mut actions);
    };
    handle(Event::EndpointList(ListUpdate::Full, fleet()));
    for n in 0..REQUESTS {
        let id = id(&format!("n{n}"));
        handle(Event::RequestArrived(Request { id: id.clone(), prefix: Some(n + 1), ..request("", 0, n) }));
        // Every second request ends with a rejection.
        handle(if n % 2 == 0 { Event::Shed(id.clone()) } else { Event::ClientLeft(id.clone()) });
        handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: 0,
            outcome: Outcome::Cancelled,
            is_final: true,
            cached_tokens: 0,
            load: None,
        }));
        if n % 1_000 == 0 {
            handle(Event::TimerFired(Timer::Maintenance));
        }
    }
    let sizes = router.table_sizes();
    for entries in [sizes.prefixes, sizes.prefix_arrivals, sizes.rejected_prompts] {
        assert!((1..=MAX_ENTRIES).contains(&entries), "{sizes:?}");
    }
}
