//! Clients' connections as they come, who is let in, and who goes when descriptors run low.

use std::net::TcpStream;

use pintally::interface::Micros;
use pintally_http::RequestReader;
use pintally_permits::CloseReason;
use pintally_platform::{BODY_MOST, HEAD_MOST};

use crate::arrivals::Arrivals;
use crate::conn::{Client, Conn, Key, Stage};
use crate::node::{Node, OWN_DESCRIPTORS};
use crate::poll::Flags;

/// Connections taken in one turn.
const ACCEPT_MOST: usize = 64;
/// A connection that has served may be closed after so long without a request.
const QUIET: Micros = 2_000_000;
/// Descriptors that calls which let go can have when clients and attempts have all others: this part of
/// all, and so many at the most.
const CALLS_PART: usize = 16;
const CALLS_MOST: usize = 8;
/// After a signal to stop connections come for so long.
pub(crate) const STILL_COME: Micros = 500_000;

/// How much a client's connection would be missed, the least first; with each kind the oldest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Missed {
    /// All of its last answer is written.
    Ended(Micros),
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
            Stage::Closing => Some(Missed::Ended(client.used)),
            Stage::Open if client.served == 0 && !partial => Some(Missed::Silent(client.since)),
            Stage::Open if client.served == 0 => Some(Missed::Partial(client.since)),
            Stage::Open if now >= client.used + QUIET && !partial => Some(Missed::Quiet(client.used)),
            Stage::Open => None,
        }
    }
}

impl Node {
    pub(crate) fn accept(&mut self) {
        for _ in 0..ACCEPT_MOST {
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => self.welcome(stream),
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                // Out of descriptors, or a connection that is gone already.
                Err(_) => {
                    self.evict();
                    return;
                }
            }
        }
    }

    fn welcome(&mut self, stream: TcpStream) {
        let now = self.clock.now();
        // An idle connection to an engine is missed less than a client.
        if !self.has_descriptor() {
            self.close_spare();
        }
        let full = self.clients >= self.settings.limits.connections || !self.has_descriptor();
        if full && !self.evict() {
            return;
        }
        if stream.set_nonblocking(true).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        let flags = Flags::IN | Flags::RDHUP;
        let client = Client {
            stream,
            reader: RequestReader::new(HEAD_MOST, BODY_MOST),
            arrivals: Arrivals::default(),
            out: Vec::new(),
            gone: 0,
            stage: Stage::Open,
            streaming: false,
            last: false,
            shut: false,
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
        self.has_descriptor_beside((sockets / CALLS_PART).min(CALLS_MOST))
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
