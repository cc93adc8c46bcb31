//! Input of client connections: reading bytes and parsing requests.

use std::io::Read;

use pintally_guards::CloseReason;
use pintally_http::HttpError;
use pintally_platform::RequestError;

use crate::client_connection::ClientState;
use crate::connection::{Connection, ConnectionKey};
use crate::node::Node;
use crate::poller::EventFlags;
use crate::syscall::is_retryable;

/// Maximum number of requests of one connection that are parsed in one iteration.
const MAX_REQUESTS_PER_ITERATION: usize = 8;

impl Node {
    /// Handles an event of a client that has not disconnected, as [`Node::handle_disconnected_clients`] has
    /// checked.
    pub(crate) fn handle_client_event(&mut self, key: ConnectionKey, events: EventFlags) {
        let Some(client) = self.client_mut(key) else { return };
        let wants_input = client.wants_input();
        if events.contains(EventFlags::OUT) {
            self.clients.queue_write(key);
        }
        if events.intersects(EventFlags::IN | EventFlags::RDHUP) && wants_input {
            self.read_client(key);
        }
    }

    fn read_client(&mut self, key: ConnectionKey) {
        let now = self.clock.now();
        let Some(Connection::Client(client)) = self.connections.get_mut(key) else { return };
        let count = match client.stream.read(&mut self.read_buffer) {
            Ok(0) => return self.client_disconnected(key, CloseReason::ClientLeft),
            Ok(count) => count,
            Err(e) if is_retryable(&e) => return,
            Err(_) => return self.client_disconnected(key, CloseReason::IoError),
        };
        // Input of a closing connection is read and dropped: unread bytes at the close would cause a reset,
        // which the client could get before it has read its response.
        if client.state == ClientState::Closing {
            return;
        }
        if !client.reader.is_partial() && client.request_count > 0 {
            client.receiving_since = now;
        }
        client.reader.push(&self.read_buffer[..count]);
        client.arrivals.push(now, count);
        self.process_requests(key);
    }

    /// Parses the received requests until one of them is in flight.
    pub(crate) fn process_requests(&mut self, key: ConnectionKey) {
        for _ in 0..MAX_REQUESTS_PER_ITERATION {
            let Some(client) = self.client_mut(key).filter(|client| client.accepts_requests()) else { break };
            match client.reader.next_request() {
                Ok(Some(request)) => {
                    client.close_after_response |= !request.keep_alive;
                    self.handle_request(key, request);
                }
                Ok(None) => return self.await_rest_of_request(key),
                Err(error) => {
                    self.reject(key, read_error(&error));
                    return self.update_client_interest(key);
                }
            }
        }
        self.queue_requests(key);
        self.account_buffered_bytes(key);
        self.update_client_interest(key);
    }

    /// Handles an incomplete request: sends `100 Continue` if the client waits for it, and
    /// checks the memory limit.
    fn await_rest_of_request(&mut self, key: ConnectionKey) {
        let Some(client) = self.client_mut(key) else { return };
        if client.reader.take_expects_continue() {
            client.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            self.clients.queue_write(key);
        }
        if !self.account_buffered_bytes(key) {
            self.reject(key, RequestError { status: 503, message: "no room for the body" });
        }
        self.update_client_interest(key);
    }

    /// Updates the total with the connection's buffered bytes; returns whether the total is within the limit.
    fn account_buffered_bytes(&mut self, key: ConnectionKey) -> bool {
        let limit = self.config.max_total_body_bytes();
        let Some(Connection::Client(client)) = self.connections.get_mut(key) else { return true };
        let buffered = client.reader.buffered_bytes();
        self.requests.account_buffered(client.accounted_bytes, buffered);
        client.accounted_bytes = buffered;
        self.requests.body_bytes() <= limit
    }

    /// Schedules the parsing of the connection's next requests, if they may be parsed.
    pub(crate) fn queue_requests(&mut self, key: ConnectionKey) {
        let Some(client) = self.client_mut(key).filter(|client| client.accepts_requests()) else { return };
        if !std::mem::replace(&mut client.is_queued, true) {
            self.clients.queue_requests(key);
        }
    }

    /// Parses the requests of the scheduled connections.
    pub(crate) fn process_pending_requests(&mut self) {
        for key in self.clients.take_pending_requests() {
            if let Some(client) = self.client_mut(key) {
                client.is_queued = false;
            }
            self.process_requests(key);
        }
    }

    /// Registers the connection for the events that its state needs.
    pub(crate) fn update_client_interest(&mut self, key: ConnectionKey) {
        let Some(client) = self.client_mut(key) else { return };
        let mut interest = EventFlags::RDHUP;
        if client.wants_input() {
            interest |= EventFlags::IN;
        }
        if client.unwritten_bytes() > 0 {
            interest |= EventFlags::OUT;
        }
        self.set_interest(key, interest);
    }
}

/// The response to a request that cannot be parsed.
fn read_error(error: &HttpError) -> RequestError {
    let status = error.status();
    let message = match status {
        413 => "the body is too long",
        431 => "the head is too long",
        501 => "this transfer encoding is not served",
        _ => "not a request that can be read",
    };
    RequestError { status, message }
}
