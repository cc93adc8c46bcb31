//! The usual path of a request, its single final answer and the release of its state.

use crate::common::*;
use crate::fixtures::{fleet, pair};
use pintally::interface::*;

#[test]
fn request_is_read_then_written() {
    let mut node = Node::new(settings(), pair());
    node.request_arrived(request("a", 0, 1));
    assert_eq!(node.engine_of("a"), Some("r1"));
    node.attempt_ended("a", Outcome::Read);
    assert_eq!(node.engine_of("a"), Some("w1"));
    node.first_token("a");
    node.attempt_ended("a", Outcome::Served);
    assert!(node.final_answers.is_empty());
}

#[test]
fn mixed_engine_serves_in_one_attempt() {
    let mut node = Node::new(settings(), vec![endpoint("m1", "near", 1)]);
    node.request_arrived(request("a", 0, 1));
    assert_eq!(node.engine_of("a"), Some("m1"));
    node.first_token("a");
    node.attempt_ended("a", Outcome::Served);
    assert_eq!(node.attempts[&id("a")].len(), 1);
}

#[test]
fn without_engines_every_request_is_rejected_in_time() {
    let mut node = Node::new(settings(), vec![]);
    let without_class = Request { class: None, ..request("odd", 0, 3) };
    node.request_arrived(request("a", 0, 1));
    node.request_arrived(request("b", 1, 2));
    node.request_arrived(without_class);
    node.now += 3 * SECOND;
    node.dispatch_pending();
    assert_eq!(node.final_answers.len(), 3);
}

#[test]
fn timeout_at_the_deadline_is_answered() {
    let mut node = Node::new(settings(), pair());
    node.request_arrived(request("a", 0, 1));
    node.attempt_ended("a", Outcome::Read);
    node.now = node.deadline(&id("a")) + 4 * MS;
    node.attempt_ended("a", Outcome::TimedOut);
    assert!(matches!(node.final_answers[&id("a")], Action::Reject(..)));
}

#[test]
fn events_of_unknown_requests_only_release_read_states() {
    let mut node = Node::new(settings(), pair());
    let ended = |outcome| {
        Event::AttemptEnded(AttemptEnd {
            id: id("ghost"),
            attempt: 3,
            outcome,
            is_final: false,
            cached_tokens: 0,
            load: None,
        })
    };
    assert!(node.handle(Event::FirstToken(id("ghost"), 0)).is_empty());
    assert!(node.handle(Event::ClientLeft(id("ghost"))).is_empty());
    assert!(node.handle(ended(Outcome::ConnectionBroken)).is_empty());
    assert!(node.handle(Event::HealthChecked(engine("nobody"), true, None)).is_empty());
    assert_eq!(node.handle(ended(Outcome::Read)), vec![Action::Release(id("ghost"))]);
}

#[test]
fn rejection_has_retry_after_only_where_allowed() {
    for honoured in [false, true] {
        let mut node = Node::new(Settings { clients_honour_retry_after: honoured, ..settings() }, vec![]);
        node.request_arrived(request("a", 0, 1));
        node.now += 2 * SECOND;
        node.dispatch_pending();
        let Action::Reject(_, retry_after) = &node.final_answers[&id("a")] else { panic!("not rejected") };
        assert_eq!(retry_after.is_some(), honoured);
        assert!(retry_after.is_none_or(|p| p > 0 && p <= node.settings.max_retry_after));
    }
}

#[test]
fn state_is_released_when_request_is_rejected_or_abandoned() {
    let mut node = Node::new(settings(), pair());
    node.request_arrived(request("a", 0, 1));
    node.attempt_ended("a", Outcome::Read);
    assert!(node.attempt_ended("a", Outcome::Overloaded).contains(&Action::Release(id("a"))));
    node.request_arrived(request("b", 0, 2));
    node.now += 10 * MS;
    let actions = node.client_left("b");
    assert!(actions.contains(&Action::Cancel(id("b"), 0)));
    assert!(node.attempt_ended("b", Outcome::Read).contains(&Action::Release(id("b"))));
}

#[test]
fn unfetchable_state_is_released_at_once_and_at_end() {
    let mut node = Node::new(settings(), fleet());
    node.request_arrived(request("a", 0, 1));
    node.attempt_ended("a", Outcome::Read);
    assert!(node.attempt_ended("a", Outcome::StateNotFound).contains(&Action::Release(id("a"))));
    // The prompt is read again. Whatever the outcome, the end of the request releases once more.
    node.now = node.deadline(&id("a")) + MS;
    assert!(node.attempt_ended("a", Outcome::TimedOut).contains(&Action::Release(id("a"))));
}
