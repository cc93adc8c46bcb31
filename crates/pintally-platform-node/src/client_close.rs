//! The only place where client connections are closed: the guard first checks for responses and requests that
//! the close would lose.

use pintally_guards::{may_close, CloseReason, Denial};
use pintally_host::{Input, RequestNumber};
use pintally_platform::RequestError;

use crate::client_connection::ClientState;
use crate::connection::{Connection, ConnectionKey};
use crate::event_source::EventSource;
use crate::node::Node;

impl Node {
    /// Closes a client connection if the guard permits it; returns whether it was closed. A prevented close
    /// is counted as an error unless the reason is a request that has just arrived, which is read next.
    pub(crate) fn close_client(&mut self, key: ConnectionKey, reason: CloseReason) -> bool {
        let Some(Connection::Client(client)) = self.connections.get(key) else { return false };
        let facts = client.facts();
        if let Err(denial) = may_close(&facts, reason) {
            if denial != Denial::RequestUnread {
                self.record_denied_close(key, reason, denial);
            }
            return false;
        }
        self.clients.closes.add(reason);
        tracing::debug!(connection = EventSource::Connection(key).token(), reason = reason.name(),
            state = ?client.state, requests = client.request_count, unwritten_bytes = facts.unwritten_bytes,
            "client connection closed");
        if let Some(Connection::Client(client)) = self.connections.remove(key) {
            self.clients.count -= 1;
            self.clients.held_bytes -= client.held_bytes;
        }
        true
    }

    fn record_denied_close(&mut self, key: ConnectionKey, reason: CloseReason, denial: Denial) {
        self.clients.denied_closes.add(denial);
        let now = self.clock.now();
        if self.log_limiter.allows(now) {
            tracing::error!(connection = EventSource::Connection(key).token(), reason = reason.name(), %denial,
                "guard prevented the close of a client connection");
        }
    }

    /// Closes a client connection whose timeout has expired.
    pub(crate) fn expire_client(&mut self, key: ConnectionKey, reason: CloseReason) {
        let Some(client) = self.client_mut(key) else { return };
        match client.state {
            ClientState::Active(_) => self.client_disconnected(key, reason),
            ClientState::Receiving if reason == CloseReason::ReceiveTimeout && client.reader.is_partial() => {
                self.reject(key, RequestError { status: 408, message: "the request did not come in time" });
            }
            _ => drop(self.close_client(key, reason)),
        }
    }

    /// Handles a client that has disconnected or cannot be written to: its request is cancelled.
    pub(crate) fn client_disconnected(&mut self, key: ConnectionKey, reason: CloseReason) {
        let Some(number) = self.close_disconnected_client(key, reason) else { return };
        self.drain_inputs();
        self.cancel_attempt(number);
        self.drain_inputs();
    }

    /// Closes the connection of a client that has disconnected. Returns its request in flight, of whose client's
    /// departure the host is notified with the next inputs.
    pub(crate) fn close_disconnected_client(
        &mut self,
        key: ConnectionKey,
        reason: CloseReason,
    ) -> Option<RequestNumber> {
        let state = self.client_mut(key).map(|client| client.state);
        self.close_client(key, reason);
        let Some(ClientState::Active(number)) = state else { return None };
        if let Some(request) = self.requests.get_mut(number) {
            request.client = None;
        }
        self.host_queue.push(Input::ClientLeft(number));
        Some(number)
    }
}
