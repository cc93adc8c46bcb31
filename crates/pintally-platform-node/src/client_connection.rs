//! The state of a client connection.

use std::io::ErrorKind;
use std::net::TcpStream;

use pintally::interface::Micros;
use pintally_guards::{CloseReason, ConnectionFacts};
use pintally_host::RequestNumber;
use pintally_http::RequestReader;
use pintally_platform::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

use crate::arrival_times::ArrivalTimes;
use crate::poller::EventFlags;
use crate::socket_buffers::SendLimit;

/// Limit of the output that a slow client has not read: above it, no further requests of the client are parsed.
pub(crate) const MAX_OUTPUT_BYTES: usize = 32 << 10;
/// Limit of the output of a stream, as far as the memory budget has room: above it, reading from the engine pauses. What
/// the node has not read is lost when the engine ends.
pub(crate) const MAX_STREAM_OUTPUT_BYTES: usize = 256 << 10;
/// Reading of the stream and parsing of requests resume below this amount of unwritten output.
pub(crate) const RESUME_OUTPUT_BYTES: usize = 8 << 10;
/// An idle connection keeps a buffer of at most this size for its next response.
pub(crate) const MAX_SPARE_OUTPUT_BYTES: usize = 1 << 10;
/// After this much input behind a complete response, a closing connection is closed: more than the largest request,
/// which a client may have been sending when it was answered.
const MAX_DROPPED_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
/// After the write side of a connection is shut down, its input is read and dropped for this time.
const LINGER_TIMEOUT: Micros = 400_000;

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientState {
    /// The node waits for a request, or is receiving one.
    Receiving,
    /// A request is in flight.
    Active(RequestNumber),
    /// The rest of the output is being written; then the connection ends.
    Closing,
}

/// How much of a request has been received when more input of its connection arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestProgress {
    /// Nothing: a new request begins.
    New,
    /// A part, or the request before is in flight.
    Partial,
}

/// What the receive buffer of a client's socket contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnreadInput {
    /// Nothing, and the connection is open.
    None,
    /// Bytes.
    Bytes,
    /// The end of the stream, and no bytes before it.
    EndOfStream,
    /// The connection has failed.
    Broken,
}

/// A client connection.
pub(crate) struct ClientConnection {
    pub(crate) stream: TcpStream,
    pub(crate) reader: RequestReader,
    pub(crate) arrivals: ArrivalTimes,
    /// When the client was last known to be connected: all of its input was read, and the end of the stream was not
    /// among it.
    pub(crate) connected_at: Micros,
    /// The connection is scheduled to be read: its input has arrived after this time.
    pub(crate) input_since: Option<Micros>,
    /// Nothing was unread at `connected_at`, and nothing was read since.
    is_drained: bool,
    pub(crate) output: Vec<u8>,
    pub(crate) send_limit: SendLimit,
    /// Number of bytes of `output` that have been written.
    pub(crate) written_bytes: usize,
    pub(crate) state: ClientState,
    /// The head of a streamed response has been queued.
    pub(crate) streaming: bool,
    /// The connection ends after the response.
    pub(crate) close_after_response: bool,
    /// Nothing more is written; input is dropped until the client closes.
    pub(crate) write_shut_down: bool,
    /// Number of input bytes that were read and dropped in the closing state.
    dropped_bytes: usize,
    /// The connection is closed once no output is pending and no request is partly received.
    pub(crate) close_when_idle: bool,
    /// The connection is in the queue of those that may have received another complete request.
    pub(crate) is_queued: bool,
    /// Number of valid inference requests received.
    pub(crate) request_count: u64,
    /// When the client connected, or the request that is being received began.
    pub(crate) receiving_since: Micros,
    /// When the last response was completed, or the write side was shut down.
    pub(crate) last_active: Micros,
    /// Since when the client has not read any output.
    pub(crate) write_blocked_since: Option<Micros>,
    /// Number of bytes of this connection that the node's memory budget includes.
    pub(crate) held_bytes: usize,
    pub(crate) interest: EventFlags,
}

/// Timeouts of client connections.
pub(crate) struct ClientTimeouts {
    /// Maximum time in which a request has to arrive.
    pub(crate) receive: Micros,
    /// Maximum time for which a connection may be idle.
    pub(crate) idle: Micros,
    /// Maximum time in which the client has to read some of the output.
    pub(crate) write: Micros,
    /// The node is draining: idle connections are closed.
    pub(crate) close_idle: bool,
}

impl ClientConnection {
    /// A new connection, whose client was connected at `connected_at`.
    pub(crate) fn new(
        stream: TcpStream,
        send_limit: SendLimit,
        now: Micros,
        connected_at: Micros,
    ) -> ClientConnection {
        ClientConnection {
            stream,
            reader: RequestReader::new(MAX_HEAD_BYTES, MAX_BODY_BYTES),
            arrivals: ArrivalTimes::default(),
            connected_at,
            input_since: None,
            is_drained: false,
            output: Vec::new(),
            send_limit,
            written_bytes: 0,
            state: ClientState::Receiving,
            streaming: false,
            close_after_response: false,
            write_shut_down: false,
            dropped_bytes: 0,
            close_when_idle: false,
            is_queued: false,
            request_count: 0,
            receiving_since: now,
            last_active: now,
            write_blocked_since: None,
            held_bytes: 0,
            interest: EventFlags::IN | EventFlags::RDHUP,
        }
    }

