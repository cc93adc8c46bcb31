//! The mapping from responses and transport errors to an [`Outcome`].
//!
//! | event | outcome | may have run |
//! | --- | --- | --- |
//! | a complete answer | `Served`, or `Read` for a read | yes |
//! | status 409 of type `no_state` | `StateNotFound` | no |
//! | status 429, or any error for which the engine guarantees that the request did not run | `Overloaded` | no |
//! | any other status | `Error` | yes |
//! | no connection was established | `Unreachable` | no |
//! | the connection ended, or the response was invalid, after the first byte was sent | `ConnectionBroken` | yes |
//! | the timeout expired after the first byte was sent | `TimedOut` | yes |
//! | the attempt was cancelled | `Cancelled` | yes |

#[cfg(test)]
mod tests;

use std::io;

use pintally::interface::Outcome;

/// The progress of an attempt when a transport error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No byte of the request has been sent.
    Connecting,
    /// Part of the request may have arrived at the engine.
    Sent,
}

/// The outcome of an error response. `no_state` is whether its type is `no_state`; `not_run` is whether the engine
/// guarantees that the request did not run.
pub fn outcome_of_status(status: u16, no_state: bool, not_run: bool) -> Outcome {
    match status {
        409 if no_state => Outcome::StateNotFound,
        429 => Outcome::Overloaded,
        _ if not_run => Outcome::Overloaded,
        _ => Outcome::Error,
    }
}

/// The outcome of a transport error.
pub fn outcome_of_transport_error(phase: Phase, kind: io::ErrorKind) -> Outcome {
    match (phase, kind) {
        (Phase::Connecting, _) => Outcome::Unreachable,
        (Phase::Sent, io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock) => Outcome::TimedOut,
        (Phase::Sent, _) => Outcome::ConnectionBroken,
    }
}
