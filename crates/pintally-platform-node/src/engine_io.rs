//! Readiness events of engine connections: connecting, writing requests, reading responses.

use std::io::{ErrorKind, Read};

use pintally::interface::Outcome;
use pintally_platform::{encode_attempt_head, outcome_of_failure, ResponseEvent};

use crate::connection::{Connection, ConnectionKey};
use crate::engine_connection::EngineCall;
use crate::event_source::EventSource;
use crate::node::Node;
use crate::poller::EventFlags;

/// Maximum number of reads of one connection in one iteration.
const MAX_READS_PER_ITERATION: usize = 4;
/// Maximum number of bytes of one read; a slow client's output may exceed its limit by this much.
const MAX_READ_BYTES: usize = 16 << 10;

/// Whether to read again after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadProgress {
    /// More input may be available.
    Continue,
    /// No more input is available for now.
    Drained,
}

impl Node {
    pub(crate) fn handle_engine_event(&mut self, key: ConnectionKey, events: EventFlags) {
        let Some(connection) = self.engine_mut(key) else { return };
        if connection.is_connected {
            if events.contains(EventFlags::OUT) && self.confirm_client_of(key) {
                self.write_engine(key);
            }
            if events.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR) {
                self.read_engine(key);
            }
        } else {
            self.finish_connect(key, events);
        }
        self.drain_inputs();
    }

    /// Handles the first event of a connection: it is established, or has failed.
    fn finish_connect(&mut self, key: ConnectionKey, events: EventFlags) {
        let Some(connection) = self.engine_mut(key) else { return };
        let has_failed = !matches!(connection.stream.take_error(), Ok(None));
        if has_failed || events.intersects(EventFlags::ERR | EventFlags::HUP) {
            return self.connection_failed(key);
        }
        connection.is_connected = true;
        if let Some(EngineCall::ConnectionProbe { number, attempt }) = connection.call {
            return self.connection_probe_succeeded(key, number, attempt);
        }
        if !self.check_may_still_start(key) || !self.confirm_client_of(key) {
            return;
        }
        self.refresh_remaining_time(key);
        self.schedule_deadline(key);
        self.write_engine(key);
    }

    /// Checks whether the attempt on a newly established connection may still be sent, because the connection
    /// may have taken too long. If it may not, abandons the attempt and returns `false`.
    fn check_may_still_start(&mut self, key: ConnectionKey) -> bool {
        let now = self.clock.now();
        let Some(Connection::Engine(connection)) = self.connections.get(key) else { return false };
        let Some(EngineCall::Attempt(call)) = &connection.call else { return true };
        let Err(denial) = self.host.may_start(now, call.number) else { return true };
        tracing::debug!(request = call.number, attempt = call.attempt, engine = %connection.engine.0,
            reason = %denial, "attempt not sent: connection established too late");
        self.abandon(key, Outcome::Unreachable);
        false
    }

    /// Updates the remaining time in the attempt's head once its connection is established: the engine gets
    /// the time that is left now, not the time that was left when the connection was opened.
    fn refresh_remaining_time(&mut self, key: ConnectionKey) {
        let now = self.clock.now();
        let Some(Connection::Engine(connection)) = self.connections.get_mut(key) else { return };
        let Some(EngineCall::Attempt(call)) = &connection.call else { return };
        let Some(request) = self.requests.get(call.number) else { return };
        let remaining_ms = call.timeout_at.saturating_sub(now) / 1000;
        let body_bytes = connection.request.body_bytes();
        connection.request.head = encode_attempt_head(&request.head, remaining_ms, body_bytes);
    }

    /// Writes the rest of the request.
    pub(crate) fn write_engine(&mut self, key: ConnectionKey) {
        let Some(connection) = self.engine_mut(key) else { return };
        if !connection.is_connected || connection.call.is_none() {
            return;
        }
        match connection.write_request() {
            Ok(()) => self.update_engine_interest(key),
            Err(_) => self.connection_failed(key),
        }
    }

    /// Registers the connection for the events that its state needs.
    pub(crate) fn update_engine_interest(&mut self, key: ConnectionKey) {
        let Some(connection) = self.engine_mut(key) else { return };
        let mut interest =
            if connection.is_paused { EventFlags::empty() } else { EventFlags::IN | EventFlags::RDHUP };
        if connection.call.is_some() && !connection.is_written() {
            interest |= EventFlags::OUT;
        }
        self.set_interest(key, interest);
    }

    /// Reads from a connection and handles the response events, until the input is drained, the connection is
    /// paused or the maximum number of reads is reached.
    fn read_engine(&mut self, key: ConnectionKey) {
        let mut events = Vec::new();
        for _ in 0..MAX_READS_PER_ITERATION {
            let Some(progress) = self.read_response(key, &mut events) else { return };
            for event in events.drain(..) {
                self.handle_response_event(key, event);
            }
            self.update_engine_held_bytes(key);
            if self.exceeds_memory(key) {
                tracing::debug!(
                    connection = EventSource::Connection(key).token(),
                    "response abandoned: no memory"
                );
                return self.connection_failed(key);
            }
            // Guards against memory that fills up with output that a slow client has not read.
            let is_paused = self.engine_mut(key).is_none_or(|connection| connection.is_paused);
            if progress == ReadProgress::Drained || is_paused {
                return;
            }
        }
    }

    /// Reads once and parses the input. Returns `None` if there is nothing to handle: no input was available,
    /// or this node has closed the connection.
    fn read_response(&mut self, key: ConnectionKey, events: &mut Vec<ResponseEvent>) -> Option<ReadProgress> {
        let now = self.clock.now();
        let labels = &self.config.settings.labels;
        let Some(Connection::Engine(connection)) = self.connections.get_mut(key) else { return None };
        if connection.call.is_none() {
            // An idle connection has received bytes, which belong to no request, or was closed by the engine.
            self.close_engine(key);
            return None;
        }
        let buffer = &mut self.read_buffer[..MAX_READ_BYTES];
        match connection.stream.read(buffer) {
            Ok(0) => {
                if let Some(idle) = connection.stale_idle_time(now) {
                    self.engines.idle_limit.record_close(now, idle);
                }
                connection.reader.connection_closed(labels, events);
                Some(ReadProgress::Drained)
            }
            Ok(count) => {
                connection.last_active = now;
                connection.reader.push(&buffer[..count], labels, events);
                let is_full = count == buffer.len();
                Some(if is_full { ReadProgress::Continue } else { ReadProgress::Drained })
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => Some(ReadProgress::Continue),
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            Err(_) => {
                self.connection_failed(key);
                None
            }
        }
    }

    /// Handles a connection that has failed.
    pub(crate) fn connection_failed(&mut self, key: ConnectionKey) {
        let now = self.clock.now();
        let Some(Connection::Engine(connection)) = self.connections.get(key) else { return };
        // A refused probe does not confirm that the attempt was delivered. A machine that has restarted, or
        // whose engine is down, refuses connections, and attempts that its engine had before get no response.
        // If a refusal counted as confirmation, a reservation would be kept for an attempt at such an engine.
        if matches!(connection.call, Some(EngineCall::ConnectionProbe { .. })) {
            return self.close_engine(key);
        }
        let phase = connection.phase();
        if let Some(idle) = connection.stale_idle_time(now) {
            self.engines.idle_limit.record_close(now, idle);
        }
        self.abandon(key, outcome_of_failure(phase, false));
    }
}
