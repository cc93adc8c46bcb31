//! Whether the client of a request is still connected when an attempt starts.
//!
//! A client that disconnects sends the end of the stream behind all of its bytes. While the receive buffer of the
//! socket is full, the client's system keeps that end back, and no event reports the disconnect. Before the node
//! writes to an engine it therefore reads what the client has sent, unless the client was connected just before. If
//! the memory budget has no room for all of it, the request is shed, because nobody may be waiting for its answer.

use pintally::interface::Micros;
use pintally_guards::CloseReason;
use pintally_host::{Input, RequestNumber};

use crate::client_connection::UnreadInput;
use crate::client_read::ReceiveResult;
use crate::connection::{Connection, ConnectionKey};
use crate::engine_connection::EngineCall;
use crate::node::Node;

/// An attempt may start for this time after the client was last known to be connected. It is half of the time for which
/// the platform allows attempts after a disconnect; the other half is for the way to the engine.
const MAX_CONNECTED_AGE: Micros = 50_000;

/// What is known about a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientPresence {
    /// It is connected, or was just before.
    Connected,
    /// It has disconnected.
    Disconnected(CloseReason),
    /// The end of the stream may be behind input that the node has not read.
    Unknown,
}

impl Node {
    /// Whether the client of a request is known to be connected, so that an attempt may be written. If it is not, the
    /// host is notified that the request ends.
    pub(crate) fn confirm_client(&mut self, number: RequestNumber) -> bool {
        let Some(key) = self.requests.get(number).and_then(|request| request.client) else { return false };
        match self.client_presence(self.clock.now(), key) {
            ClientPresence::Connected => return true,
            ClientPresence::Disconnected(reason) => {
                self.close_disconnected_client(key, reason);
            }
            ClientPresence::Unknown => {
                tracing::debug!(request = number, "attempt not sent: the client's input is not read");
                self.host_queue.push(Input::ClientUnconfirmed(number));
            }
        }
        false
    }

    /// Confirms the client of the attempt that is being written on an engine connection; cancels the attempt if the
    /// client cannot be confirmed. Calls without a client are always confirmed.
    pub(crate) fn confirm_client_of(&mut self, key: ConnectionKey) -> bool {
        let Some(Connection::Engine(connection)) = self.connections.get(key) else { return false };
        let Some(EngineCall::Attempt(call)) = &connection.call else { return true };
        let number = call.number;
        if connection.is_written() || self.confirm_client(number) {
            return true;
        }
        self.cancel_attempt(number);
        false
    }

    /// Reads the client's input until none is left, or the memory budget is used up.
    fn client_presence(&mut self, now: Micros, key: ConnectionKey) -> ClientPresence {
        while let Some(client) = self.client_mut(key) {
            if now < client.connected_at.saturating_add(MAX_CONNECTED_AGE) {
                return ClientPresence::Connected;
            }
            match client.unread_input() {
                UnreadInput::EndOfStream => return ClientPresence::Disconnected(CloseReason::ClientLeft),
                UnreadInput::Broken => return ClientPresence::Disconnected(CloseReason::IoError),
                UnreadInput::None if client.arrivals.has_backlog(now) => return ClientPresence::Unknown,
                UnreadInput::None => {
                    client.record_connected(now);
                    return ClientPresence::Connected;
                }
                UnreadInput::Bytes => {}
            }
            match self.receive_input(key) {
                ReceiveResult::Bytes | ReceiveResult::NoBytes => {}
                ReceiveResult::NoMemory => return ClientPresence::Unknown,
                ReceiveResult::Disconnected(reason) => return ClientPresence::Disconnected(reason),
            }
        }
        ClientPresence::Disconnected(CloseReason::ClientLeft)
    }
}
