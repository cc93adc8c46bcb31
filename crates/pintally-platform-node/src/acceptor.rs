//! Clients' connections as they come, who is let in, and who goes when descriptors run low.

use std::collections::BTreeMap;
use std::net::TcpStream;

use pintally::interface::Micros;
use pintally_guards::CloseReason;
use pintally_http::RequestReader;
use pintally_platform::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

use crate::arrivals::Arrivals;
use crate::conn::{Client, Conn, Key, Stage};
use crate::node::{Node, LISTENER, OWN_DESCRIPTORS};
use crate::poll::Flags;
use crate::system::{accept_failure, AcceptFailure};

/// Connections accepted in one iteration.
const ACCEPT_MAX: usize = 64;
/// When connections cannot be accepted, the next one is tried after this time.
const ACCEPT_PAUSE: Micros = 5_000;
/// Failures that last so long are no moment's any more: a client makes room.
const FAILING_LONG: Micros = 1_000_000;
/// A connection that has served may be closed after so long without a request.
const QUIET: Micros = 2_000_000;
/// Descriptors that calls which let go can have when clients and attempts have all others: this part of
/// all, and so many at the most.
const CALLS_PART: usize = 16;
const MAX_CALLS: usize = 8;
/// After a signal to stop connections come for so long.
pub(crate) const STILL_COME: Micros = 500_000;

/// How accepting goes.
#[derive(Default)]
pub(crate) struct Accepting {
    /// When it goes on, if it pauses.
    pub(crate) again: Option<Micros>,
    /// Since when every connection has failed to be accepted.
    failing_since: Option<Micros>,
    /// How often it has failed, by error number.
    pub(crate) failures: BTreeMap<i32, u64>,
}

/// How much a client's connection would be missed, the least first; with each kind the oldest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Missed {
    /// All of its last answer is written.
    AttemptEnd(Micros),
    /// It never brought a request.
    Silent(Micros),
    /// It has rested for a while.
    Quiet(Micros),
    /// Its first request has not come whole.
    Partial(Micros),
}

impl Missed {
    /// None if it is in use.
    fn of(client: &Client, now: Micros) -> Option<Missed> {
        if client.unwritten() > 0 {
            return None;
        }
        let partial = client.reader.is_partial();
        match client.stage {
            Stage::Busy(_) => None,
            Stage::Closing => Some(Missed::AttemptEnd(client.used)),
            Stage::Open if client.served == 0 && !partial => Some(Missed::Silent(client.since)),
            Stage::Open if client.served == 0 => Some(Missed::Partial(client.since)),
            Stage::Open if now >= client.used + QUIET && !partial => Some(Missed::Quiet(client.used)),
            Stage::Open => None,
        }
    }
}

