//! The table of outcomes, row by row.

use super::*;

/// Guards against an unsafe request being sent again on an answer that proves nothing.
#[test]
fn every_row_of_the_table() {
    assert_eq!(of_answer(200, false), Outcome::Served);
    assert_eq!(of_answer(202, false), Outcome::Read);
    assert_eq!(of_answer(410, true), Outcome::StateNotFound);
    assert_eq!(of_answer(410, false), Outcome::Error);
    assert_eq!(of_answer(503, true), Outcome::Overloaded);
    assert_eq!(of_answer(504, true), Outcome::Overloaded);
    assert_eq!(of_answer(503, false), Outcome::Error);
    assert_eq!(of_answer(500, false), Outcome::Error);
    assert_eq!(of_answer(404, false), Outcome::Error);
    assert_eq!(of_transport(Phase::Unwritten, false), Outcome::Unreachable);
    assert_eq!(of_transport(Phase::Unwritten, true), Outcome::Unreachable);
    assert_eq!(of_transport(Phase::Written, false), Outcome::ConnectionBroken);
    assert_eq!(of_transport(Phase::Written, true), Outcome::TimedOut);
}
