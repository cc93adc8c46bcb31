//! The one table from what came back to an [`Outcome`].
//!
//! | what came back | outcome | may have run |
//! | --- | --- | --- |
//! | a complete answer | `Served`, or `Read` for a read | yes |
//! | 409 of type `no_state` | `NoState` | no |
//! | 429, or any error on which the engine vouches that nothing ran | `Full` | no |
//! | any other status | `Error` | yes |
//! | no connection in time | `Unreachable` | no |
//! | the connection ended, or not a sound answer, after the first byte went out | `Broken` | yes |
//! | the time-out ran out | `TimedOut` | yes |
//! | called off | `Cancelled` | yes |

#[cfg(test)]
mod tests;

use std::io;

use pintally::interface::Outcome;

/// How far an attempt had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No byte of it has been sent.
    Connecting,
    /// Some of it may have arrived.
    Sent,
}

/// The outcome of an error response: its type is `no_state`, or the engine vouches that nothing ran.
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
