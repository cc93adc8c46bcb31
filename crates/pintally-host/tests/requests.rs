//! Duplicate request names, and outcomes that do not match the step of an attempt.

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

/// Guards against recording a reservation at a writer that wrongly reports a read.
#[test]
fn read_reported_by_writer_is_an_error() {
    let (mut node, first) = TestNode::with_reservation(&["r0", "w0", "w1"]);
    node.end(&first, Outcome::Read);
    let second = node.last_attempt();
    assert_eq!(&second.engine.0[..1], "w");
    assert_ne!(
        second.engine, first.engine,
        "the state is still at the reader, and another writer fetches it"
    );
}
