//! The bounded-load cap and where a read spills to.

use crate::common::*;
use crate::fixtures::{fleet, key_of, report, serve, session_of};
use pintally::interface::*;

#[test]
fn reads_over_cap_spill_along_the_ring() {
    let mut node = Node::new(settings(), fleet());
    // One key, an unseen prompt each time: a second whole prompt is over the replica's cap.
    let unread =
        |name: &str, session| Request { prefix: Some(5), prefix_tokens: 1, ..request(name, 0, session) };
    node.request_arrived(unread("a", 1));
    node.request_arrived(unread("b", 2));
    let (first, second) =
        (node.engine_of("a").unwrap().to_string(), node.engine_of("b").unwrap().to_string());
    assert_ne!(first, second);
    // Without the preferred replica the next of the ring is preferred: the spill followed the ring.
    let rest = fleet().into_iter().filter(|m| *m.engine.0 != *first).collect();
    let mut other = Node::new(settings(), rest);
    other.request_arrived(unread("a", 1));
    assert_eq!(other.engine_of("a"), Some(second.as_str()));
}

#[test]
fn cached_tokens_do_not_count_against_cap() {
    let mut node = Node::new(settings(), fleet());
    node.request_arrived(request("a", 0, 1));
    let preferred = node.engine_of("a").unwrap().to_string();
    serve(&mut node, "a");
    // Both are read but for a few tokens; together they stay under one whole prompt.
    node.request_arrived(request("b", 0, 1));
    node.request_arrived(request("c", 0, 1));
    assert_eq!(
        (node.engine_of("b"), node.engine_of("c")),
        (Some(preferred.as_str()), Some(preferred.as_str()))
    );
}

#[test]
fn no_spill_where_whole_prompt_would_be_read_later() {
    let endpoints = vec![endpoint("r1", "near", 1), endpoint("r2", "near", 1), endpoint("w1", "near", 1)];
    let mut node = Node::new(settings(), endpoints);
    let turn = |name: &str, tokens| Request { prompt_tokens: tokens, ..request(name, 0, 1) };
    node.request_arrived(turn("a", 4_000));
    let preferred = node.engine_of("a").unwrap().to_string();
    serve(&mut node, "a");
    // The next turns add little: a queue of three of them is shorter than the whole prompt elsewhere.
    for (i, name) in ["b", "c", "d"].iter().enumerate() {
        node.request_arrived(turn(name, 4_400 + 400 * i as u64));
        assert_eq!(node.engine_of(name), Some(preferred.as_str()));
    }
}

#[test]
fn no_spill_to_longer_queue() {
    let endpoints = vec![endpoint("r1", "near", 1), endpoint("r2", "near", 1), endpoint("w1", "near", 1)];
    let (one, two) = (session_of("r1", &endpoints), session_of("r2", &endpoints));
    let mut node = Node::new(settings(), endpoints);
    let sized = |name: &str, session, tokens| Request { prompt_tokens: tokens, ..request(name, 0, session) };
    node.request_arrived(sized("a", one, 3_900));
    serve(&mut node, "a");
    // The preferred replica's queue is over its cap, but the other's, with the whole prompt to read, is longer.
    let key = |session, name: &str, tokens| Request { prefix: Some(session), ..sized(name, 5_000, tokens) };
    node.request_arrived(key(one, "long", 5_000));
    node.request_arrived(key(two, "other", 3_000));
    assert_eq!((node.engine_of("long"), node.engine_of("other")), (Some("r1"), Some("r2")));
    node.request_arrived(sized("b", one, 4_000));
    assert_eq!(node.engine_of("b"), Some("r1"));
}

