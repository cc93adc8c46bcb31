//! The endpoint watch at discovery: opening, timeouts, backoff after failures, and change of address.

use std::net::SocketAddr;

use pintally::interface::Micros;
use pintally_platform::EndpointListTracker;

use crate::node::Node;
use crate::start_times::StartTimes;
use crate::watch_connection::{WatchConnection, WatchState};

/// A watch that receives nothing for this time, not even a message without changes, is reopened.
const SILENCE_TIMEOUT: Micros = 3_100_000;
/// Timeout of the first response on a watch, longer than [`SILENCE_TIMEOUT`] because discovery may be slow.
/// It doubles after each expiry, up to a limit. Guards against a node that opens one watch after another and
/// gets a response on none.
const FIRST_RESPONSE_TIMEOUT: Micros = 5_000_000;
const MAX_FIRST_RESPONSE_TIMEOUT: Micros = 20_000_000;
/// Bounds of the connect timeout of a watch, which is half of the drain grace.
const MIN_CONNECT_TIMEOUT: Micros = 100_000;
const MAX_CONNECT_TIMEOUT: Micros = 500_000;
/// Bounds of the maximum backoff before a failed watch is reopened, which is a quarter of the drain grace;
/// the first backoff is a quarter of that maximum. Guards against a late reaction to a drain: the drain grace
/// runs from the time at which discovery is available again and has the drain.
const MIN_BACKOFF: Micros = 20_000;
const MAX_BACKOFF: Micros = 1_000_000;

/// The endpoint watch at discovery.
pub(crate) struct EndpointWatch {
    pub(crate) address: SocketAddr,
    /// The applied revision of the list.
    pub(crate) list: EndpointListTracker,
    pub(crate) connection: Option<WatchConnection>,
    /// When a closed watch is reopened.
    reopen_at: Micros,
    /// The backoff after the next failure.
    backoff: Micros,
    max_backoff: Micros,
    connect_timeout: Micros,
    first_response_timeout: Micros,
    /// When this process last received a message from discovery.
    pub(crate) last_message: Option<Micros>,
    pub(crate) start_times: StartTimes,
    /// Number of times that the watch was opened.
    pub(crate) opened: u64,
    /// Number of times that the watch has failed.
    pub(crate) failed: u64,
}

impl EndpointWatch {
    /// A watch that is due to be opened now; sends have to stop within `drain_grace` of a drain.
    pub(crate) fn new(address: SocketAddr, now: Micros, drain_grace: Micros) -> EndpointWatch {
        let max_backoff = (drain_grace / 4).clamp(MIN_BACKOFF, MAX_BACKOFF);
        EndpointWatch {
            address,
            list: EndpointListTracker::default(),
            connection: None,
            reopen_at: now,
            backoff: max_backoff / 4,
            max_backoff,
            connect_timeout: (drain_grace / 2).clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT),
            first_response_timeout: FIRST_RESPONSE_TIMEOUT,
            last_message: None,
            start_times: StartTimes::default(),
            opened: 0,
            failed: 0,
        }
    }

    pub(crate) fn reset_backoff(&mut self) {
        self.backoff = self.max_backoff / 4;
    }

    pub(crate) fn reset_first_response_timeout(&mut self) {
        self.first_response_timeout = FIRST_RESPONSE_TIMEOUT;
    }

    /// When the watch has to be reopened or its timeout expires.
    pub(crate) fn deadline(&self) -> Micros {
        let Some(connection) = &self.connection else { return self.reopen_at };
        let timeout = match connection.state {
            WatchState::Connecting => self.connect_timeout,
            WatchState::Connected => self.first_response_timeout,
            WatchState::Responding => SILENCE_TIMEOUT,
        };
        connection.last_active.saturating_add(timeout)
    }

    /// Closes the watch after a failure: the applied list remains, and the watch is
    /// reopened after the backoff.
    pub(crate) fn fail(&mut self, now: Micros) {
        self.failed += 1;
        self.connection = None;
        self.reopen_at = now + self.backoff;
        self.backoff = (self.backoff * 2).min(self.max_backoff);
    }
}

impl Node {
    /// Schedules a closed watch to be reopened at once, because the core needs a current list.
    pub(crate) fn reopen_watch(&mut self) {
        if self.watch.connection.is_none() {
            self.watch.reopen_at = self.clock.now();
        }
    }

    /// Opens the watch when it is due, and reopens it when its timeout has expired.
    pub(crate) fn maintain_watch(&mut self, now: Micros) {
        if now < self.watch.deadline() {
            return;
        }
        if let Some(connection) = &self.watch.connection {
            let state = connection.state;
            self.expire_watch(now, state);
        }
        match WatchConnection::open(&self.poller, self.watch.address, self.watch.list.revision(), now) {
            Ok(connection) => {
                self.watch.opened += 1;
                self.watch.connection = Some(connection);
            }
            Err(_) => self.watch.fail(now),
        }
    }

    fn expire_watch(&mut self, now: Micros, state: WatchState) {
        let reason = match state {
            WatchState::Connecting => "discovery is unreachable",
            WatchState::Connected => "discovery does not respond",
            WatchState::Responding => "discovery has gone silent",
        };
        if state == WatchState::Connected {
            self.watch.first_response_timeout =
                (self.watch.first_response_timeout * 2).min(MAX_FIRST_RESPONSE_TIMEOUT);
        }
        if self.log_limiter.allows(now) {
            tracing::warn!(reason, address = %self.watch.address, "endpoint watch failed");
        }
        self.watch.fail(now);
        self.watch.reopen_at = now;
    }

    /// Reopens the watch at a new address of discovery, if the address has changed.
    pub(crate) fn set_discovery_address(&mut self, address: SocketAddr, now: Micros) {
        if address == self.watch.address {
            return;
        }
        self.watch.address = address;
        self.watch.connection = None;
        self.watch.reopen_at = now;
        self.watch.reset_backoff();
        self.maintain_watch(now);
    }
}
