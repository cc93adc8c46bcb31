//! Clients' connections: whether one may be closed now, for a stated reason.

use crate::Denial;

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client has ended or reset it.
    ClientLeft,
    /// Nothing can be written to it any more.
    Broken,
    /// Its client takes nothing of what is written, for longer than it may.
    Stuck,
    /// An answer that had begun is cut off: its end without a last chunk says so.
    StreamCut,
    /// It has rested for long enough.
    Idle,
    /// It never brought a request.
    Silent,
    /// All of its last answer is written, and its client has had the time to read it.
    Answered,
    /// The node ends.
    Stopping,
    /// Descriptors run low.
    Evicted,
}

impl CloseReason {
    /// All of them, in the order in which they are counted.
    pub const ALL: [CloseReason; 9] = [
        CloseReason::ClientLeft,
        CloseReason::Broken,
        CloseReason::Stuck,
        CloseReason::StreamCut,
        CloseReason::Idle,
        CloseReason::Silent,
        CloseReason::Answered,
        CloseReason::Stopping,
        CloseReason::Evicted,
    ];

    /// Its name in logs and on status pages.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientLeft => "client_left",
            CloseReason::Broken => "broken",
            CloseReason::Stuck => "stuck",
            CloseReason::StreamCut => "stream_cut",
            CloseReason::Idle => "idle",
            CloseReason::Silent => "silent",
            CloseReason::Answered => "answered",
            CloseReason::Stopping => "stopping",
            CloseReason::Evicted => "evicted",
        }
    }

    /// Whether nothing can be owed on the connection any more, whatever is left on it.
    fn ends_what_is_owed(self) -> bool {
        use CloseReason::{Broken, ClientLeft, StreamCut, Stuck};
        matches!(self, ClientLeft | Broken | Stuck | StreamCut)
    }
}

/// What is known of a client's connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionFacts {
    /// A request of it is held.
    pub answer_owed: bool,
    /// Bytes of answers that have not been written to it.
    pub unwritten: usize,
    /// Bytes have come that nobody has looked at, and something may still be answered on it.
    pub unread: bool,
}

/// Whether a client's connection may be closed now. Guards, on every path that closes one, against an
/// answer that is dropped half written, and against a request that was sent and is closed on unread.
pub fn may_close(connection: &ConnectionFacts, reason: CloseReason) -> Result<(), Denial> {
    if reason.ends_what_is_owed() {
        return Ok(());
    }
    if connection.answer_owed {
        return Err(Denial::AnswerOwed);
    }
    if connection.unwritten > 0 {
        return Err(Denial::AnswerUnwritten);
    }
    if connection.unread {
        return Err(Denial::RequestUnread);
    }
    Ok(())
}
