//! Guard of client connections: whether one may be closed now, for a stated reason.

use crate::Denial;

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client closed or reset it.
    ClientLeft,
    /// Reading from it or writing to it failed.
    IoError,
    /// The client has read nothing for longer than the write timeout.
    WriteTimeout,
    /// A streamed answer was aborted; the missing last chunk signals it to the client.
    StreamAborted,
    /// The keep-alive timeout expired.
    IdleTimeout,
    /// No complete request arrived on it within the receive timeout.
    ReceiveTimeout,
    /// Its last answer is completely written and the client had time to read it.
    ResponseDelivered,
    /// The node shuts down.
    Shutdown,
    /// File descriptors run low.
    Evicted,
}

impl CloseReason {
    /// All reasons, in the order of their counts.
    pub const ALL: [CloseReason; 9] = [
        CloseReason::ClientLeft,
        CloseReason::IoError,
        CloseReason::WriteTimeout,
        CloseReason::StreamAborted,
        CloseReason::IdleTimeout,
        CloseReason::ReceiveTimeout,
        CloseReason::ResponseDelivered,
        CloseReason::Shutdown,
        CloseReason::Evicted,
    ];

    /// The name in logs and status documents.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientLeft => "client_left",
            CloseReason::IoError => "broken",
            CloseReason::WriteTimeout => "stuck",
            CloseReason::StreamAborted => "stream_cut",
            CloseReason::IdleTimeout => "idle",
            CloseReason::ReceiveTimeout => "silent",
            CloseReason::ResponseDelivered => "answered",
            CloseReason::Shutdown => "stopping",
            CloseReason::Evicted => "evicted",
        }
    }

    /// Whether pending answers can no longer be delivered when the connection closes for this reason.
    fn prevents_delivery(self) -> bool {
        use CloseReason::{ClientLeft, IoError, StreamAborted, WriteTimeout};
        matches!(self, ClientLeft | IoError | WriteTimeout | StreamAborted)
    }
}

/// The state of a client connection that the guard depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionFacts {
    /// A request of the connection is in flight.
    pub answer_pending: bool,
    /// Bytes of answers not yet written.
    pub unwritten_bytes: usize,
    /// Received bytes are not parsed yet, and the connection may still answer a request.
    pub has_unread_input: bool,
}

/// Checks that a client connection may be closed now.
///
/// Prevents any path that closes a connection from dropping an answer that is partly written, or a request that
/// the client has sent and the node has not read.
///
/// # Errors
///
/// The first kind of pending data found on the connection.
pub fn may_close(connection: &ConnectionFacts, reason: CloseReason) -> Result<(), Denial> {
    if reason.prevents_delivery() {
        return Ok(());
    }
    if connection.answer_pending {
        return Err(Denial::AnswerPending);
    }
    if connection.unwritten_bytes > 0 {
        return Err(Denial::AnswerUnwritten);
    }
    if connection.has_unread_input {
        return Err(Denial::RequestUnread);
    }
    Ok(())
}
