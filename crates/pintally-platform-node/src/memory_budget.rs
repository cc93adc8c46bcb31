//! The memory budget: one limit for everything that has been received from clients and not been answered, and for
//! output that clients have not read, and for incomplete events of engines.
//!
//! Requests may use the whole budget. Half of it is shared with buffers that the node can do without: input behind
//! the request in flight, and output of streams beyond a minimum. Each such buffer may grow to the part of this half
//! that is free. Many buffers thereby get equal shares, and the largest stop growing first.

use pintally_platform::MAX_HEAD_BYTES;

use crate::client_connection::ClientState;
use crate::connection::{Connection, ConnectionKey};
use crate::node::Node;

/// The part of the budget that optional buffers may use, as a divisor.
const OPTIONAL_DIVISOR: usize = 2;
/// An engine's response may always hold this much: a complete head, which is more than ordinary events.
const MIN_RESPONSE_BYTES: usize = MAX_HEAD_BYTES;
/// A connection whose buffer may grow by less than this is not read. Guards against many small reads.
const MIN_READ_BYTES: usize = 4 << 10;

impl Node {
    /// Bytes held for clients and engines.
    pub(crate) fn held_bytes(&self) -> usize {
        self.requests.held_bytes() + self.clients.held_bytes + self.engines.held_bytes
    }

    /// Whether this number of further bytes is within the budget.
    pub(crate) fn has_memory_for(&self, bytes: usize) -> bool {
        self.held_bytes() + bytes <= self.config.memory_budget()
    }

    /// The part of the budget that optional buffers may use.
    fn optional_budget(&self) -> usize {
        self.config.memory_budget() / OPTIONAL_DIVISOR
    }

    /// The size up to which an optional buffer may grow.
    pub(crate) fn max_optional_bytes(&self) -> usize {
        self.optional_budget().saturating_sub(self.held_bytes())
    }

    /// The maximum number of bytes of the next read of a client connection; 0 if it is not read now.
    ///
    /// A connection whose request is incomplete is always read, so that the request can be answered; it is rejected if
    /// the budget has no room for it. One that may have received a complete request is not read for more of them.
    pub(crate) fn max_read_bytes(&self, key: ConnectionKey) -> usize {
        let Some(Connection::Client(client)) = self.connections.get(key) else { return 0 };
        let limit = self.read_buffer.len();
        if client.state == ClientState::Closing {
            return limit;
        }
        let optional = self.max_optional_bytes().saturating_sub(client.held_bytes);
        match optional {
            MIN_READ_BYTES.. => optional.min(limit),
            _ if client.awaits_input() => MIN_READ_BYTES,
            _ => 0,
        }
    }

    /// Updates the number of bytes that are held for a client connection.
    pub(crate) fn update_held_bytes(&mut self, key: ConnectionKey) {
        let Some(Connection::Client(client)) = self.connections.get_mut(key) else { return };
        let before = client.held_bytes;
        client.held_bytes = client.count_held_bytes();
        self.clients.held_bytes = self.clients.held_bytes + client.held_bytes - before;
    }

    /// Updates the number of bytes that are held for an engine's response.
    pub(crate) fn update_engine_held_bytes(&mut self, key: ConnectionKey) {
        let Some(Connection::Engine(connection)) = self.connections.get_mut(key) else { return };
        let before = connection.held_bytes;
        connection.held_bytes = connection.reader.held_bytes();
        self.engines.held_bytes = self.engines.held_bytes + connection.held_bytes - before;
    }

    /// Whether a response has an incomplete event for which the budget has no room. Guards against engines that fill
    /// the memory with events that never end.
    pub(crate) fn exceeds_memory(&self, key: ConnectionKey) -> bool {
        let Some(Connection::Engine(connection)) = self.connections.get(key) else { return false };
        connection.held_bytes > MIN_RESPONSE_BYTES && self.held_bytes() > self.optional_budget()
    }

    /// The connections of which reading is paused, or that have unread bytes of a pause.
    pub(crate) fn paused_reads(&self) -> impl Iterator<Item = ConnectionKey> + '_ {
        let now = self.clock.now();
        let is_paused = move |connection: &Connection| match connection {
            Connection::Client(client) => client.arrivals.is_paused(now),
            Connection::Engine(_) => false,
        };
        self.connections.iter().filter(move |(_, connection)| is_paused(connection)).map(|(key, _)| key)
    }

    /// Resumes reading of the connections for which the budget has room again.
    pub(crate) fn resume_paused_reads(&mut self) {
        let paused: Vec<ConnectionKey> = self.paused_reads().collect();
        for key in paused {
            self.update_client_interest(key);
        }
    }
}
