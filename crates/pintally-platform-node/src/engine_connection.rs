//! The state of an engine connection.

use std::io::{ErrorKind, IoSlice, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use pintally::interface::{AttemptNumber, EngineId, Micros, RequestId};
use pintally_engine::Step;
use pintally_host::RequestNumber;
use pintally_platform::{EngineResponseReader, Phase};

use crate::poller::EventFlags;
use crate::socket_buffers::SendLimit;

/// If a reused connection ends within this time of its request, its engine had closed it before the reuse.
const STALE_CLOSE_WITHIN: Micros = 30_000;

/// The call that an engine connection is used for.
pub(crate) enum EngineCall {
    Attempt(AttemptCall),
    Release {
        id: RequestId,
        engine: EngineId,
        timeout_at: Micros,
    },
    /// Nothing is written: an established connection shows that the engine's machine is up.
    ConnectionProbe {
        number: RequestNumber,
        attempt: AttemptNumber,
    },
}

/// An attempt on an engine connection.
pub(crate) struct AttemptCall {
    pub(crate) number: RequestNumber,
    pub(crate) attempt: AttemptNumber,
    pub(crate) step: Step,
    pub(crate) timeout_at: Micros,
    /// The first event of the stream has arrived.
    pub(crate) has_started: bool,
}

/// The request on an engine connection, and how much of it has been written.
#[derive(Default)]
pub(crate) struct OutgoingRequest {
    pub(crate) head: Vec<u8>,
    body: Option<Rc<[u8]>>,
    written_bytes: usize,
}

impl OutgoingRequest {
    pub(crate) fn new(head: Vec<u8>, body: Option<Rc<[u8]>>) -> OutgoingRequest {
        OutgoingRequest { head, body, written_bytes: 0 }
    }

    pub(crate) fn body_bytes(&self) -> usize {
        self.body.as_ref().map_or(0, |body| body.len())
    }

    /// Whether nothing is left to write.
    fn is_written(&self) -> bool {
        self.written_bytes == self.head.len() + self.body_bytes()
    }

    /// Records that bytes were written. Once all are written, frees the request: its body would otherwise stay in
    /// memory until the end of the response.
    fn record_written(&mut self, count: usize) {
        self.written_bytes += count;
        if self.is_written() {
            *self = OutgoingRequest::default();
        }
    }

    /// The first bytes of the head and of the body that have not been written, at most `max_bytes` together.
    fn unwritten(&self, max_bytes: usize) -> [IoSlice<'_>; 2] {
        let head = &self.head[self.written_bytes.min(self.head.len())..];
        let head = &head[..head.len().min(max_bytes)];
        let body = self.body.as_deref().unwrap_or(&[]);
        let body = &body[self.written_bytes.saturating_sub(self.head.len())..];
        let body = &body[..body.len().min(max_bytes - head.len())];
        [IoSlice::new(head), IoSlice::new(body)]
    }
}

/// An engine connection.
pub(crate) struct EngineConnection {
    pub(crate) stream: TcpStream,
    pub(crate) address: SocketAddr,
    /// The engine for which the connection was last used.
    pub(crate) engine: EngineId,
    pub(crate) is_connected: bool,
    /// When the connect timeout expires.
    pub(crate) connect_deadline: Micros,
    pub(crate) request: OutgoingRequest,
    pub(crate) send_limit: SendLimit,
    pub(crate) reader: EngineResponseReader,
    pub(crate) call: Option<EngineCall>,
    /// How long the connection had been idle before the call; none if it was opened for the call.
    pub(crate) idle_before: Option<Micros>,
    /// When bytes were last received, a call last started or ended, or reading was last resumed.
    pub(crate) last_active: Micros,
    /// Reading is paused because the client is slow.
    pub(crate) is_paused: bool,
    /// When the last event of the stream arrived, or reading resumed after a pause.
    pub(crate) last_progress: Micros,
    pub(crate) interest: EventFlags,
    /// When the timeout of the connection is checked next.
    pub(crate) deadline: Micros,
    /// Number of bytes of this connection that the node's memory budget includes.
    pub(crate) held_bytes: usize,
}

impl EngineConnection {
    /// Whether the request's last byte has been written.
    pub(crate) fn is_written(&self) -> bool {
        self.is_connected && self.request.is_written()
    }

    /// Whether the request was written completely, for the mapping to outcomes.
    pub(crate) fn phase(&self) -> Phase {
        if self.is_written() {
            Phase::Written
        } else {
            Phase::Unwritten
        }
    }

    /// Writes the request until all of it is written or the socket takes no more.
    pub(crate) fn write_request(&mut self) -> std::io::Result<()> {
        while !self.request.is_written() {
            let allowed = self.send_limit.allowed_bytes(&self.stream);
            if allowed == 0 {
                return Ok(());
            }
            match self.stream.write_vectored(&self.request.unwritten(allowed)) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.send_limit.record_written(count);
                    self.request.record_written(count);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Whether the socket has no unread bytes, no end of stream and no error.
    pub(crate) fn has_no_input(&self) -> bool {
        matches!(self.stream.peek(&mut [0; 1]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// The idle time before the call if a reused connection ends at once and without a byte of a
    /// response: the engine's side had closed it before it was reused. A connection that ends later
    /// failed during its request.
    pub(crate) fn stale_idle_time(&self, now: Micros) -> Option<Micros> {
        let ended_at_once = self.reader.has_no_bytes() && now < self.last_active + STALE_CLOSE_WITHIN;
        self.idle_before.filter(|_| ended_at_once)
    }

    /// When the timeout for the current state of the connection expires.
    pub(crate) fn timeout_at(&self, idle_limit: Micros, stall_timeout: Micros) -> Micros {
        match &self.call {
            None => self.last_active + idle_limit,
            Some(EngineCall::Release { timeout_at, .. }) => *timeout_at,
            Some(EngineCall::ConnectionProbe { .. }) => self.connect_deadline,
            Some(EngineCall::Attempt(call)) if call.has_started => self.last_progress + stall_timeout,
            Some(EngineCall::Attempt(call)) if self.is_connected => call.timeout_at,
            Some(EngineCall::Attempt(call)) => self.connect_deadline.min(call.timeout_at),
        }
    }
}
