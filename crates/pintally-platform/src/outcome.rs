//! The only mapping from the result of an attempt to an [`Outcome`].
//!
//! | result of the attempt | outcome | may have run |
//! | --- | --- | --- |
//! | 200 and events to the last chunk | `Served` | yes |
//! | 202 | `Read` | no |
//! | 410 with the engine's confirmation that it was rejected | `StateNotFound` | no |
//! | any other status with that confirmation | `Overloaded` | no |
//! | any other status | `Error` | yes |
//! | no connection, or it closed before the request's last byte was written | `Unreachable` | no |
//! | the connection closed, or the response is invalid, after that | `ConnectionBroken` | yes |
//! | timeout before the request's last byte was written | `Unreachable` | no |
//! | timeout after that | `TimedOut` | yes |

use pintally::interface::Outcome;

/// Whether the request of an attempt was sent completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The request's last byte has not been written.
    Unwritten,
    /// The request's last byte has been written.
    Written,
}

/// The outcome of a complete response; `rejected` is the engine's confirmation that nothing ran.
pub fn outcome_of_response(status: u16, rejected: bool) -> Outcome {
    match (status, rejected) {
        (200, false) => Outcome::Served,
        (202, false) => Outcome::Read,
        (410, true) => Outcome::StateNotFound,
        (_, true) => Outcome::Overloaded,
        _ => Outcome::Error,
    }
}

/// The outcome of an attempt without a complete response: the connection failed, or it timed out.
pub fn outcome_of_failure(phase: Phase, timed_out: bool) -> Outcome {
    match (phase, timed_out) {
        (Phase::Unwritten, _) => Outcome::Unreachable,
        (Phase::Written, true) => Outcome::TimedOut,
        (Phase::Written, false) => Outcome::ConnectionBroken,
    }
}

#[cfg(test)]
mod tests;