    /// The memory for input that has not been parsed, its arrival times, and output that has not been written.
    pub(crate) fn count_held_bytes(&mut self) -> usize {
        self.arrivals.discard_before(self.reader.buffered_bytes());
        let output = if self.unwritten_bytes() > 0 { self.output.capacity() } else { 0 };
        self.reader.held_bytes() + self.arrivals.held_bytes() + output
    }

    /// Records that input is read which has arrived after `events_since`: until then nothing was unread.
    pub(crate) fn record_new_input(&mut self, now: Micros, events_since: Micros) {
        let was_drained = std::mem::replace(&mut self.is_drained, false);
        if was_drained && !self.arrivals.is_paused(now) {
            self.connected_at = self.connected_at.max(events_since);
        }
    }

    /// Counts input of a closing connection that is dropped; returns whether the connection is to be closed.
    pub(crate) fn drop_input(&mut self, count: usize) -> bool {
        self.dropped_bytes += count;
        self.write_shut_down && self.dropped_bytes > MAX_DROPPED_BYTES
    }

    /// Records that nothing is unread and the connection is open.
    pub(crate) fn record_connected(&mut self, now: Micros) {
        self.connected_at = now;
        self.is_drained = true;
    }

    /// Updates the pause of reading if nothing is unread: it ends, or its last bytes are read now.
    pub(crate) fn resume_reading(&mut self, now: Micros) {
        if self.arrivals.is_paused(now) && self.unread_input() != UnreadInput::Bytes {
            self.arrivals.record_drained(now);
        }
    }

    /// Frees the input of a connection that handles no further requests.
    pub(crate) fn discard_input(&mut self) {
        self.reader = RequestReader::new(MAX_HEAD_BYTES, MAX_BODY_BYTES);
        self.arrivals = ArrivalTimes::default();
    }

    /// Whether the output has room for another response. Guards against a client that fills the memory with
    /// responses that it does not read.
    pub(crate) fn accepts_responses(&self) -> bool {
        self.unwritten_bytes() <= MAX_OUTPUT_BYTES
    }

    /// Whether the next request may be parsed now.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.state == ClientState::Receiving && self.accepts_responses()
    }

    /// Whether no request can be parsed without further input.
    pub(crate) fn awaits_input(&self) -> bool {
        self.accepts_requests() && !self.is_queued
    }

    /// How much of a request has been received.
    pub(crate) fn read_progress(&self) -> RequestProgress {
        match self.state {
            ClientState::Receiving if !self.reader.is_partial() => RequestProgress::New,
            _ => RequestProgress::Partial,
        }
    }

    /// Whether an event shows that the client has disconnected. A half-closed connection counts as
    /// disconnected even if it has unread bytes: a request among them must not start, because nobody waits
    /// for its response. Only in the closing state is the rest of a response still written.
    pub(crate) fn has_disconnected(&self, events: EventFlags) -> bool {
        let half_closed = events.contains(EventFlags::RDHUP) && self.state != ClientState::Closing;
        half_closed || events.intersects(EventFlags::ERR | EventFlags::HUP)
    }

    /// Output bytes that have not been written.
    pub(crate) fn unwritten_bytes(&self) -> usize {
        self.output.len() - self.written_bytes
    }

    /// What the socket's receive buffer contains.
    pub(crate) fn unread_input(&self) -> UnreadInput {
        loop {
            match self.stream.peek(&mut [0; 1]) {
                Ok(0) => return UnreadInput::EndOfStream,
                Ok(_) => return UnreadInput::Bytes,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return UnreadInput::None,
                Err(_) => return UnreadInput::Broken,
            }
        }
    }

    /// The facts that the close guard checks. Unread bytes count only while the node receives requests: a
    /// connection that it is closing answers none.
    pub(crate) fn facts(&self) -> ConnectionFacts {
        ConnectionFacts {
            answer_pending: matches!(self.state, ClientState::Active(_)),
            unwritten_bytes: self.unwritten_bytes(),
            has_unread_input: self.state == ClientState::Receiving
                && self.unread_input() == UnreadInput::Bytes,
        }
    }

    /// The reason to close the connection if one of its timeouts has expired.
    pub(crate) fn expired(&self, now: Micros, timeouts: &ClientTimeouts) -> Option<CloseReason> {
        if self.write_blocked_since.is_some_and(|since| now >= since + timeouts.write) {
            return Some(CloseReason::WriteTimeout);
        }
        match self.state {
            ClientState::Active(_) => None,
            ClientState::Closing => (self.write_shut_down && now >= self.last_active + LINGER_TIMEOUT)
                .then_some(CloseReason::ResponseDelivered),
            ClientState::Receiving => self.receiving_expired(now, timeouts),
        }
    }

    fn receiving_expired(&self, now: Micros, timeouts: &ClientTimeouts) -> Option<CloseReason> {
        // The next requests are not parsed until the client reads the responses before them.
        if !self.accepts_responses() {
            return None;
        }
        let is_late = now >= self.receiving_since + timeouts.receive;
        if self.reader.is_partial() {
            return is_late.then_some(CloseReason::ReceiveTimeout);
        }
        // The client has not read the previous response: the write timeout applies.
        if self.unwritten_bytes() > 0 {
            return None;
        }
        if self.request_count == 0 {
            return is_late.then_some(CloseReason::ReceiveTimeout);
        }
        if timeouts.close_idle {
            return Some(CloseReason::Shutdown);
        }
        (now >= self.last_active + timeouts.idle).then_some(CloseReason::IdleTimeout)
    }
}
