//! Whether something may be done now: the rules on requests as functions of plain facts.
//!
//! The decision module chooses what to do. Before it is done, whoever carries it out asks here, whatever
//! path led there (a first attempt, a retry, a late connection, a shutdown, a reload, an eviction). A denial
//! is an error of ours: nothing is done then, and it is counted and logged.

mod attempt;
mod connection;
mod counts;

pub use attempt::{may_refuse, may_send, may_start, EngineFacts, MayHaveRun, RequestFacts};
pub use connection::{may_close, CloseReason, ConnectionFacts};
pub use counts::{Counted, Counts, Denials};

use std::fmt;

/// Why something must not be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denial {
    /// The request has its final answer, or its client has left.
    RequestOver,
    /// Another attempt of the request is out.
    AttemptOut,
    /// The engine drains or has left the list.
    EngineNotServing,
    /// An earlier attempt may have run and the class must not run twice.
    MayRunTwice,
    /// An earlier attempt may have run, and this engine does not drop repeats of it.
    OutsideGroup,
    /// An earlier attempt may have run, and repeats are not dropped any more.
    WindowOver,
    /// The client's time is up.
    NoTimeLeft,
    /// The request has had all its attempts.
    AttemptsSpent,
    /// A refusal promises no effect, and an attempt may have had one.
    RefusalAfterEffect,
    /// A request is held on the connection, and its answer is owed.
    AnswerOwed,
    /// Part of an answer has not been written to the connection.
    AnswerUnwritten,
    /// A request waits unread on the connection.
    RequestUnread,
}

impl Denial {
    /// All of them, in the order in which they are counted.
    pub const ALL: [Denial; 12] = [
        Denial::RequestOver,
        Denial::AttemptOut,
        Denial::EngineNotServing,
        Denial::MayRunTwice,
        Denial::OutsideGroup,
        Denial::WindowOver,
        Denial::NoTimeLeft,
        Denial::AttemptsSpent,
        Denial::RefusalAfterEffect,
        Denial::AnswerOwed,
        Denial::AnswerUnwritten,
        Denial::RequestUnread,
    ];

    /// Its name in logs and on status pages.
    pub fn name(self) -> &'static str {
        match self {
            Denial::RequestOver => "request_over",
            Denial::AttemptOut => "attempt_out",
            Denial::EngineNotServing => "engine_not_serving",
            Denial::MayRunTwice => "may_run_twice",
            Denial::OutsideGroup => "outside_group",
            Denial::WindowOver => "window_over",
            Denial::NoTimeLeft => "no_time_left",
            Denial::AttemptsSpent => "attempts_spent",
            Denial::RefusalAfterEffect => "refusal_after_effect",
            Denial::AnswerOwed => "answer_owed",
            Denial::AnswerUnwritten => "answer_unwritten",
            Denial::RequestUnread => "request_unread",
        }
    }
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl std::error::Error for Denial {}
