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
        let times = ClientTimes {
            receive: limits.receive_timeout,
            idle: limits.idle_timeout,
            write: limits.write_timeout,
            stopping: late,
        };
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
        for pace in self.host.admission_estimates() {
            tracing::debug!(?pace, held = self.host.open_requests(), "pace");
        }
        for (b, t) in self.believed(now) {
            tracing::debug!(engine = %b.engine.0, listing = ?b.state, out = b.in_flight, streams = b.streams,
                load = ?b.load, down = b.unreachable, shut_ms = b.ejected_for / 1000, full_ms = b.overloaded_for / 1000,
                cold_ms = b.warming_up_for / 1000, sockets = ?t, "belief");
        }
    }

    /// What the core believes of each engine, and what passed on its sockets.
    pub(crate) fn believed(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = (pintally::EngineEstimate, Tally)> + '_ {
        let tally = |e: &EngineId| self.tallies.get(e).copied().unwrap_or_default();
        self.host.engine_estimates(now).into_iter().map(move |b| {
            let t = tally(&b.engine);
            (b, t)
        })
    }

    /// Whether all is done after a signal to stop.
    pub(crate) fn finished(&self) -> bool {
        self.stopped && self.listener.is_none() && self.clients == 0
    }
}
