//! The endpoint watch at discovery: opening, timeouts, backoff after failures, and change of address.
//!
//! A watch is established by its first message, a list or a heartbeat. While none is established, a new one is
//! opened at a fixed interval beside those that are still pending, and the first one that receives a message
//! replaces all others.

use std::fmt::Display;
use std::net::SocketAddr;

use pintally::interface::Micros;
use pintally_host::StartTimes;
use pintally_platform::EndpointListTracker;

use crate::event_source::WatchId;
use crate::node::Node;
use crate::pending_watches::PendingWatches;
use crate::watch_connection::WatchConnection;

/// An established watch that receives no message for this time, not even a heartbeat, is reopened.
const SILENCE_TIMEOUT: Micros = 3_100_000;
/// Bounds of the interval at which watches are opened while none is established, which is half of the drain
/// grace. Guards against a late reaction to a drain that discovery has when it returns from an outage: a watch
/// that was opened during the outage may never be answered.
const MIN_OPEN_INTERVAL: Micros = 200_000;
const MAX_OPEN_INTERVAL: Micros = 500_000;
/// Bounds of the maximum backoff before a failed watch is reopened, which is a quarter of the drain grace;
/// the first backoff is a quarter of that maximum. Guards against a late reaction to a drain: the drain grace
/// runs from the time at which discovery is available again and has the drain.
const MIN_BACKOFF: Micros = 20_000;
const MAX_BACKOFF: Micros = 1_000_000;
/// Minimum time between two warnings about failed watches.
const WARNING_INTERVAL: Micros = 5_000_000;

/// The endpoint watch at discovery.
pub(crate) struct EndpointWatch {
    pub(crate) address: SocketAddr,
    /// The applied revision of the list.
    pub(crate) list: EndpointListTracker,
    /// The watch that has received a message.
    established: Option<WatchConnection>,
    /// The watches that have not received a message yet; none while one is established.
    pending: PendingWatches<WatchConnection>,
    latest_id: WatchId,
    /// When the next watch is opened; never while one is established.
    open_at: Micros,
    open_interval: Micros,
    /// The backoff after the next failure.
    backoff: Micros,
    max_backoff: Micros,
    /// When the established watch last received a message.
    last_heard: Micros,
    /// When this process last received a message from discovery that confirms or changes the list.
    pub(crate) last_message: Option<Micros>,
    /// No warning about a failed watch is logged before this time.
    next_warning: Micros,
    pub(crate) start_times: StartTimes,
    /// Number of times that the watch was opened.
    pub(crate) opened: u64,
    /// Number of times that the watch has failed.
    pub(crate) failed: u64,
}

impl EndpointWatch {
    /// A watch that is due to be opened now; sends have to stop within `drain_grace` of a drain, and engines
    /// warm up for `slow_start_duration`.
    pub(crate) fn new(
        address: SocketAddr,
        now: Micros,
        drain_grace: Micros,
        slow_start_duration: Micros,
    ) -> EndpointWatch {
        let max_backoff = (drain_grace / 4).clamp(MIN_BACKOFF, MAX_BACKOFF);
        EndpointWatch {
            address,
            list: EndpointListTracker::default(),
            established: None,
            pending: PendingWatches::default(),
            latest_id: WatchId::default(),
            open_at: now,
            open_interval: (drain_grace / 2).clamp(MIN_OPEN_INTERVAL, MAX_OPEN_INTERVAL),
            backoff: max_backoff / 4,
            max_backoff,
            last_heard: now,
            last_message: None,
            next_warning: now,
            start_times: StartTimes::new(slow_start_duration),
            opened: 0,
            failed: 0,
        }
    }

    fn reset_backoff(&mut self) {
        self.backoff = self.max_backoff / 4;
    }

    /// When the next watch has to be opened, or the established one has been silent for too long.
    pub(crate) fn deadline(&self) -> Micros {
        if self.established.is_some() {
            self.last_heard.saturating_add(SILENCE_TIMEOUT)
        } else {
            self.open_at
        }
    }

