//! Periodic cleanup, ten times a second: closes expired client connections and advances a graceful shutdown.

use pintally::interface::Micros;
use pintally_guards::CloseReason;

use crate::client_connection::ClientTimeouts;
use crate::connection::{Connection, ConnectionKey};
use crate::node::Node;

/// Time between two cleanups.
const CLEANUP_INTERVAL: Micros = 100_000;
/// Connections are still accepted for this time after a signal to stop.
const LISTENER_GRACE: Micros = 500_000;
const MICROS_PER_SECOND: Micros = 1_000_000;

impl Node {
    pub(crate) fn run_periodic_cleanup(&mut self, now: Micros) {
        if now < self.last_cleanup + CLEANUP_INTERVAL {
            return;
        }
        let is_next_second = now / MICROS_PER_SECOND != self.last_cleanup / MICROS_PER_SECOND;
        self.last_cleanup = now;
        if is_next_second {
            self.log_memory();
            if tracing::enabled!(tracing::Level::DEBUG) {
                self.log_engine_estimates(now);
            }
        }
        let listener_expired = self.shutdown.requested_at.is_some_and(|at| now >= at + LISTENER_GRACE);
        if listener_expired && self.acceptor.listener.is_some() {
            self.close_listener();
            tracing::info!(clients = self.clients.count, "draining: listener closed");
        }
        self.expire_clients(now, listener_expired);
        self.resume_paused_reads();
    }

    /// Closes client connections whose timeouts have expired, and idle ones if `close_idle`.
    fn expire_clients(&mut self, now: Micros, close_idle: bool) {
        let limits = &self.settings.limits;
        let timeouts = ClientTimeouts {
            receive: limits.receive_timeout,
            idle: limits.idle_timeout,
            write: limits.write_timeout,
            close_idle,
        };
        let expired: Vec<(ConnectionKey, CloseReason)> = self
            .connections
            .iter()
            .filter_map(|(key, connection)| match connection {
                Connection::Client(client) => client.expired(now, &timeouts).map(|reason| (key, reason)),
                Connection::Engine(_) => None,
            })
            .collect();
        for (key, reason) in expired {
            self.expire_client(key, reason);
        }
    }

    /// Logs the core's estimates next to the counters of the sockets, once a second, to find wrong estimates.
    fn log_engine_estimates(&self, now: Micros) {
        for estimate in self.host.admission_estimates() {
            tracing::debug!(?estimate, in_flight = self.host.open_requests(), "admission estimate");
        }
        for (estimate, sockets) in self.engine_estimates(now) {
            tracing::debug!(engine = %estimate.engine.0, state = ?estimate.state, in_flight = estimate.in_flight,
                streams = estimate.streams, load = ?estimate.load, unreachable = estimate.unreachable,
                ejected_ms = estimate.ejected_for / 1000, overloaded_ms = estimate.overloaded_for / 1000,
                warming_up_ms = estimate.warming_up_for / 1000, relative_capacity = estimate.relative_capacity,
                slow_start_budget = estimate.slow_start_budget, ?sockets, "engine estimate");
        }
    }

    /// Whether the graceful shutdown is complete.
    pub(crate) fn is_shutdown_complete(&self) -> bool {
        self.shutdown.host_stopped && self.acceptor.listener.is_none() && self.clients.count == 0
    }
}
