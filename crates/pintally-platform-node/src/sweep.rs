//! What is looked at ten times a second: clients that say nothing, the watch, the end.

use pintally::interface::{EngineId, Micros};

use crate::clients::LINGER;
use crate::conn::{Conn, Key, Stage};
use crate::door::STILL_COME;
use crate::node::{Node, Tally};

/// How often.
const EVERY: Micros = 100_000;

impl Node {
    pub(crate) fn sweep(&mut self, now: Micros) {
        if now < self.swept + EVERY {
            return;
        }
        let second = now / 1_000_000 != self.swept / 1_000_000;
        self.swept = now;
        if second && tracing::enabled!(tracing::Level::DEBUG) {
            self.tell_beliefs(now);
        }
        self.look_after_watch(now);
        let late = self.stopping.is_some_and(|at| now >= at + STILL_COME);
        if late && self.listener.take().is_some() {
            tracing::info!("no more connections are taken");
        }
        let limits = &self.settings.limits;
        let (receive, idle, write) = (limits.receive, limits.idle, limits.write);
        let mut over: Vec<Key> = Vec::new();
        for (key, conn) in &self.conns {
            let Conn::Client(c) = conn else { continue };
            let stuck = c.stuck.is_some_and(|at| now >= at + write);
            let ends = match c.stage {
                Stage::Busy(_) => stuck,
                Stage::Closing => stuck || now >= c.used + LINGER,
                Stage::Open if c.reader.is_partial() || c.served == 0 => now >= c.since + receive,
                Stage::Open => late || now >= c.used + idle,
            };
            if ends {
                over.push(key);
            }
        }
        for key in over {
            self.end_client(key);
        }
    }

    /// Ends a client's connection whose time has run out, unless a request is waiting on it unread.
    fn end_client(&mut self, key: Key) {
        let Some(client) = self.client(key) else { return };
        match client.stage {
            Stage::Busy(_) => self.client_gone(key),
            Stage::Open if client.reader.is_partial() => {
                self.reject(
                    key,
                    pintally_platform::Rejected { status: 408, why: "the request did not come in time" },
                );
            }
            Stage::Open if matches!(client.stream.peek(&mut [0; 1]), Ok(n) if n > 0) => {}
            _ => self.close_client(key),
        }
    }

    /// Once a second, for whoever looks for a wrong belief: in one line each, what the core believes and
    /// what passed on the sockets.
    fn tell_beliefs(&self, now: Micros) {
        for pace in self.host.paces() {
            tracing::debug!(?pace, held = self.host.held(), "pace");
        }
        for (b, t) in self.believed(now) {
            tracing::debug!(engine = %b.engine.0, listing = ?b.listing, out = b.out, streams = b.streams,
                load = ?b.load, down = b.down, shut_ms = b.shut / 1000, full_ms = b.full / 1000,
                cold_ms = b.cold / 1000, sockets = ?t, "belief");
        }
    }

    /// What the core believes of each engine, and what passed on its sockets.
    fn believed(&self, now: Micros) -> impl Iterator<Item = (pintally::Belief, Tally)> + '_ {
        let tally = |e: &EngineId| self.tallies.get(e).copied().unwrap_or_default();
        self.host.beliefs(now).into_iter().map(move |b| {
            let t = tally(&b.engine);
            (b, t)
        })
    }

    /// Whether all is done after a signal to stop.
    pub(crate) fn finished(&self) -> bool {
        self.stopped && self.listener.is_none() && self.clients == 0
    }

    /// What the core believes of each engine beside what passed on its sockets.
    pub(crate) fn beliefs(&self) -> serde_json::Value {
        let engines: Vec<serde_json::Value> = self
            .believed(self.clock.now())
            .map(|(b, t)| {
                serde_json::json!({
                    "engine": b.engine.0.as_ref(),
                    "believed": {
                        "listing": format!("{:?}", b.listing), "out": b.out, "streams": b.streams,
                        "load": b.load, "down": b.down, "shut_ms": b.shut / 1000, "full_ms": b.full / 1000,
                        "cold_ms": b.cold / 1000, "report_age_ms": b.report_age.map(|a| a / 1000),
                    },
                    "sockets": {
                        "out": t.out, "sent": t.sent, "begun": t.begun, "served": t.served, "read": t.read,
                        "turned_away": t.turned_away, "failed": t.failed, "connections": t.connections,
                    },
                })
            })
            .collect();
        let counters = format!("{:?}", self.host.counters());
        serde_json::json!({
            "held": self.host.held(), "clients": self.clients, "connections": self.conns.len(),
            "bytes": self.bytes, "pace": format!("{:?}", self.host.paces()), "counters": counters, "engines": engines,
        })
    }
}
