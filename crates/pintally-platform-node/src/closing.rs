//! The one place in which clients' connections are closed: what is owed on them is asked first.

use std::io::ErrorKind;
use std::net::TcpStream;

use pintally::interface::Micros;
use pintally_guards::{may_close, CloseReason, ConnectionFacts, Denial};

use crate::clients::LINGER;
use crate::conn::{Client, Conn, Key, Stage};
use crate::node::Node;

/// Whether bytes have come on a connection that nobody has read. An end that stands unread is none.
fn has_unread(stream: &TcpStream) -> bool {
    loop {
        match stream.peek(&mut [0; 1]) {
            Ok(count) => return count > 0,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
}

impl Client {
    /// Bytes of answers that have not been written.
    pub(crate) fn unwritten(&self) -> usize {
        self.out.len() - self.gone
    }

    /// What permits go by. Behind the node's own end nothing is answered, so nothing unread is owed anything.
    fn facts(&self) -> ConnectionFacts {
        ConnectionFacts {
            answer_owed: matches!(self.stage, Stage::Busy(_)),
            unwritten: self.unwritten(),
            unread: self.stage == Stage::Open && has_unread(&self.stream),
        }
    }

    /// Why the connection may be over by now, if it may.
    pub(crate) fn runs_out(&self, now: Micros, limits: &ClientTimes) -> Option<CloseReason> {
        if self.stuck.is_some_and(|since| now >= since + limits.write) {
            return Some(CloseReason::Stuck);
        }
        let (over, reason) = match self.stage {
            Stage::Busy(_) => return None,
            Stage::Closing => (self.shut && now >= self.used + LINGER, CloseReason::Answered),
            // Its next requests wait until it takes the answers before them.
            Stage::Open if !self.takes_answers() => return None,
            Stage::Open if self.reader.is_partial() => {
                (now >= self.since + limits.receive, CloseReason::Silent)
            }
            // The answer before has not been taken: its time is that of a slow client.
            Stage::Open if self.unwritten() > 0 => return None,
            Stage::Open if self.served == 0 => (now >= self.since + limits.receive, CloseReason::Silent),
            Stage::Open if limits.stopping => (true, CloseReason::Stopping),
            Stage::Open => (now >= self.used + limits.idle, CloseReason::Idle),
        };
        over.then_some(reason)
    }
}

/// How long clients' connections may last.
pub(crate) struct ClientTimes {
    /// A request has to come within this time.
    pub(crate) receive: Micros,
    /// A connection may rest for so long.
    pub(crate) idle: Micros,
    /// Some of what is written has to be taken within this time.
    pub(crate) write: Micros,
    /// The node ends, and connections that rest are closed.
    pub(crate) stopping: bool,
}

impl Node {
    /// Closes a client's connection if that is permitted; whether it was. A denial is counted, but for a request
    /// that has just come: that is no error, it is read next.
    pub(crate) fn close_client(&mut self, key: Key, reason: CloseReason) -> bool {
        let Some(Conn::Client(client)) = self.conns.get(key) else { return false };
        let facts = client.facts();
        if let Err(denial) = may_close(&facts, reason) {
            if denial != Denial::RequestUnread {
                self.denied_closes.add(denial);
                let now = self.clock.now();
                if self.quota.allows(now) {
                    tracing::error!(connection = Node::token(key), reason = reason.name(), %denial,
                        "a client's connection must not be closed now");
                }
            }
            return false;
        }
        self.closes.add(reason);
        tracing::debug!(connection = Node::token(key), reason = reason.name(), stage = ?client.stage,
            served = client.served, unwritten = facts.unwritten, "a client's connection is closed");
        if let Some(Conn::Client(client)) = self.conns.remove(key) {
            self.clients -= 1;
            self.bytes -= client.counted;
        }
        true
    }

    /// Ends a client's connection whose time has run out.
    pub(crate) fn end_client(&mut self, key: Key, reason: CloseReason) {
        let Some(client) = self.client(key) else { return };
        match client.stage {
            Stage::Busy(_) => self.client_gone(key, reason),
            Stage::Open if reason == CloseReason::Silent && client.reader.is_partial() => {
                self.reject(
                    key,
                    pintally_platform::RequestError {
                        status: 408,
                        message: "the request did not come in time",
                    },
                );
            }
            _ => drop(self.close_client(key, reason)),
        }
    }
}