impl Node {
    pub(crate) fn accept(&mut self) {
        for _ in 0..ACCEPT_MAX {
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => {
                    self.accepting.failing_since = None;
                    self.welcome(stream);
                }
                Err(e) => match accept_failure(&e) {
                    AcceptFailure::NobodyWaits => return,
                    AcceptFailure::TryNext => self.note_accept_failure(&e),
                    AcceptFailure::OutOfDescriptors => {
                        self.note_accept_failure(&e);
                        self.make_room();
                        return self.pause_accepting();
                    }
                    AcceptFailure::TryLater => {
                        self.note_accept_failure(&e);
                        return self.pause_accepting();
                    }
                },
            }
        }
    }

    fn note_accept_failure(&mut self, error: &std::io::Error) {
        let now = self.clock.now();
        let since = *self.accepting.failing_since.get_or_insert(now);
        *self.accepting.failures.entry(error.raw_os_error().unwrap_or(0)).or_default() += 1;
        if self.quota.allows(now) {
            tracing::warn!(%error, for_ms = (now - since) / 1000, "a connection cannot be accepted");
        }
    }

    /// Descriptors have run out: an idle connection to an engine goes, or else a client's. Guards against clients that
    /// are turned out for a failure that passes by itself: by the node's own count there are descriptors.
    fn make_room(&mut self) {
        let now = self.clock.now();
        let lasts = self.accepting.failing_since.is_some_and(|since| now >= since + FAILING_LONG);
        if !self.close_spare() && (lasts || !self.has_descriptor()) {
            self.evict();
        }
    }

    /// Nobody is accepted for a moment. Guards against a loop that spins on connections that cannot be accepted.
    fn pause_accepting(&mut self) {
        let Some(listener) = &self.listener else { return };
        if self.poll.modify(listener, LISTENER, Flags::empty()).is_ok() {
            self.accepting.again = Some(self.clock.now() + ACCEPT_PAUSE);
        }
    }

    /// Goes on accepting when the pause is over.
    pub(crate) fn resume_accepting(&mut self, now: Micros) {
        if self.accepting.again.is_none_or(|at| now < at) {
            return;
        }
        let Some(listener) = &self.listener else { return self.accepting.again = None };
        match self.poll.modify(listener, LISTENER, Flags::IN) {
            Ok(()) => self.accepting.again = None,
            Err(_) => self.accepting.again = Some(now + ACCEPT_PAUSE),
        }
    }

    /// No connection is accepted any more; those that wait to be are taken before.
    pub(crate) fn stop_accepting(&mut self) {
        self.accept();
        self.accepting.again = None;
        self.listener = None;
    }

    fn welcome(&mut self, stream: TcpStream) {
        let now = self.clock.now();
        // An idle connection to an engine is missed less than a client.
        if !self.has_descriptor() {
            self.close_spare();
        }
        let full = self.clients >= self.settings.limits.max_connections || !self.has_descriptor();
        if full && !self.evict() {
            return;
        }
        if stream.set_nonblocking(true).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        let flags = Flags::IN | Flags::RDHUP;
        let client = Client {
            stream,
            reader: RequestReader::new(MAX_HEAD_BYTES, MAX_BODY_BYTES),
            arrivals: Arrivals::default(),
            out: Vec::new(),
            gone: 0,
            stage: Stage::Open,
            streaming: false,
            last: false,
            shut: false,
            ends_at_rest: false,
            ready: false,
            served: 0,
            since: now,
            used: now,
            stuck: None,
            counted: 0,
            flags,
        };
        if self.enter(Conn::Client(Box::new(client))).is_some() {
            self.clients += 1;
        }
    }

    /// Closes the client's connection that is missed least, of those on which nothing is owed; whether any was.
    pub(crate) fn evict(&mut self) -> bool {
        let now = self.clock.now();
        let mut spare: Vec<(Missed, Key)> = self
            .conns
            .iter()
            .filter_map(|(key, conn)| match conn {
                Conn::Client(client) => Missed::of(client, now).map(|missed| (missed, key)),
                Conn::Engine(_) => None,
            })
            .collect();
        spare.sort_unstable();
        spare.into_iter().any(|(_, key)| self.close_client(key, CloseReason::Evicted))
    }

    /// Whether the limit leaves a descriptor for one more connection of a client or an attempt.
    fn has_descriptor(&self) -> bool {
        let sockets = self.config.limits.sockets;
        self.has_descriptor_beside((sockets / CALLS_PART).min(MAX_CALLS))
    }

    fn has_descriptor_beside(&self, others: usize) -> bool {
        self.conns.len() + OWN_DESCRIPTORS + others < self.config.limits.sockets
    }

    /// Makes room for one more connection to an engine; whether there is. Guards against states that stay
    /// held because attempts that reach nobody have all descriptors: calls that let go find a few more.
    pub(crate) fn room_for_engine(&mut self, call: bool) -> bool {
        if self.has_descriptor() || call && self.has_descriptor_beside(0) {
            return true;
        }
        self.close_spare() || self.evict()
    }

    /// Closes the idle connection to an engine that is missed least; whether there was one.
    fn close_spare(&mut self) -> bool {
        let spare = self.pool.spare();
        if let Some(spare) = spare {
            self.close_engine(spare);
        }
        spare.is_some()
    }
}
