//! The one table from what came back to an [`Outcome`].
//!
//! | what came back | outcome | may have run |
//! | --- | --- | --- |
//! | a whole answer | `Served`, or `Read` for a read | yes |
//! | 409 of type `no_state` | `NoState` | no |
//! | 429, or any error on which the engine vouches that nothing ran | `Full` | no |
//! | any other status | `Error` | yes |
//! | no connection in time | `Unreachable` | no |
//! | the connection ended, or not a sound answer, after the first byte went out | `Broken` | yes |
//! | the time-out ran out | `TimedOut` | yes |
//! | called off | `Cancelled` | yes |

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

/// The outcome of an answer that is an error.
pub fn of_status(status: u16, no_state: bool, vouched: bool) -> Outcome {
    match status {
        409 if no_state => Outcome::StateNotFound,
        429 => Outcome::Overloaded,
        _ if vouched => Outcome::Overloaded,
        _ => Outcome::Error,
    }
}

/// The outcome of an error of the transport.
pub fn of_transport(phase: Phase, kind: io::ErrorKind) -> Outcome {
    match (phase, kind) {
        (Phase::Connecting, _) => Outcome::Unreachable,
        (Phase::Sent, io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock) => Outcome::TimedOut,
        (Phase::Sent, _) => Outcome::ConnectionBroken,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an unsafe request being sent again on an answer that proves nothing.
    #[test]
    fn only_what_is_proven_counts_as_not_run() {
        assert_eq!(of_status(409, true, false), Outcome::StateNotFound);
        assert_eq!(of_status(409, false, false), Outcome::Error);
        assert_eq!(of_status(503, false, false), Outcome::Error);
        assert_eq!(of_status(503, false, true), Outcome::Overloaded);
        assert_eq!(of_status(429, false, false), Outcome::Overloaded);
        for kind in
            [io::ErrorKind::ConnectionRefused, io::ErrorKind::ConnectionReset, io::ErrorKind::TimedOut]
        {
            assert_eq!(of_transport(Phase::Connecting, kind), Outcome::Unreachable);
        }
        assert_eq!(of_transport(Phase::Sent, io::ErrorKind::ConnectionReset), Outcome::ConnectionBroken);
        assert_eq!(of_transport(Phase::Sent, io::ErrorKind::TimedOut), Outcome::TimedOut);
    }
}