/// Guards against a queue of seconds that is forgotten after half a second: one of many nodes gets a report
/// of a reader every ten seconds or so, and until then sends to its replicas as if they were idle.
#[test]
fn reported_queue_drains_no_faster_than_fastest_read() {
    let endpoints = vec![endpoint("r1", "near", 1), endpoint("r2", "near", 1), endpoint("w1", "near", 1)];
    let session = session_of("r1", &endpoints);
    for (waited, expected) in [(5 * SECOND, "r2"), (8 * SECOND, "r1")] {
        let mut node = Node::new(Settings { node_count: 100, ..settings() }, endpoints.clone());
        // 2,000 tokens in 150 ms: 13,333 a second.
        node.request_arrived(request("usual", 0, 900));
        node.now += 100 * MS;
        serve(&mut node, "usual");
        let load = LoadReport { backlog: Some(100.0), ..LoadReport::default() };
        node.handle(Event::HealthChecked(engine("r1"), true, Some(load)));
        node.now += waited;
        node.request_arrived(request("a", 0, session));
        assert_eq!(node.engine_of("a"), Some(expected), "{waited} us after 100,000 tokens were reported");
    }
}

#[test]
fn replica_behind_slow_link_with_few_writers_is_skipped() {
    // Guards against a hot prefix whose states cannot leave its rack: reading it there goes on working.
    let mut endpoints = vec![endpoint("w1", "near", 1), endpoint("r9", "near", 2)];
    endpoints.extend((1..=3).map(|i| endpoint(&format!("r{i}"), "near", 1)));
    endpoints.extend((2..=6).map(|i| endpoint(&format!("w{i}"), "near", 2)));
    let near = ["r1", "r2", "r3"];
    let shared =
        |name: &str, key| Request { prefix: Some(key), prefix_tokens: 1_500, ..request(name, 0, key) };
    for (took, passed) in [(50 * MS, false), (1_500 * MS, true)] {
        let mut node =
            Node::new(Settings { load_reporting: LoadReporting::Off, ..settings() }, endpoints.clone());
        // A replica in the rack with few writers, and what its states take over the link.
        let key = key_of(&near, &endpoints, |key| shared("x", key));
        let (mut first, mut last) = (String::new(), String::new());
        for i in 0..60 {
            let name = format!("q{i}");
            node.request_arrived(shared(&name, key));
            last = node.engine_of(&name).unwrap().to_string();
            first = if i == 0 { last.clone() } else { first };
            node.now += 10 * MS;
            node.attempt_ended(&name, Outcome::Read);
            let far = near.contains(&last.as_str()) && node.engine_of(&name) != Some("w1");
            node.now += if far { took } else { 50 * MS };
            node.first_token(&name);
            node.attempt_ended(&name, Outcome::Served);
        }
        assert!(near.contains(&first.as_str()));
        assert_eq!(!near.contains(&last.as_str()), passed, "{took} us: first {first}, last {last}");
        // Nor may the reader that is left drown: on sockets two of five had 145,000 tokens queued while three
        // stood idle. What finds it over its cap is read before the slow link after all.
        for i in 0..20 {
            let name = format!("p{i}");
            node.request_arrived(Request { session: 1_000 + i, ..shared(&name, key) });
        }
        let spread =
            (0..20).filter(|i| node.engine_of(&format!("p{i}")).is_some_and(|at| near.contains(&at))).count();
        assert!(spread > 0, "{took} us: all at the one reader behind the sound link");
    }
}

#[test]
fn busy_mixed_engine_reads_only_mostly_cached_prompts() {
    let endpoints = vec![endpoint("r1", "near", 1), endpoint("w1", "near", 1), endpoint("m1", "near", 1)];
    let session = session_of("m1", &endpoints);
    let mut node = Node::new(settings(), endpoints);
    node.request_arrived(request("a", 0, session));
    assert_eq!(node.engine_of("a"), Some("m1"));
    node.first_token("a");
    node.attempt_ended("a", Outcome::Served);
    report(&mut node, "m1", 0.5);
    node.request_arrived(Request { prompt_tokens: 2_100, ..request("b", 0, session) });
    assert_eq!(node.engine_of("b"), Some("m1"), "it holds most of the session");
    let unseen = Request { prefix: Some(session), ..request("c", 0, 5_000) };
    node.request_arrived(unseen);
    assert_eq!(node.engine_of("c"), Some("r1"));
}
