//! The listener: accepting client connections, pauses after failures, and its close.

use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};

use pintally::interface::Micros;

use crate::client_connection::ClientConnection;
use crate::connection::Connection;
use crate::event_source::EventSource;
use crate::node::Node;
use crate::poller::EventFlags;
use crate::syscall::{accept_failure, AcceptFailure};

/// Maximum number of connections that are accepted in one iteration.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Accepting pauses for this time after a failure.
const ACCEPT_PAUSE: Micros = 5_000;
/// If accepting has failed for this time, a client connection is evicted.
const PERSISTENT_FAILURE_AFTER: Micros = 1_000_000;

/// The listener and the state of accepting.
pub(crate) struct Acceptor {
    /// None once it is closed.
    pub(crate) listener: Option<TcpListener>,
    /// The end of the current pause.
    pub(crate) paused_until: Option<Micros>,
    /// No connection was pending when accepting ended last.
    is_drained: bool,
    /// The time of the first failure since the last successful accept.
    failing_since: Option<Micros>,
    /// Number of failures by error number.
    pub(crate) failures: BTreeMap<i32, u64>,
}

impl Acceptor {
    pub(crate) fn new(listener: TcpListener) -> Acceptor {
        Acceptor {
            listener: Some(listener),
            paused_until: None,
            is_drained: false,
            failing_since: None,
            failures: BTreeMap::new(),
        }
    }
}

impl Node {
    /// Accepts pending connections.
    pub(crate) fn accept_clients(&mut self) {
        // Before that, the client of a pending connection may have disconnected.
        let connected_since = if self.acceptor.is_drained { self.events_since } else { 0 };
        self.acceptor.is_drained = false;
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let Some(listener) = &self.acceptor.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => {
                    self.acceptor.failing_since = None;
                    self.add_client(stream, connected_since);
                }
                Err(error) => match accept_failure(&error) {
                    AcceptFailure::NonePending => {
                        self.acceptor.is_drained = true;
                        return;
                    }
                    AcceptFailure::RetryNow => self.record_accept_failure(&error),
                    AcceptFailure::OutOfDescriptors => {
                        self.record_accept_failure(&error);
                        self.free_descriptor();
                        return self.pause_accepting();
                    }
                    AcceptFailure::RetryLater => {
                        self.record_accept_failure(&error);
                        return self.pause_accepting();
                    }
                },
            }
        }
    }

    fn record_accept_failure(&mut self, error: &std::io::Error) {
        let now = self.clock.now();
        let since = *self.acceptor.failing_since.get_or_insert(now);
        *self.acceptor.failures.entry(error.raw_os_error().unwrap_or(0)).or_default() += 1;
        if self.log_limiter.allows(now) {
            tracing::warn!(%error, failing_for_ms = (now - since) / 1000, "accept failed");
        }
    }

    /// Closes an idle engine connection because the process is out of descriptors. If there is none, evicts a
    /// client, but only if the failure persists or the node's own count shows no free descriptor. Guards
    /// against clients that are evicted because of a transient failure.
    fn free_descriptor(&mut self) {
        let now = self.clock.now();
        let is_persistent =
            self.acceptor.failing_since.is_some_and(|since| now >= since + PERSISTENT_FAILURE_AFTER);
        if !self.close_idle_engine() && (is_persistent || !self.has_free_descriptor()) {
            self.evict_client();
        }
    }

    /// Pauses accepting. Guards against an event loop that spins on connections that it cannot accept.
    fn pause_accepting(&mut self) {
        let Some(listener) = &self.acceptor.listener else { return };
        if self.poller.modify(listener, EventSource::Listener.token(), EventFlags::empty()).is_ok() {
            self.acceptor.paused_until = Some(self.clock.now() + ACCEPT_PAUSE);
        }
    }

    /// Resumes accepting when the pause is over.
    pub(crate) fn resume_accepting(&mut self, now: Micros) {
        if self.acceptor.paused_until.is_none_or(|until| now < until) {
            return;
        }
        let Some(listener) = &self.acceptor.listener else {
            self.acceptor.paused_until = None;
            return;
        };
        let resumed = self.poller.modify(listener, EventSource::Listener.token(), EventFlags::IN);
        self.acceptor.paused_until = match resumed {
            Ok(()) => None,
            Err(_) => Some(now + ACCEPT_PAUSE),
        };
    }

    /// Accepts pending connections, then closes the listener.
    pub(crate) fn close_listener(&mut self) {
        self.accept_clients();
        self.acceptor.paused_until = None;
        self.acceptor.listener = None;
    }

    /// Adds an accepted connection, whose client was connected at `connected_at`; at the limit, another one is evicted or
    /// the new one is closed.
    fn add_client(&mut self, stream: TcpStream, connected_at: Micros) {
        let now = self.clock.now();
        // Closing idle engine connections costs less than closing a client connection. More than one may have to be
        // closed: background calls use descriptors that client connections may not use.
        while !self.has_free_descriptor() && self.close_idle_engine() {}
        let is_full =
            self.clients.count >= self.settings.limits.max_connections || !self.has_free_descriptor();
        if is_full && !self.evict_client() {
            return;
        }
        if stream.set_nonblocking(true).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        let client = ClientConnection::new(stream, self.socket_buffers.send_limit(), now, connected_at);
        if self.register(Connection::Client(Box::new(client))).is_some() {
            self.clients.count += 1;
        }
    }
}
