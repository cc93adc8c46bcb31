//! The state of an engine connection.

use std::io::{ErrorKind, IoSlice, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use pintally::interface::{AttemptNumber, EngineId, Micros, RequestId};
use pintally_engine::Step;
use pintally_host::RequestNumber;
use pintally_platform::{EngineResponseReader, Phase};

use crate::poller::Interest;

/// The end of a reused connection within this time of its request was caused before it was reused.
const STALE_CLOSE_WITHIN: Micros = 30_000;

/// What an engine connection is used for.
pub(crate) enum Work {
    Attempt(AttemptWork),
    Release {
        id: RequestId,
        engine: EngineId,
        timeout_at: Micros,
    },
    /// Nothing is written: that it connects shows that the engine's machine is up.
    ConnectionProbe {
        number: RequestNumber,
        attempt: AttemptNumber,
    },
}

/// An attempt on an engine connection.
pub(crate) struct AttemptWork {
    pub(crate) number: RequestNumber,
    pub(crate) attempt: AttemptNumber,
    pub(crate) step: Step,
    pub(crate) timeout_at: Micros,
    /// The first event has arrived.
    pub(crate) has_started: bool,
}

/// The request on an engine connection, and how much of it is written.
#[derive(Default)]
pub(crate) struct OutgoingRequest {
    pub(crate) head: Vec<u8>,
    pub(crate) body: Option<Rc<[u8]>>,
    written_bytes: usize,
}

impl OutgoingRequest {
    pub(crate) fn new(head: Vec<u8>, body: Option<Rc<[u8]>>) -> OutgoingRequest {
        OutgoingRequest { head, body, written_bytes: 0 }
    }

    pub(crate) fn body_bytes(&self) -> usize {
        self.body.as_ref().map_or(0, |body| body.len())
    }

    fn is_written(&self) -> bool {
        self.written_bytes == self.head.len() + self.body_bytes()
    }

    /// The parts of the head and of the body that are not written.
    fn unwritten(&self) -> [IoSlice<'_>; 2] {
        let head = &self.head[self.written_bytes.min(self.head.len())..];
        let body = self.body.as_deref().unwrap_or(&[]);
        let body = &body[self.written_bytes.saturating_sub(self.head.len())..];
        [IoSlice::new(head), IoSlice::new(body)]
    }
}

/// An engine connection.
pub(crate) struct EngineConnection {
    pub(crate) stream: TcpStream,
    pub(crate) address: SocketAddr,
    /// The engine for which it was last used.
    pub(crate) engine: EngineId,
    pub(crate) is_connected: bool,
    /// By when it has to be connected.
    pub(crate) connect_deadline: Micros,
    pub(crate) request: OutgoingRequest,
    pub(crate) reader: EngineResponseReader,
    pub(crate) work: Option<Work>,
    /// How long it had been idle before that work; none if it was opened for it.
    pub(crate) idle_before: Option<Micros>,
    /// When something was last received, or its use last changed.
    pub(crate) last_active: Micros,
    /// Its client is slow: nothing is read for now.
    pub(crate) is_paused: bool,
    /// When its stream last progressed by an event, or could not because of its client.
    pub(crate) last_progress: Micros,
    pub(crate) interest: Interest,
    /// When it is checked, if there is no event before.
    pub(crate) deadline: Micros,
}

impl EngineConnection {
    /// Whether the request's last byte has been written.
    pub(crate) fn is_written(&self) -> bool {
        self.is_connected && self.request.is_written()
    }

    /// How much of the request was sent, for the table of outcomes.
    pub(crate) fn phase(&self) -> Phase {
        if self.is_written() {
            Phase::Written
        } else {
            Phase::Unwritten
        }
    }

    /// Writes the request until all is written or the socket's buffer is full.
    pub(crate) fn write_request(&mut self) -> std::io::Result<()> {
        while !self.request.is_written() {
            match self.stream.write_vectored(&self.request.unwritten()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.request.written_bytes += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Whether the socket has neither unread bytes nor an end or error.
    pub(crate) fn is_quiet(&self) -> bool {
        matches!(self.stream.peek(&mut [0; 1]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// How long a reused connection had been idle that ends at once and without a byte of a response: its
    /// engine's side had closed it before it was reused. One that ends later failed under its request.
    pub(crate) fn stale_idle_time(&self, now: Micros) -> Option<Micros> {
        let ended_at_once = self.reader.is_untouched() && now < self.last_active + STALE_CLOSE_WITHIN;
        self.idle_before.filter(|_| ended_at_once)
    }

    /// When its timeout expires, in its current state.
    pub(crate) fn timeout_at(&self, idle_limit: Micros, stall_timeout: Micros) -> Micros {
        match &self.work {
            None => self.last_active + idle_limit,
            Some(Work::Release { timeout_at, .. }) => *timeout_at,
            Some(Work::ConnectionProbe { .. }) => self.connect_deadline,
            Some(Work::Attempt(work)) if work.has_started => self.last_progress + stall_timeout,
            Some(Work::Attempt(work)) if self.is_connected => work.timeout_at,
            Some(Work::Attempt(work)) => self.connect_deadline.min(work.timeout_at),
        }
    }
}
