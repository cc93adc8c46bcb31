//! Request names and outcomes that do not match the step of an attempt.

mod common;

use common::TestNode;
use pintally::interface::*;
use pintally_host::{Command, FinalAnswer};

#[test]
fn request_with_a_name_in_use_is_rejected() {
    let mut node = TestNode::new(&["r0", "w0"]);
    node.arrive(1, "x");
    let read = node.last_attempt();
    node.arrive(2, "x");
    assert!(node.out.iter().any(|c| matches!(c, Command::Answer(2, FinalAnswer::Rejected(_)))));
    node.end(&read, Outcome::Read);
    assert_eq!((node.last_attempt().number, &*node.last_attempt().engine.0), (1, "w0"));
    assert!(node.host.is_request_open(&RequestId("x".into())));
}

/// Guards against taking a writer's report of a read for a reservation at the writer.
#[test]
fn writer_that_reports_a_read_has_failed() {
    let (mut node, first) = TestNode::with_reservation(&["r0", "w0", "w1"]);
    node.end(&first, Outcome::Read);
    let second = node.last_attempt();
    assert_eq!(&second.engine.0[..1], "w");
    assert_ne!(second.engine, first.engine, "the state is still the reader's, and another writer fetches it");
}
