//! Each row of the table of outcomes.

use super::*;

/// Guards against a retry of a request that is not idempotent after a response that does not confirm that
/// nothing ran.
#[test]
fn outcome_table() {
    assert_eq!(outcome_of_response(200, false), Outcome::Served);
    assert_eq!(outcome_of_response(202, false), Outcome::Read);
    assert_eq!(outcome_of_response(410, true), Outcome::StateNotFound);
    assert_eq!(outcome_of_response(410, false), Outcome::Error);
    assert_eq!(outcome_of_response(503, true), Outcome::Overloaded);
    assert_eq!(outcome_of_response(504, true), Outcome::Overloaded);
    assert_eq!(outcome_of_response(503, false), Outcome::Error);
    assert_eq!(outcome_of_response(500, false), Outcome::Error);
    assert_eq!(outcome_of_response(404, false), Outcome::Error);
    assert_eq!(outcome_of_failure(Phase::Unwritten, false), Outcome::Unreachable);
    assert_eq!(outcome_of_failure(Phase::Unwritten, true), Outcome::Unreachable);
    assert_eq!(outcome_of_failure(Phase::Written, false), Outcome::ConnectionBroken);
    assert_eq!(outcome_of_failure(Phase::Written, true), Outcome::TimedOut);
}
