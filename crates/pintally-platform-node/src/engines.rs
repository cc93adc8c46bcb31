//! Connections to engines: requests out, answers in, and the times by which things have to happen.

use std::io::{ErrorKind, IoSlice, Read, Write};
use std::time::Duration;

use pintally::interface::{Attempt, Micros, Outcome};
use pintally_guards::CloseReason;
use pintally_host::{Input, RequestNumber};
use pintally_platform::{encode_attempt_head, outcome_of_failure, ResponseEvent};
use socket2::SockRef;

use crate::conn::{Conn, Engine, Key, Work};
use crate::node::Node;
use crate::poll::Flags;

/// Word of a connection that was ended before it was used comes within this time.
const AT_ONCE: Micros = 30_000;
/// Reads of one connection in one turn.
const MAX_READS: usize = 4;
/// Bytes of one read: what a slow client's connection may hold beyond its bound.
const READ_BYTES: usize = 16 << 10;

impl Node {
    fn engine(&mut self, key: Key) -> Option<&mut Engine> {
        match self.conns.get_mut(key) {
            Some(Conn::Engine(e)) => Some(e),
            _ => None,
        }
    }

    pub(crate) fn engine_event(&mut self, key: Key, flags: Flags) {
        let Some(conn) = self.engine(key) else { return };
        if !conn.up {
            let failed = !matches!(conn.stream.take_error(), Ok(None));
            if failed || flags.intersects(Flags::ERR | Flags::HUP) {
                self.broken(key);
                return self.work_off();
            }
            conn.up = true;
            if let Some(Work::ConnectionProbe { ticket, attempt }) = conn.work {
                self.connection_probe_answered(key, ticket, attempt);
                return self.work_off();
            }
            if !self.may_still_start(key) {
                return self.work_off();
            }
            self.tell_what_is_left(key);
            self.watch_over(key);
            self.engine_writes(key);
            return self.work_off();
        }
        if flags.contains(Flags::OUT) {
            self.engine_writes(key);
        }
        if flags.intersects(Flags::IN | Flags::RDHUP | Flags::HUP | Flags::ERR) {
            self.engine_reads(key);
        }
        self.work_off();
    }

    /// A connection has come up, perhaps late: whether the attempt that it was opened for may still start. One that may
    /// not is given up, and was never sent.
    fn may_still_start(&mut self, key: Key) -> bool {
        let now = self.clock.now();
        let Some(Conn::Engine(conn)) = self.conns.get(key) else { return false };
        let Some(Work::Attempt { ticket, attempt, .. }) = conn.work else { return true };
        let Err(denial) = self.host.may_start(now, ticket) else { return true };
        tracing::debug!(ticket, attempt, engine = %conn.engine.0, %denial,
            "an attempt whose connection came up late is not sent");
        self.give_up(key, Outcome::Unreachable);
        false
    }

    /// A connection that was opened for an attempt has come up, perhaps late: the engine is told what is
    /// left to the client now, not what was left when the connection was begun.
    fn tell_what_is_left(&mut self, key: Key) {
        let now = self.clock.now();
        let Some(Conn::Engine(conn)) = self.conns.get_mut(key) else { return };
        let Some(Work::Attempt { ticket, timeout_at, .. }) = &conn.work else { return };
        let Some(job) = self.jobs.get(ticket) else { return };
        let left_ms = timeout_at.saturating_sub(now) / 1000;
        conn.head = encode_attempt_head(&job.head, left_ms, conn.body.as_ref().map_or(0, |body| body.len()));
    }

    /// Writes what is left of the request.
    pub(crate) fn engine_writes(&mut self, key: Key) {
        loop {
            let Some(conn) = self.engine(key).filter(|c| c.up && c.work.is_some()) else { return };
            if conn.written() {
                break;
            }
            let head = &conn.head[conn.gone.min(conn.head.len())..];
            let body = conn.body.as_deref().unwrap_or(&[]);
            let body = &body[conn.gone.saturating_sub(conn.head.len())..];
            match conn.stream.write_vectored(&[IoSlice::new(head), IoSlice::new(body)]) {
                Ok(0) => return self.broken(key),
                Ok(n) => conn.gone += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return self.broken(key),
            }
        }
        self.engine_waits(key);
    }

    fn engine_waits(&mut self, key: Key) {
        let Some(conn) = self.engine(key) else { return };
        let mut flags = if conn.paused { Flags::empty() } else { Flags::IN | Flags::RDHUP };
        if conn.work.is_some() && !conn.written() {
            flags |= Flags::OUT;
        }
        self.interest(key, flags);
    }

