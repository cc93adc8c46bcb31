//! Output of client connections: responses and streams.

use std::io::{ErrorKind, Write};
use std::net::Shutdown;

use pintally::interface::Micros;
use pintally_guards::CloseReason;
use pintally_host::{FinalAnswer, RequestNumber};
use pintally_http::{chunk, response, response_head, LAST_CHUNK};
use pintally_platform::RequestError;

use crate::client_connection::{
    ClientConnection, ClientState, MAX_SPARE_OUTPUT_BYTES, MAX_STREAM_OUTPUT_BYTES, RESUME_OUTPUT_BYTES,
};
use crate::connection::ConnectionKey;
use crate::node::Node;

/// The header that announces the close of the connection after a response.
const CONNECTION_CLOSE: (&str, &str) = ("connection", "close");

/// Whether a client reads its stream as fast as it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientPace {
    KeepsUp,
    Slow,
}

impl Node {
    /// Sends a response that involves no engine.
    pub(crate) fn respond(&mut self, key: ConnectionKey, bytes: Vec<u8>) {
        let Some(client) = self.client_mut(key) else { return };
        client.output.extend_from_slice(&bytes);
        self.complete_response(key);
    }

    /// Sends an error response, and closes the connection after it.
    pub(crate) fn reject(&mut self, key: ConnectionKey, error: RequestError) {
        let Some(client) = self.client_mut(key) else { return };
        let body = format!("{}\n", error.message);
        client.output.extend_from_slice(&response(error.status, &[CONNECTION_CLOSE], body.as_bytes()));
        client.close_after_response = true;
        self.complete_response(key);
        // Guards against faulty clients that exhaust the log limit and hide lines that
        // on-call operators need.
        if tracing::enabled!(tracing::Level::DEBUG) && self.log_limiter.allows(self.clock.now()) {
            tracing::debug!(status = error.status, reason = error.message, "request rejected as invalid");
        }
    }

    /// Whether the connection is closed after the current response. A draining node does not close it
    /// if it has read part of a further request, which would be lost, nor after a stream whose head
    /// did not announce the close: a request could be on its way, and such a connection is closed
    /// only once it is idle.
    fn closes_after_response(&mut self, key: ConnectionKey) -> bool {
        let draining = self.shutdown.is_requested();
        let may_announce = |client: &ClientConnection| !client.streaming && !client.reader.is_partial();
        self.client_mut(key)
            .is_some_and(|client| client.close_after_response || draining && may_announce(client))
    }

    /// Handles a response that is complete in the output: the connection closes or receives its next request.
    fn complete_response(&mut self, key: ConnectionKey) {
        let now = self.clock.now();
        let closes = self.closes_after_response(key);
        let draining = self.shutdown.is_requested();
        let Some(client) = self.client_mut(key) else { return };
        client.close_when_idle = draining && !closes;
        client.streaming = false;
        client.last_active = now;
        client.receiving_since = now;
        client.state = if closes { ClientState::Closing } else { ClientState::Receiving };
        if closes {
            client.discard_input();
        } else {
            // Before the response is written: the client may send its next request at once.
            client.resume_reading(now);
        }
        self.clients.queue_write(key);
        self.queue_requests(key);
    }

    /// Sends the final answer of a request.
    pub(crate) fn send_final_answer(&mut self, number: RequestNumber, answer: FinalAnswer) {
        let request = self.requests.get_mut(number);
        let Some(key) = request.and_then(|request| request.client.take()) else { return };
        let closes = self.closes_after_response(key);
        let active = ClientState::Active(number);
        let Some(client) = self.client_mut(key).filter(|client| client.state == active) else { return };
        tracing::debug!(request = number, ?answer, "final answer sent");
        let headers: &[(&str, &str)] = if closes { &[CONNECTION_CLOSE] } else { &[] };
        match answer {
            FinalAnswer::Served => client.output.extend_from_slice(LAST_CHUNK),
            FinalAnswer::Rejected(after) => client.output.extend_from_slice(&rejection(headers, after)),
            FinalAnswer::Failed => client.output.extend_from_slice(&response(502, headers, b"failed\n")),
            // The close of the connection without the last chunk tells the client that the stream is cut.
            FinalAnswer::StreamCut => client.close_after_response = true,
        }
        let is_cut = answer == FinalAnswer::StreamCut;
        self.complete_response(key);
        if is_cut {
            self.flush_client(key);
            self.close_client(key, CloseReason::StreamAborted);
        }
    }

