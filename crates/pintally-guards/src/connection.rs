//! Guard of client connections: whether one may be closed now, for a stated reason.

use crate::Denial;

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client closed or reset it.
    ClientLeft,
    /// Writing to it failed.
    Broken,
    /// The client has read nothing for longer than the write timeout.
    Stuck,
    /// A streamed answer was aborted; the missing last chunk signals it to the client.
    StreamCut,
    /// The keep-alive timeout expired.
    Idle,
    /// No request arrived on it in time.
    Silent,
    /// Its last answer is completely written and the client had time to read it.
    Answered,
    /// The node shuts down.
    Stopping,
    /// File descriptors run low.
    Evicted,
}

impl CloseReason {
    /// All reasons, in the order of their counts.
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

    /// The name in logs and status documents.
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

    /// Whether a close for this reason leaves nobody to whom an answer could still be delivered.
    fn voids_owed_answers(self) -> bool {
        use CloseReason::{Broken, ClientLeft, StreamCut, Stuck};
        matches!(self, ClientLeft | Broken | Stuck | StreamCut)
    }
}

/// The state of a client connection that the guard depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionFacts {
    /// A request of the connection is in flight.
    pub answer_owed: bool,
    /// Bytes of answers not yet written.
    pub unwritten: usize,
    /// Received bytes are not parsed yet, and the connection may still answer a request.
    pub unread: bool,
}

/// Checks that a client connection may be closed now.
///
/// Guards every path that closes a connection against dropping an answer that is half written, and against
/// closing on a request that was sent and not read.
///
/// # Errors
///
/// The first kind of pending data found on the connection.
pub fn may_close(connection: &ConnectionFacts, reason: CloseReason) -> Result<(), Denial> {
    if reason.voids_owed_answers() {
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
