//! The event loop: each iteration handles readiness events, then expired timers, and writes the output.

use std::io;
use std::time::Duration;

use pintally::interface::Micros;
use pintally_guards::CloseReason;
use pintally_host::Input;

use crate::connection::Connection;
use crate::event_source::EventSource;
use crate::node::Node;
use crate::poller::ReadyEvent;

/// Maximum time of one wait for events.
const MAX_WAIT: Micros = 100_000;
/// The event loop ends after this many waits in a row have failed.
const MAX_FAILED_WAITS: u32 = 1_000;
/// Time between a failed wait and the next one.
const FAILED_WAIT_PAUSE: Duration = Duration::from_millis(1);
/// A wait that takes at least this long has found no event when it began.
const MIN_BLOCKED_WAIT: Micros = 1_000;

impl Node {
    /// Runs until a signal stops the node and the graceful shutdown is complete.
    pub(crate) fn run(&mut self) -> io::Result<()> {
        let mut events: Vec<ReadyEvent> = Vec::new();
        while !self.run_iteration(&mut events)? {}
        tracing::info!("graceful shutdown complete");
        Ok(())
    }

    /// Runs one iteration; returns whether the graceful shutdown is complete.
    fn run_iteration(&mut self, events: &mut Vec<ReadyEvent>) -> io::Result<bool> {
        let timeout = self.poll_timeout();
        events.clear();
        let wait_began = self.clock.now();
        if self.wait_for_events(Duration::from_micros(timeout), events)? {
            self.record_wait(wait_began);
        }
        self.handle_disconnected_clients(events);
        if self.signals.is_pending() {
            self.handle_signals();
        }
        for event in events.iter() {
            self.handle_event(*event);
        }
        self.read_pending_clients();
        self.run_timers();
        self.process_pending_requests();
        self.flush_pending_clients();
        Ok(self.is_shutdown_complete())
    }

    /// Waits for events; returns whether the wait succeeded. One that fails is made again for a while: one failed call must
    /// not end all requests.
    fn wait_for_events(&mut self, timeout: Duration, events: &mut Vec<ReadyEvent>) -> io::Result<bool> {
        let Err(error) = self.poller.wait(timeout, events) else {
            self.failed_waits = 0;
            return Ok(true);
        };
        self.failed_waits += 1;
        if self.failed_waits > MAX_FAILED_WAITS {
            return Err(error);
        }
        if self.log_limiter.allows(self.clock.now()) {
            tracing::error!(%error, failed_waits = self.failed_waits, "wait for events failed and is retried");
        }
        std::thread::sleep(FAILED_WAIT_PAUSE);
        Ok(false)
    }

    /// Records the time after which the events of a wait have occurred. A wait that took time was ended by its first
    /// event; the others may have occurred at any time since the wait before.
    fn record_wait(&mut self, began: Micros) {
        let ended = self.clock.now();
        self.events_since = if ended >= began + MIN_BLOCKED_WAIT { ended } else { self.last_wait_ended };
        self.last_wait_ended = ended;
    }

    /// How long the poller may wait: until the next timer expires, or 0 if clients wait to be read.
    fn poll_timeout(&self) -> Micros {
        let now = self.clock.now();
        if self.clients.has_pending_work() {
            return 0;
        }
        let timers = [
            self.host.next_wake(),
            self.engines.next_deadline().map(|(at, _)| at),
            self.host_queue.next_delayed_at(),
            self.reload.next_attempt(),
            self.acceptor.paused_until,
            Some(self.watch.deadline()),
        ];
        let next = timers.into_iter().flatten().min().unwrap_or(Micros::MAX);
        next.saturating_sub(now).min(MAX_WAIT)
    }

    /// Handles disconnected clients before all other events. Guards against an attempt that another event of
    /// the same iteration starts for a client that has already disconnected.
    pub(crate) fn handle_disconnected_clients(&mut self, events: &[ReadyEvent]) {
        for event in events {
            let EventSource::Connection(key) = EventSource::from_token(event.token) else { continue };
            if self.client_mut(key).is_some_and(|client| client.has_disconnected(event.flags)) {
                self.client_disconnected(key, CloseReason::ClientLeft);
            }
        }
    }

    fn handle_event(&mut self, event: ReadyEvent) {
        match EventSource::from_token(event.token) {
            EventSource::Listener => self.accept_clients(),
            EventSource::Signals => self.handle_signals(),
            EventSource::EndpointWatch(id) => self.handle_watch_event(id, event.flags),
            EventSource::Connection(key) => match self.connections.get(key) {
                Some(Connection::Client(_)) => self.queue_client_event(key, event.flags),
                Some(Connection::Engine(_)) => self.handle_engine_event(key, event.flags),
                None => {}
            },
        }
    }

    fn handle_signals(&mut self) {
        let pending = self.signals.take();
        if pending.reload {
            self.start_reload();
        }
        if pending.stop && !self.shutdown.is_requested() {
            self.shutdown.requested_at = Some(self.clock.now());
            tracing::info!(in_flight = self.host.open_requests(), "draining: graceful shutdown started");
            self.handle_input(Input::Stop);
        }
    }

    fn run_timers(&mut self) {
        let now = self.clock.now();
        self.tick_host(now);
        self.expire_engine_connections(now);
        self.deliver_delayed_inputs(now);
        self.retry_reload(now);
        self.resume_accepting(now);
        self.maintain_watch(now);
        self.run_periodic_cleanup(now);
    }
}
