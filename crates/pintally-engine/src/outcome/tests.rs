//! Outcomes of status codes and of transport errors.

use super::*;

/// Guards against the retry of a request that is not idempotent after a response that does not prove that the
/// request did not run.
#[test]
fn not_run_requires_proof() {
    assert_eq!(outcome_of_status(409, true, false), Outcome::StateNotFound);
    assert_eq!(outcome_of_status(409, false, false), Outcome::Error);
    assert_eq!(outcome_of_status(503, false, false), Outcome::Error);
    assert_eq!(outcome_of_status(503, false, true), Outcome::Overloaded);
    assert_eq!(outcome_of_status(429, false, false), Outcome::Overloaded);
    for kind in [io::ErrorKind::ConnectionRefused, io::ErrorKind::ConnectionReset, io::ErrorKind::TimedOut] {
        assert_eq!(outcome_of_transport_error(Phase::Connecting, kind), Outcome::Unreachable);
    }
    assert_eq!(
        outcome_of_transport_error(Phase::Sent, io::ErrorKind::ConnectionReset),
        Outcome::ConnectionBroken
    );
    assert_eq!(outcome_of_transport_error(Phase::Sent, io::ErrorKind::TimedOut), Outcome::TimedOut);
}
