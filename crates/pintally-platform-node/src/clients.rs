//! Data about all client connections of the node.

use pintally_guards::{CloseReason, Counts, Denials};

use crate::connection::ConnectionKey;

/// Data about all client connections: their number, queued writes and requests, and counts of closes.
#[derive(Default)]
pub(crate) struct Clients {
    pub(crate) count: usize,
    /// Number of bytes that are held for all connections, without the requests in flight.
    pub(crate) held_bytes: usize,
    /// Connections with output to write.
    pending_writes: Vec<ConnectionKey>,
    /// Connections that may have received another complete request.
    pending_requests: Vec<ConnectionKey>,
    /// Number of closed connections, by reason.
    pub(crate) closes: Counts<CloseReason>,
    /// Number of closes that the guard prevented.
    pub(crate) denied_closes: Denials,
}

impl Clients {
    /// Schedules the output of a connection to be written in this iteration.
    pub(crate) fn queue_write(&mut self, key: ConnectionKey) {
        self.pending_writes.push(key);
    }

    pub(crate) fn take_pending_writes(&mut self) -> Vec<ConnectionKey> {
        std::mem::take(&mut self.pending_writes)
    }

    /// Schedules the requests of a connection to be parsed.
    pub(crate) fn queue_requests(&mut self, key: ConnectionKey) {
        self.pending_requests.push(key);
    }

    pub(crate) fn take_pending_requests(&mut self) -> Vec<ConnectionKey> {
        std::mem::take(&mut self.pending_requests)
    }

    pub(crate) fn has_pending_requests(&self) -> bool {
        !self.pending_requests.is_empty()
    }
}
