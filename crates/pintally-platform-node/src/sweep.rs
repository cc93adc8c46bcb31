//! What is looked at ten times a second: clients that say nothing, the watch, the end.

use pintally::interface::{EngineId, Micros};
use pintally_guards::CloseReason;

use crate::acceptor::STILL_COME;
use crate::closing::ClientTimes;
use crate::conn::{Conn, Key};
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
        let late = self.stopping.is_some_and(|at| now >= at + STILL_COME);
        if late && self.listener.is_some() {
            self.stop_accepting();
            tracing::info!("no more connections are taken");
        }
        let limits = &self.settings.limits;
        let times =
            ClientTimes { receive: limits.receive, idle: limits.idle, write: limits.write, stopping: late };
        let over: Vec<(Key, CloseReason)> = self
            .conns
            .iter()
            .filter_map(|(key, conn)| match conn {
                Conn::Client(client) => client.runs_out(now, &times).map(|reason| (key, reason)),
                Conn::Engine(_) => None,
            })
            .collect();
        for (key, reason) in over {
            self.end_client(key, reason);
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
    fn believed(&self, now: Micros) -> impl Iterator<Item = (pintally::EngineEstimate, Tally)> + '_ {
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
        let by_name = |counts: Vec<(&'static str, u64)>| {
            serde_json::Map::from_iter(
                counts.into_iter().map(|(name, count)| (name.to_string(), count.into())),
            )
        };
        let closes = by_name(self.closes.by_name().collect());
        let accept_failures: serde_json::Map<String, serde_json::Value> = self
            .accepting
            .failures
            .iter()
            .map(|(errno, count)| (errno.to_string(), (*count).into()))
            .collect();
        let withheld = by_name(self.host.withheld().by_name().collect());
        let refusals = by_name(self.host.refusals().by_name().collect());
        let denied = by_name(self.host.denials().by_name().chain(self.denied_closes.by_name()).collect());
        serde_json::json!({
            "held": self.host.held(), "clients": self.clients, "connections": self.conns.len(),
            "bytes": self.bytes, "pace": format!("{:?}", self.host.paces()), "counters": counters,
            "closes": closes, "refusals": refusals, "denied": denied, "accept_failures": accept_failures, "reloads": self.reloads,
            "withheld": withheld, "watches": {"opened": self.watch.opened, "failed": self.watch.failed},
            "clock_corrections": self.watch.starts.corrections, "engines": engines,
        })
    }
}
