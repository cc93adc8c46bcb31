//! The one table from what came back to an [`Outcome`].
//!
//! | what came back | outcome | may have run |
//! | --- | --- | --- |
//! | 200 and events to the last chunk | `Served` | yes |
//! | 202 | `Read` | no |
//! | 410 on which the engine vouches that it was turned away | `NoState` | no |
//! | any other status on which it does | `Full` | no |
//! | any other status | `Error` | yes |
//! | no connection, or it ended before the request's last byte was written | `Unreachable` | no |
//! | it ended, or brought what cannot be read, after that | `Broken` | yes |
//! | nothing in time, before the request's last byte was written | `Unreachable` | no |
//! | nothing in time, after that | `TimedOut` | yes |

use pintally::interface::Outcome;

/// How far an attempt had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The request's last byte has not been written.
    Unwritten,
    /// It has.
    Written,
}

/// The outcome of a whole answer by its status and whether the engine vouches that nothing ran.
pub fn of_answer(status: u16, turned_away: bool) -> Outcome {
    match (status, turned_away) {
        (200, false) => Outcome::Served,
        (202, false) => Outcome::Read,
        (410, true) => Outcome::StateNotFound,
        (_, true) => Outcome::Overloaded,
        _ => Outcome::Error,
    }
}

/// The outcome of a connection that failed, or of a time that ran out.
pub fn of_transport(phase: Phase, timed_out: bool) -> Outcome {
    match (phase, timed_out) {
        (Phase::Unwritten, _) => Outcome::Unreachable,
        (Phase::Written, true) => Outcome::TimedOut,
        (Phase::Written, false) => Outcome::ConnectionBroken,
    }
}

#[cfg(test)]
mod tests;
