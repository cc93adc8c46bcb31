//! Readiness of engine connections: connecting, writing requests, reading responses.

use std::io::{ErrorKind, Read};

use pintally::interface::Outcome;
use pintally_platform::{encode_attempt_head, outcome_of_failure, ResponseEvent};

use crate::connection::{Connection, ConnectionKey};
use crate::engine_connection::Work;
use crate::node::Node;
use crate::poller::Interest;

/// Reads of one connection in one iteration.
const MAX_READS_PER_ITERATION: usize = 4;
/// Bytes of one read: by which a slow client's output may exceed its limit.
const MAX_READ_BYTES: usize = 16 << 10;

/// What follows a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadProgress {
    /// More may be there.
    Continue,
    /// Nothing more is there for now.
    Drained,
}

impl Node {
    pub(crate) fn handle_engine_event(&mut self, key: ConnectionKey, events: Interest) {
        let Some(connection) = self.engine_mut(key) else { return };
        if connection.is_connected {
            if events.contains(Interest::OUT) {
                self.write_engine(key);
            }
            if events.intersects(Interest::IN | Interest::RDHUP | Interest::HUP | Interest::ERR) {
                self.read_engine(key);
            }
        } else {
            self.finish_connect(key, events);
        }
        self.drain_inputs();
    }

    /// Handles the first event of a connection: it is established, or has failed.
    fn finish_connect(&mut self, key: ConnectionKey, events: Interest) {
        let Some(connection) = self.engine_mut(key) else { return };
        let has_failed = !matches!(connection.stream.take_error(), Ok(None));
        if has_failed || events.intersects(Interest::ERR | Interest::HUP) {
            return self.connection_failed(key);
        }
        connection.is_connected = true;
        if let Some(Work::ConnectionProbe { number, attempt }) = connection.work {
            return self.connection_probe_succeeded(key, number, attempt);
        }
        if !self.may_still_start(key) {
            return;
        }
        self.refresh_remaining_time(key);
        self.schedule_deadline(key);
        self.write_engine(key);
    }

    /// Whether the attempt of a connection that was established, perhaps late, may still start. One that may not
    /// is abandoned, and was never sent.
    fn may_still_start(&mut self, key: ConnectionKey) -> bool {
        let now = self.clock.now();
        let Some(Connection::Engine(connection)) = self.connections.get(key) else { return false };
        let Some(Work::Attempt(work)) = &connection.work else { return true };
        let Err(denial) = self.host.may_start(now, work.number) else { return true };
        tracing::debug!(request = work.number, attempt = work.attempt, engine = %connection.engine.0,
            reason = %denial, "attempt not sent: connection established too late");
        self.abandon(key, Outcome::Unreachable);
        false
    }

    /// Updates the attempt's head when its connection was established, perhaps late: the engine gets the time
    /// that is left to the client now, not what was left when the connection was opened.
    fn refresh_remaining_time(&mut self, key: ConnectionKey) {
        let now = self.clock.now();
        let Some(Connection::Engine(connection)) = self.connections.get_mut(key) else { return };
        let Some(Work::Attempt(work)) = &connection.work else { return };
        let Some(request) = self.requests.get(work.number) else { return };
        let remaining_ms = work.timeout_at.saturating_sub(now) / 1000;
        let body_bytes = connection.request.body_bytes();
        connection.request.head = encode_attempt_head(&request.head, remaining_ms, body_bytes);
    }

    /// Writes the rest of the request.
    pub(crate) fn write_engine(&mut self, key: ConnectionKey) {
        let Some(connection) = self.engine_mut(key) else { return };
        if !connection.is_connected || connection.work.is_none() {
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
            if connection.is_paused { Interest::empty() } else { Interest::IN | Interest::RDHUP };
        if connection.work.is_some() && !connection.is_written() {
            interest |= Interest::OUT;
        }
        self.set_interest(key, interest);
    }

    fn read_engine(&mut self, key: ConnectionKey) {
        let mut events = Vec::new();
        for _ in 0..MAX_READS_PER_ITERATION {
            let Some(progress) = self.read_response(key, &mut events) else { return };
            for event in events.drain(..) {
                self.handle_response_event(key, event);
            }
            // Guards against memory that fills with what a slow client has yet to take.
            let is_paused = self.engine_mut(key).is_none_or(|connection| connection.is_paused);
            if progress == ReadProgress::Drained || is_paused {
                return;
            }
        }
    }

    /// Reads once and parses; none if there is nothing to handle.
    fn read_response(&mut self, key: ConnectionKey, events: &mut Vec<ResponseEvent>) -> Option<ReadProgress> {
        let now = self.clock.now();
        let names = &self.config.settings.labels;
        let Some(Connection::Engine(connection)) = self.connections.get_mut(key) else { return None };
        if connection.work.is_none() {
            // Bytes on a connection that is not in use are no response to anything.
            self.close_engine(key);
            return None;
        }
        let buffer = &mut self.read_buffer[..MAX_READ_BYTES];
        match connection.stream.read(buffer) {
            Ok(0) => {
                if let Some(idle) = connection.stale_idle_time(now) {
                    self.engines.idle_limit.record_close(now, idle);
                }
                connection.reader.closed(names, events);
                Some(ReadProgress::Drained)
            }
            Ok(count) => {
                connection.last_active = now;
                connection.reader.push(&buffer[..count], names, events);
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
        // Guards against a reservation that remains for an attempt at an engine that is gone: a machine that
        // is up again, or whose engine is down, refuses, and what its engine had before is silent for ever.
        if matches!(connection.work, Some(Work::ConnectionProbe { .. })) {
            return self.close_engine(key);
        }
        let phase = connection.phase();
        if let Some(idle) = connection.stale_idle_time(now) {
            self.engines.idle_limit.record_close(now, idle);
        }
        self.abandon(key, outcome_of_failure(phase, false));
    }
}
