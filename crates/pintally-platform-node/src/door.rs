//! The door: connections as they come, who is let in, and who goes when descriptors run low.

use std::net::TcpStream;

use pintally::interface::Micros;
use pintally_http::RequestReader;
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

    /// Closes the client's connection that is missed least: one that ends anyway, one that has never
    /// brought a request, oldest first, or one that has been quiet for longest. Whether any was.
    pub(crate) fn evict(&mut self) -> bool {
        let now = self.clock.now();
        let mut least: Option<((u8, Micros), Key)> = None;
        for (key, conn) in &self.conns {
            let Conn::Client(c) = conn else { continue };
            let rank = match c.stage {
                Stage::Busy(_) => continue,
                Stage::Closing => (0, c.used),
                Stage::Open if c.served == 0 => (1, c.since),
                Stage::Open if now >= c.used + QUIET && !c.reader.is_partial() => (2, c.used),
                Stage::Open => continue,
            };
            if least.is_none_or(|(other, _)| rank < other) {
                least = Some((rank, key));
            }
        }
        let Some((_, key)) = least else { return false };
        self.close_client(key);
        true
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
