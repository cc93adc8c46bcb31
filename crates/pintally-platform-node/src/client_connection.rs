//! The state of a client connection.

use std::io::ErrorKind;
use std::net::TcpStream;

use pintally::interface::Micros;
use pintally_guards::{CloseReason, ConnectionFacts};
use pintally_host::RequestNumber;
use pintally_http::RequestReader;
use pintally_platform::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

use crate::arrival_times::ArrivalTimes;
use crate::poller::Interest;

/// Bytes that are read ahead of the request in flight.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Output that a slow client has not taken: above this nothing more is read for it, and none of its further
/// requests is parsed.
pub(crate) const MAX_OUTPUT_BYTES: usize = 32 << 10;
/// Below this much output, reading for a slow client and parsing of its requests resume.
pub(crate) const RESUME_OUTPUT_BYTES: usize = 8 << 10;
/// After its write side was shut down, a connection's input is read and dropped for this time.
const LINGER_TIMEOUT: Micros = 400_000;

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientState {
    /// A request is awaited, or being received.
    Receiving,
    /// A request is in flight.
    Active(RequestNumber),
    /// The rest of the output is written; then the connection ends.
    Closing,
}

/// A client connection.
pub(crate) struct ClientConnection {
    pub(crate) stream: TcpStream,
    pub(crate) reader: RequestReader,
    pub(crate) arrivals: ArrivalTimes,
    pub(crate) output: Vec<u8>,
    /// How much of `output` has been written.
    pub(crate) written_bytes: usize,
    pub(crate) state: ClientState,
    /// The head of a streamed response has been queued.
    pub(crate) streaming: bool,
    /// The connection ends after the response.
    pub(crate) close_after_response: bool,
    /// Nothing more is written; input is dropped until the client closes.
    pub(crate) write_shut_down: bool,
    /// It is closed as soon as no output is pending and no input has arrived.
    pub(crate) close_when_idle: bool,
    /// It is among those that may have received another complete request.
    pub(crate) is_queued: bool,
    /// Valid requests received.
    pub(crate) request_count: u64,
    /// When it connected, or the request that is being received began.
    pub(crate) receiving_since: Micros,
    /// When its last response was completed, or its write side shut down.
    pub(crate) last_active: Micros,
    /// Since when the client has not taken any output.
    pub(crate) write_blocked_since: Option<Micros>,
    /// Buffered input bytes, as last added to the node's total.
    pub(crate) accounted_bytes: usize,
    pub(crate) interest: Interest,
}

/// Timeouts of client connections.
pub(crate) struct ClientTimeouts {
    /// A request has to arrive within this time.
    pub(crate) receive: Micros,
    /// A connection may be idle for this time.
    pub(crate) idle: Micros,
    /// Some of the output has to be taken within this time.
    pub(crate) write: Micros,
    /// The node is draining, and idle connections are closed.
    pub(crate) close_idle: bool,
}

impl ClientConnection {
    pub(crate) fn new(stream: TcpStream, now: Micros) -> ClientConnection {
        ClientConnection {
            stream,
            reader: RequestReader::new(MAX_HEAD_BYTES, MAX_BODY_BYTES),
            arrivals: ArrivalTimes::default(),
            output: Vec::new(),
            written_bytes: 0,
            state: ClientState::Receiving,
            streaming: false,
            close_after_response: false,
            write_shut_down: false,
            close_when_idle: false,
            is_queued: false,
            request_count: 0,
            receiving_since: now,
            last_active: now,
            write_blocked_since: None,
            accounted_bytes: 0,
            interest: Interest::IN | Interest::RDHUP,
        }
    }

    /// Whether more is read: also behind a request in flight, so that the arrival time of the next one is
    /// known. Guards against one client that fills the memory with what it sends at full speed.
    pub(crate) fn wants_input(&self) -> bool {
        self.state == ClientState::Closing || self.reader.unparsed_bytes() < MAX_READ_AHEAD_BYTES
    }

    /// Whether its next request may be parsed. Guards against one client that fills the memory with responses
    /// that it does not read.
    pub(crate) fn accepts_responses(&self) -> bool {
        self.unwritten_bytes() <= MAX_OUTPUT_BYTES
    }

    /// Whether its next request may be parsed now.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.state == ClientState::Receiving && self.accepts_responses()
    }

    /// Whether an event shows that the client has disconnected. The end of its sending counts as that (a
    /// half-closed connection is not served), also where bytes before it have not been read: a request
    /// among them must not start, as nobody waits for it. Only the end of a response is still written.
    pub(crate) fn has_disconnected(&self, events: Interest) -> bool {
        let half_closed = events.contains(Interest::RDHUP) && self.state != ClientState::Closing;
        half_closed || events.intersects(Interest::ERR | Interest::HUP)
    }

    /// Output bytes that have not been written.
    pub(crate) fn unwritten_bytes(&self) -> usize {
        self.output.len() - self.written_bytes
    }

    /// What the close guard checks. After the node's own end of the connection no request is answered, so
    /// that unread bytes do not count.
    pub(crate) fn facts(&self) -> ConnectionFacts {
        ConnectionFacts {
            answer_pending: matches!(self.state, ClientState::Active(_)),
            unwritten_bytes: self.unwritten_bytes(),
            has_unread_input: self.state == ClientState::Receiving && has_unread_bytes(&self.stream),
        }
    }

    /// The timeout that has expired, if any.
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
        // Its next requests wait until it takes the responses before them.
        if !self.accepts_responses() {
            return None;
        }
        let is_late = now >= self.receiving_since + timeouts.receive;
        if self.reader.is_partial() {
            return is_late.then_some(CloseReason::ReceiveTimeout);
        }
        // The response before has not been taken: the write timeout applies.
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

/// Whether unread bytes are in the socket's buffer; the end of the stream does not count.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    loop {
        match stream.peek(&mut [0; 1]) {
            Ok(count) => return count > 0,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
}
