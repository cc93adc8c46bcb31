//! Input of client connections: reading bytes and parsing requests.

use std::io::Read;

use pintally_guards::CloseReason;
use pintally_http::HttpError;
use pintally_platform::RequestError;

use crate::client_connection::{ClientState, RequestProgress};
use crate::connection::{Connection, ConnectionKey};
use crate::node::Node;
use crate::poller::EventFlags;
use crate::syscall::is_retryable;

/// Maximum number of connections that are read in one iteration, each for new requests and for the rest of others, and of
/// requests that are parsed behind others. Guards against other clients and engines that wait while hundreds of clients
/// send at full speed.
const MAX_TURNS_PER_ITERATION: usize = 16;

/// The result of one read of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiveResult {
    /// Bytes were received.
    Bytes,
    /// No bytes were available, or they belong to no request.
    NoBytes,
    /// The memory budget has no room for further input of this connection.
    NoMemory,
    /// The client has disconnected.
    Disconnected(CloseReason),
}

impl Node {
    /// Schedules what an event of a client requires. The client has not disconnected, as
    /// [`Node::handle_disconnected_clients`] has checked.
    pub(crate) fn queue_client_event(&mut self, key: ConnectionKey, events: EventFlags) {
        if events.contains(EventFlags::OUT) {
            self.clients.queue_write(key);
        }
        if !events.intersects(EventFlags::IN | EventFlags::RDHUP) {
            return;
        }
        let events_since = self.events_since;
        let Some(client) = self.client_mut(key) else { return };
        if client.input_since.is_none() {
            client.input_since = Some(events_since);
            let progress = client.read_progress();
            self.clients.queue_read(key, progress);
        }
    }

    /// Reads the scheduled connections: those that begin a request before those that send more of one.
    pub(crate) fn read_pending_clients(&mut self) {
        for progress in [RequestProgress::New, RequestProgress::Partial] {
            for key in self.clients.take_pending_reads(progress, MAX_TURNS_PER_ITERATION) {
                self.read_client(key);
            }
        }
    }

    fn read_client(&mut self, key: ConnectionKey) {
        let result = self.receive_input(key);
        if let Some(client) = self.client_mut(key) {
            client.input_since = None;
        }
        match result {
            ReceiveResult::Bytes => self.process_next_request(key),
            ReceiveResult::Disconnected(reason) => self.client_disconnected(key, reason),
            ReceiveResult::NoBytes | ReceiveResult::NoMemory => {}
        }
    }

    /// Reads once from a client connection, as far as the memory budget has room.
    pub(crate) fn receive_input(&mut self, key: ConnectionKey) -> ReceiveResult {
        let max_bytes = self.max_read_bytes(key);
        if max_bytes == 0 {
            self.update_client_interest(key);
            return ReceiveResult::NoMemory;
        }
        let now = self.clock.now();
        let Some(Connection::Client(client)) = self.connections.get_mut(key) else {
            return ReceiveResult::NoBytes;
        };
        let input_since = client.input_since.take().unwrap_or(self.events_since);
        let count = match client.stream.read(&mut self.read_buffer[..max_bytes]) {
            Ok(0) => return ReceiveResult::Disconnected(CloseReason::ClientLeft),
            Ok(count) => count,
            Err(e) if is_retryable(&e) => return ReceiveResult::NoBytes,
            Err(_) => return ReceiveResult::Disconnected(CloseReason::IoError),
        };
        client.record_new_input(now, input_since);
        // Input of a closing connection is read and dropped: unread bytes at the close would cause a reset,
        // which the client could get before it has read its response.
        if client.state == ClientState::Closing {
            if client.drop_input(count) {
                return ReceiveResult::Disconnected(CloseReason::ResponseDelivered);
            }
            return ReceiveResult::NoBytes;
        }
        if !client.reader.is_partial() && client.request_count > 0 {
            client.receiving_since = now;
        }
        client.reader.push(&self.read_buffer[..count]);
        client.arrivals.push(now, count, count == max_bytes);
        self.update_held_bytes(key);
        ReceiveResult::Bytes
    }

    /// Parses the next request if none is in flight; those behind it have to wait for their turn.
    pub(crate) fn process_next_request(&mut self, key: ConnectionKey) {
        if let Some(client) = self.client_mut(key).filter(|client| client.accepts_requests()) {
            match client.reader.next_request() {
                Ok(Some(request)) => {
                    client.close_after_response |= !request.keep_alive;
                    self.update_held_bytes(key);
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
        self.update_held_bytes(key);
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
        self.update_held_bytes(key);
        if !self.has_memory_for(0) {
            self.reject(key, RequestError { status: 503, message: "no room for the body" });
        }
        self.update_client_interest(key);
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
        for key in self.clients.take_pending_requests(MAX_TURNS_PER_ITERATION) {
            if let Some(client) = self.client_mut(key) {
                client.is_queued = false;
            }
            self.process_next_request(key);
        }
    }

    /// Registers the connection for the events that its state needs. Input is also read while a request is in
    /// flight, so that the arrival time of the next request and the end of the stream are known.
    pub(crate) fn update_client_interest(&mut self, key: ConnectionKey) {
        let is_read = self.max_read_bytes(key) > 0;
        let now = self.clock.now();
        let Some(Connection::Client(client)) = self.connections.get_mut(key) else { return };
        let mut interest = EventFlags::RDHUP;
        if is_read {
            interest |= EventFlags::IN;
            client.resume_reading(now);
        } else {
            client.arrivals.pause(now);
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
