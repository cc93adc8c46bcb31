//! Send and close guards: the invariants of requests and client connections as pure functions.
//!
//! The decision core selects an action. The code that executes it checks its guard first, on every path that
//! leads to the action (a first attempt, a retry, a late connection, a shutdown, a reload, an eviction). A
//! denial means that a violation was prevented: the action is not executed, and the denial is counted and
//! logged as a defect of the router.

#![deny(missing_docs)]

mod attempt;
mod connection;
mod counts;

pub use attempt::{may_reject, may_send, may_start, EngineFacts, RequestFacts, SentAttempt};
pub use connection::{may_close, CloseReason, ConnectionFacts};
pub use counts::{Counted, Counts, Denials};

use std::fmt;

/// The rule that an action would break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denial {
    /// The request has its final answer or its client has left.
    RequestClosed,
    /// Another attempt of the request is in flight.
    AttemptInFlight,
    /// The engine is draining or no longer listed.
    EngineNotServing,
    /// An earlier attempt may have run and the request is not idempotent.
    MayRunTwice,
    /// An earlier attempt may have run, and this engine is outside the scope of its idempotency key.
    OutsideKeyScope,
    /// An earlier attempt may have run, and the window of its idempotency key has expired.
    KeyWindowExpired,
    /// The deadline of the request has passed.
    NoTimeLeft,
    /// The limit of attempts is reached.
    AttemptsExhausted,
    /// A rejection promises the client that a retry is harmless, but an attempt may have run.
    RejectionAfterEffect,
    /// A request of the connection is in flight and its answer is pending.
    AnswerPending,
    /// Part of an answer is not written to the connection yet.
    AnswerUnwritten,
    /// A request on the connection has not been read.
    RequestUnread,
    /// The client may have disconnected: the end of its connection may be behind input that has not been read.
    ClientUnconfirmed,
}

impl Denial {
    /// All denials, in the order of their counts.
    pub const ALL: [Denial; 13] = [
        Denial::RequestClosed,
        Denial::AttemptInFlight,
        Denial::EngineNotServing,
        Denial::MayRunTwice,
        Denial::OutsideKeyScope,
        Denial::KeyWindowExpired,
        Denial::NoTimeLeft,
        Denial::AttemptsExhausted,
        Denial::RejectionAfterEffect,
        Denial::AnswerPending,
        Denial::AnswerUnwritten,
        Denial::RequestUnread,
        Denial::ClientUnconfirmed,
    ];

    /// The name in logs and status documents.
    pub fn name(self) -> &'static str {
        match self {
            Denial::RequestClosed => "request_over",
            Denial::AttemptInFlight => "attempt_out",
            Denial::EngineNotServing => "engine_not_serving",
            Denial::MayRunTwice => "may_run_twice",
            Denial::OutsideKeyScope => "outside_group",
            Denial::KeyWindowExpired => "window_over",
            Denial::NoTimeLeft => "no_time_left",
            Denial::AttemptsExhausted => "attempts_spent",
            Denial::RejectionAfterEffect => "refusal_after_effect",
            Denial::AnswerPending => "answer_owed",
            Denial::AnswerUnwritten => "answer_unwritten",
            Denial::RequestUnread => "request_unread",
            Denial::ClientUnconfirmed => "client_unconfirmed",
        }
    }
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl std::error::Error for Denial {}