    fn engine_reads(&mut self, key: Key) {
        let mut told = Vec::new();
        for _ in 0..MAX_READS {
            let now = self.clock.now();
            let names = &self.config.settings.names;
            let Some(Conn::Engine(conn)) = self.conns.get_mut(key) else { return };
            if conn.work.is_none() {
                // What comes of a connection that is not in use is no answer to anything.
                return self.close_engine(key);
            }
            let buffer = &mut self.buffer[..READ_BYTES];
            let full = match conn.stream.read(buffer) {
                Ok(0) => {
                    if let Some(idle) = stale(conn, now) {
                        self.keep.ended(now, idle);
                    }
                    conn.reader.closed(names, &mut told);
                    false
                }
                Ok(n) => {
                    conn.last = now;
                    conn.reader.push(&buffer[..n], names, &mut told);
                    n == buffer.len()
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => true,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.broken(key),
            };
            for progress in told.drain(..) {
                self.progress(key, progress);
            }
            // Guards against memory that fills with what a slow client has yet to take.
            let paused = self.engine(key).is_none_or(|conn| conn.paused);
            if !full || paused {
                return;
            }
        }
    }

    fn progress(&mut self, key: Key, progress: ResponseEvent) {
        let now = self.clock.now();
        let Some(conn) = self.engine(key) else { return };
        match progress {
            ResponseEvent::Ended { outcome, cached_tokens, load, reusable } => {
                // Guards against a request that never arrived whole being taken for one that ran.
                let outcome = match outcome {
                    Outcome::ConnectionBroken => outcome_of_failure(conn.phase(), false),
                    other => other,
                };
                // A release is heard by whatever status that says so; an attempt has its table.
                let outcome = match &conn.work {
                    Some(Work::Release { .. }) if conn.reader.is_success() => Outcome::Served,
                    _ => outcome,
                };
                self.end_attempt(key, outcome, cached_tokens, load, reusable);
            }
            ResponseEvent::Events(events) => {
                let Some(Work::Attempt { ticket, attempt, begun, .. }) = &mut conn.work else { return };
                let (ticket, attempt) = (*ticket, *attempt);
                conn.progressed = now;
                if !std::mem::replace(begun, true) {
                    let engine = conn.engine.clone();
                    self.tallies.entry(engine).or_default().begun += 1;
                    self.watch_over(key);
                    tracing::debug!(ticket, attempt, bytes = events.len(), "an answer begins");
                    // The body is not needed any more: what has begun is not sent again.
                    if let Some(job) = self.jobs.get_mut(&ticket) {
                        self.bytes -= job.body.len();
                        job.body = std::rc::Rc::from([]);
                    }
                    self.feed(Input::FirstToken(ticket, attempt));
                }
                let Some(slow) = self.pass_on(ticket, &events) else {
                    return self.give_up(key, Outcome::Cancelled);
                };
                if slow {
                    if let Some(conn) = self.engine(key) {
                        conn.paused = true;
                    }
                    self.engine_waits(key);
                }
            }
        }
    }

    /// The client has taken what was written: its stream goes on.
    pub(crate) fn resume(&mut self, ticket: RequestNumber) {
        let Some((_, key)) = self.jobs.get(&ticket).and_then(|job| job.out) else { return };
        let now = self.clock.now();
        let Some(conn) = self.engine(key).filter(|c| c.paused) else { return };
        conn.paused = false;
        conn.last = now;
        conn.progressed = now;
        self.engine_waits(key);
    }

    /// A connection probe was answered.
    pub(crate) fn connection_probe_answered(&mut self, key: Key, ticket: RequestNumber, attempt: Attempt) {
        if let Some(conn) = self.engine(key) {
            conn.work = None;
        }
        self.done_with(key, true);
        if self.is_written(ticket, attempt) {
            self.inputs.push_back(Input::DeliveryConfirmed(ticket, attempt));
        }
    }

    /// The connection has failed.
    fn broken(&mut self, key: Key) {
        let now = self.clock.now();
        let Some(conn) = self.engine(key) else { return };
        // Guards against a state that stays held for an attempt at an engine that is gone: a machine that
        // is back, or whose engine is down, refuses, and what its engine had before is silent for ever.
        if matches!(conn.work, Some(Work::ConnectionProbe { .. })) {
            return self.close_engine(key);
        }
        let phase = conn.phase();
        if let Some(idle) = stale(conn, now) {
            self.keep.ended(now, idle);
        }
        self.give_up(key, outcome_of_failure(phase, false));
    }

    /// A connection is not in use any more: a sound one is kept unless the node is about to end.
    pub(crate) fn done_with(&mut self, key: Key, sound: bool) {
        match sound && self.stopping.is_none() {
            true => self.keep(key),
            false => self.close_engine(key),
        }
    }

    /// Keeps a sound connection for the next request.
    fn keep(&mut self, key: Key) {
        let now = self.clock.now();
        let Some(conn) = self.engine(key) else { return };
        conn.last = now;
        conn.paused = false;
        conn.head = Vec::new();
        conn.body = None;
        conn.gone = 0;
        let address = conn.address;
        self.pool.put(now, address, key);
        self.watch_over(key);
        self.engine_waits(key);
    }

    /// Ends a connection whose work was given up, with a reset. Guards against bytes that wait in the system for an engine
    /// that is cut off or does not read: behind an ordinary close they would still arrive, and the attempt or the
    /// release would begin when nobody counts on it any more.
    pub(crate) fn abort_engine(&mut self, key: Key) {
        if let Some(Conn::Engine(conn)) = self.conns.get(key) {
            // Where the system cannot, the ordinary close is what is left.
            let _ = SockRef::from(&conn.stream).set_linger(Some(Duration::ZERO));
        }
        self.close_engine(key);
    }

    pub(crate) fn close_engine(&mut self, key: Key) {
        if let Some(Conn::Engine(conn)) = self.conns.remove(key) {
            self.pool.remove(conn.address, key);
            self.due.remove(&(conn.due, key));
        }
    }

    /// Sees to it that the loop looks at a connection when its time may have run out.
    pub(crate) fn watch_over(&mut self, key: Key) {
        let (idle, stall) = (self.keep.limit(self.clock.now()), self.settings.limits.stall_timeout);
        let Some(Conn::Engine(conn)) = self.conns.get_mut(key) else { return };
        let due = runs_out(conn, idle, stall);
        if due != conn.due {
            self.due.remove(&(conn.due, key));
            conn.due = due;
            self.due.insert((due, key));
        }
    }

    /// Ends what has run out of time.
    pub(crate) fn expire(&mut self, now: Micros) {
        let (idle, stall) = (self.keep.limit(now), self.settings.limits.stall_timeout);
        while let Some(&(at, key)) = self.due.first().filter(|d| d.0 <= now) {
            let Some(Conn::Engine(conn)) = self.conns.get(key) else {
                self.due.remove(&(at, key));
                continue;
            };
            if runs_out(conn, idle, stall) > now {
                self.watch_over(key);
                continue;
            }
            let phase = conn.phase();
            match &conn.work {
                None => self.close_engine(key),
                Some(Work::Release { .. }) => self.give_up(key, Outcome::TimedOut),
                Some(Work::ConnectionProbe { .. }) => self.close_engine(key),
                Some(Work::Attempt { begun: true, ticket, .. }) => {
                    let (ticket, paused) = (*ticket, conn.paused);
                    // A stream that waits for its client is ended as the client's, not as the engine's.
                    match self.jobs.get(&ticket).and_then(|j| j.client).filter(|_| paused) {
                        Some(client) => self.client_gone(client, CloseReason::Stuck),
                        None => self.give_up(key, Outcome::ConnectionBroken),
                    }
                }
                Some(Work::Attempt { .. }) => {
                    self.give_up(key, outcome_of_failure(phase, true));
                }
            }
            self.work_off();
        }
    }
}

/// How long a kept connection had been idle that ends at once and without a byte of an answer: its
/// engine's side had ended it before it was used. One that ends later broke under its request.
fn stale(conn: &Engine, now: Micros) -> Option<Micros> {
    conn.idle.filter(|_| conn.reader.is_untouched() && now < conn.last + AT_ONCE)
}

/// When a connection's time runs out, as it stands.
fn runs_out(conn: &Engine, idle: Micros, stall: Micros) -> Micros {
    match &conn.work {
        None => conn.last + idle,
        Some(Work::Release { until, .. }) => *until,
        Some(Work::ConnectionProbe { .. }) => conn.connect_by,
        Some(Work::Attempt { begun: true, .. }) => conn.progressed + stall,
        Some(Work::Attempt { timeout_at, .. }) if conn.up => *timeout_at,
        Some(Work::Attempt { timeout_at, .. }) => conn.connect_by.min(*timeout_at),
    }
}
