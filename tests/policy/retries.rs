//! Retries: which requests may be sent again without a second effect.

use crate::common::*;
use crate::fixtures::fleet;
use pintally::interface::*;

#[test]
fn non_idempotent_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::ConnectionBroken, Outcome::TimedOut, Outcome::Cancelled] {
        let mut node = Node::new(settings(), fleet());
        node.request_arrived(request("a", 1, 1));
        node.attempt_ended("a", Outcome::Read);
        let actions = node.attempt_ended("a", outcome);
        assert!(actions.contains(&Action::Fail(id("a"))), "{outcome:?}");
        assert!(actions.contains(&Action::Release(id("a"))));
    }
}

#[test]
fn non_idempotent_request_that_never_ran_is_retried() {
    for outcome in [Outcome::Overloaded, Outcome::Unreachable] {
        let mut node = Node::new(settings(), fleet());
        node.request_arrived(request("a", 1, 1));
        node.attempt_ended("a", Outcome::Read);
        let first = node.engine_of("a").unwrap().to_string();
        node.attempt_ended("a", outcome);
        assert_ne!(node.engine_of("a"), Some(first.as_str()));
        assert_eq!(node.attempts[&id("a")].len(), 3);
    }
}

#[test]
fn broken_read_is_retried_at_same_reader_then_elsewhere() {
    let mut node = Node::new(settings(), fleet());
    node.request_arrived(request("a", 1, 1));
    let first = node.engine_of("a").unwrap().to_string();
    // Perhaps only the answer was lost: the reader has most likely read the prompt.
    node.attempt_ended("a", Outcome::ConnectionBroken);
    assert!(node.final_answers.is_empty());
    assert_eq!(node.engine_of("a"), Some(first.as_str()));
    node.attempt_ended("a", Outcome::ConnectionBroken);
    assert!(node.final_answers.is_empty());
    assert_ne!(node.engine_of("a"), Some(first.as_str()));
}

#[test]
fn attempt_at_mixed_engine_may_have_run() {
    let endpoints = vec![endpoint("m1", "near", 1), endpoint("m2", "near", 1)];
    let mut node = Node::new(settings(), endpoints);
    node.request_arrived(request("a", 1, 1));
    node.attempt_ended("a", Outcome::ConnectionBroken);
    assert_eq!(node.final_answers[&id("a")], Action::Fail(id("a")));
}

#[test]
fn request_with_key_is_retried_in_scope_and_window() {
    let endpoints = vec![endpoint("m1", "near", 1), endpoint("m2", "near", 1), endpoint("m3", "near", 2)];
    for session in 0..20 {
        let mut node = Node::new(settings(), endpoints.clone());
        let name = format!("k{session}");
        node.request_arrived(request(&name, 2, session));
        let first = node.engine_of(&name).unwrap().to_string();
        node.attempt_ended(&name, Outcome::ConnectionBroken);
        match first.as_str() {
            "m3" => assert_eq!(node.engine_of(&name), Some("m3"), "the only engine in its scope"),
            _ => assert_ne!(node.engine_of(&name), Some("m3")),
        }
        if node.has_attempt_in_flight(&id(&name)) {
            node.now += 3 * SECOND;
            node.attempt_ended(&name, Outcome::Unreachable);
            assert_eq!(node.final_answers[&id(&name)], Action::Fail(id(&name)), "the window has passed");
        }
    }
}

/// Guards against a repeat that is sent within the window but arrives at its engine after it, because the
/// connection took long.
#[test]
fn retry_with_key_leaves_time_to_connect_inside_window() {
    for (connect_timeout, repeated) in [(0, true), (250 * MS, false)] {
        let endpoints = vec![endpoint("m1", "near", 1), endpoint("m2", "near", 1)];
        let mut node = Node::new(Settings { connect_timeout, ..settings() }, endpoints);
        node.request_arrived(request("k", 2, 1));
        // The window is 2 s, counted from the first send.
        node.now += 1_800 * MS;
        node.attempt_ended("k", Outcome::ConnectionBroken);
        assert_eq!(node.has_attempt_in_flight(&id("k")), repeated, "{connect_timeout} us to connect");
    }
}

#[test]
fn attempts_are_limited() {
    let mut node = Node::new(Settings { max_attempts: 3, ..settings() }, fleet());
    node.request_arrived(request("a", 0, 1));
    for _ in 0..3 {
        if node.has_attempt_in_flight(&id("a")) {
            node.attempt_ended("a", Outcome::ConnectionBroken);
        }
    }
    assert!(node.attempts[&id("a")].len() <= 3);
    assert!(node.final_answers.contains_key(&id("a")));
}

#[test]
fn lost_answer_is_read_again_where_writers_read_prompts() {
    // The state may have been fetched already, and another writer would then read the whole prompt between the
    // steps of its other answers.
    let endpoints = vec![endpoint("r1", "near", 1), endpoint("w1", "near", 1), endpoint("w2", "near", 1)];
    for (writers_read_prompts, outcome, next) in [
        (true, Outcome::TimedOut, "r1"),
        (true, Outcome::ConnectionBroken, "r1"),
        (true, Outcome::Unreachable, "w"),
        (false, Outcome::TimedOut, "w"),
    ] {
        let mut node = Node::new(Settings { writers_read_prompts, ..settings() }, endpoints.clone());
        node.request_arrived(request("a", 0, 1));
        node.attempt_ended("a", Outcome::Read);
        let actions = node.attempt_ended("a", outcome);
        assert!(node.engine_of("a").unwrap().starts_with(next), "{outcome:?}");
        assert_eq!(actions.contains(&Action::Release(id("a"))), next == "r1");
    }
}