    /// Number of watches that wait for their first message.
    pub(crate) fn pending_count(&self) -> usize {
        self.pending.iter().count()
    }

    /// The open connection with this id, pending or established.
    pub(crate) fn connection_mut(&mut self, id: WatchId) -> Option<&mut WatchConnection> {
        self.pending.iter_mut().chain(self.established.as_mut()).find(|connection| connection.id() == id)
    }

    /// Records a message on a watch, which establishes it: all others are closed.
    pub(crate) fn record_message(&mut self, id: WatchId, now: Micros) {
        self.last_heard = now;
        self.reset_backoff();
        if let Some(connection) = self.pending.remove(|connection| connection.id() == id) {
            self.established = Some(connection);
            self.pending.clear();
            self.open_at = Micros::MAX;
        }
        // A heartbeat says that a list is current, and means nothing without one.
        if self.list.revision().is_some() {
            self.last_message = Some(now);
        }
    }

    /// Closes a watch after a failure: the applied list remains, and a new watch is opened after the backoff.
    pub(crate) fn fail(&mut self, id: WatchId, now: Micros) {
        let is_failed = |connection: &WatchConnection| connection.id() == id;
        let failed = self.pending.remove(is_failed).or_else(|| self.established.take_if(|c| is_failed(c)));
        if failed.is_some() {
            self.back_off(now);
        }
    }

    /// Counts a failure, and opens the next watch after the backoff if none is due before.
    fn back_off(&mut self, now: Micros) {
        self.failed += 1;
        self.open_at = self.open_at.min(now + self.backoff);
        self.backoff = (self.backoff * 2).min(self.max_backoff);
    }
}

impl Node {
    /// Schedules a closed watch to be reopened at once, because the core needs a current list.
    pub(crate) fn reopen_watch(&mut self) {
        if self.watch.established.is_none() && self.watch.pending.is_empty() {
            self.watch.open_at = self.clock.now();
        }
    }

    /// Closes the established watch if it has gone silent, and opens a watch when one is due.
    pub(crate) fn maintain_watch(&mut self, now: Micros) {
        if now < self.watch.deadline() {
            return;
        }
        if self.watch.established.take().is_some() {
            self.watch.failed += 1;
            self.warn_about_watch(now, &"discovery has gone silent");
        }
        self.open_watch(now);
    }

    /// Opens a watch beside the pending ones.
    fn open_watch(&mut self, now: Micros) {
        let watch = &mut self.watch;
        watch.open_at = now + watch.open_interval;
        watch.latest_id = watch.latest_id.next();
        match WatchConnection::open(&self.poller, watch.latest_id, watch.address, watch.list.revision()) {
            Ok(connection) => {
                watch.opened += 1;
                if let Some(replaced) = watch.pending.insert(now, connection) {
                    self.expire_pending_watch(now, &replaced);
                }
            }
            Err(_) => watch.back_off(now),
        }
    }

    /// Accounts for a watch that was closed because it has received no message.
    fn expire_pending_watch(&mut self, now: Micros, replaced: &WatchConnection) {
        self.watch.failed += 1;
        let reason =
            if replaced.is_connected() { "discovery does not respond" } else { "discovery is unreachable" };
        self.warn_about_watch(now, &reason);
    }

    /// Logs why a watch was closed, from time to time during an outage.
    pub(crate) fn warn_about_watch(&mut self, now: Micros, reason: &dyn Display) {
        if now < self.watch.next_warning || !self.log_limiter.allows(now) {
            return;
        }
        self.watch.next_warning = now + WARNING_INTERVAL;
        tracing::warn!(%reason, address = %self.watch.address, "endpoint watch failed");
    }

    /// Reopens the watch at a new address of discovery, if the address has changed.
    pub(crate) fn set_discovery_address(&mut self, address: SocketAddr, now: Micros) {
        if address == self.watch.address {
            return;
        }
        self.watch.address = address;
        self.watch.established = None;
        self.watch.pending.clear();
        self.watch.open_at = now;
        self.watch.reset_backoff();
        self.maintain_watch(now);
    }
}