    /// Forwards events of the engine's stream to the client; returns `None` if the client has disconnected.
    pub(crate) fn forward_events(&mut self, number: RequestNumber, events: &[u8]) -> Option<ClientPace> {
        let key = self.requests.get(number)?.client?;
        let closes = self.closes_after_response(key);
        let client = self.client_mut(key)?;
        if !std::mem::replace(&mut client.streaming, true) {
            client.close_after_response |= closes;
            let mut headers = vec![("content-type", "text/event-stream")];
            headers.extend(closes.then_some(CONNECTION_CLOSE));
            client.output.extend_from_slice(&response_head(200, &headers));
        }
        client.output.extend_from_slice(&chunk(events));
        let unwritten = client.unwritten_bytes();
        self.update_held_bytes(key);
        let max_unwritten = self.max_optional_bytes().clamp(RESUME_OUTPUT_BYTES, MAX_STREAM_OUTPUT_BYTES);
        let is_slow = unwritten > max_unwritten;
        self.clients.queue_write(key);
        Some(if is_slow { ClientPace::Slow } else { ClientPace::KeepsUp })
    }

    pub(crate) fn flush_pending_clients(&mut self) {
        for key in self.clients.take_pending_writes() {
            self.flush_client(key);
        }
    }

    /// Writes pending output.
    fn flush_client(&mut self, key: ConnectionKey) {
        let now = self.clock.now();
        let Some(client) = self.client_mut(key) else { return };
        if client.write_output().is_err() {
            return self.client_disconnected(key, CloseReason::IoError);
        }
        client.after_write(now);
        let unwritten = client.unwritten_bytes();
        let (state, is_partial) = (client.state, client.reader.is_partial());
        let closes_idle = client.close_when_idle && !is_partial;
        match state {
            ClientState::Active(number) if unwritten < RESUME_OUTPUT_BYTES => self.resume_stream(number),
            ClientState::Receiving if unwritten < RESUME_OUTPUT_BYTES && is_partial => {
                self.queue_requests(key);
            }
            // A request that the client sends at the same time is not read; the client retries
            // it at another node.
            ClientState::Receiving
                if unwritten == 0 && closes_idle && self.close_client(key, CloseReason::Shutdown) =>
            {
                return
            }
            _ => {}
        }
        self.update_held_bytes(key);
        self.update_client_interest(key);
    }
}

impl ClientConnection {
    /// Writes output until all of it is written or the socket takes no more.
    fn write_output(&mut self) -> std::io::Result<()> {
        while self.unwritten_bytes() > 0 {
            let allowed = self.send_limit.allowed_bytes(&self.stream).min(self.unwritten_bytes());
            if allowed == 0 {
                return Ok(());
            }
            match self.stream.write(&self.output[self.written_bytes..self.written_bytes + allowed]) {
                Ok(0) => return Ok(()),
                Ok(count) => {
                    self.send_limit.record_written(count);
                    self.written_bytes += count;
                    self.write_blocked_since = None;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Frees written output, starts or stops the write timeout, and shuts down the write side of a closing
    /// connection.
    fn after_write(&mut self, now: Micros) {
        if self.unwritten_bytes() > 0 {
            self.write_blocked_since = self.write_blocked_since.or(Some(now));
            // Moving the rest only when it is not larger than what was written bounds the cost per byte.
            if self.written_bytes >= self.unwritten_bytes() {
                self.output.drain(..self.written_bytes);
                self.written_bytes = 0;
                self.output.shrink_to(self.output.len() + MAX_SPARE_OUTPUT_BYTES);
            }
            return;
        }
        self.output.clear();
        self.written_bytes = 0;
        self.output.shrink_to(MAX_SPARE_OUTPUT_BYTES);
        self.write_blocked_since = None;
        if self.state == ClientState::Closing && !std::mem::replace(&mut self.write_shut_down, true) {
            self.last_active = now;
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }
}

/// The response to a rejected request, with a Retry-After header in seconds if there is one.
fn rejection(headers: &[(&str, &str)], retry_after: Option<Micros>) -> Vec<u8> {
    let retry_after = retry_after.map(|span| format!("{:.3}", span as f64 / 1e6));
    let mut headers = headers.to_vec();
    headers.extend(retry_after.as_deref().map(|seconds| ("retry-after", seconds)));
    response(503, &headers, b"turned away\n")
}
