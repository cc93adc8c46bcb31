//! The endpoint list: application of received revisions, and readiness of the node.

use pintally::interface::{EndpointState, ListUpdate, Micros, Outcome};
use pintally_host::{EngineEndpoint, Input};
use pintally_platform::{EndpointList, ListChange};

use crate::connection::{Connection, ConnectionKey};
use crate::engine_connection::EngineCall;
use crate::node::Node;

/// After this time without a message from discovery, the list in the configuration makes the node ready.
const FIRST_LIST_TIMEOUT: Micros = 3_000_000;

impl Node {
    /// Applies the last known list, which is in the configuration.
    pub(crate) fn apply_last_known_list(&mut self) {
        if let Some(list) = self.config.last_known_list.clone() {
            self.apply_list(EndpointList { complete: true, ..list }, None);
        }
    }

    /// Applies the complete list of a reloaded configuration, if it is newer than the applied one.
    pub(crate) fn apply_newer_list(&mut self, list: EndpointList) {
        if Some(list.revision) > self.watch.list.revision() {
            self.apply_list(EndpointList { complete: true, ..list }, None);
        }
    }

    /// Applies a list. `last_message` is the time of the message from discovery before it; none for a list
    /// from the configuration and for the first one from discovery.
    pub(crate) fn apply_list(&mut self, list: EndpointList, last_message: Option<Micros>) {
        let (now, revision) = (self.clock.now(), list.revision);
        match self.watch.list.advance(list) {
            ListChange::Unchanged => {}
            ListChange::Stale => {
                if self.log_limiter.allows(now) {
                    tracing::warn!(
                        revision,
                        reason = "older than the applied revision",
                        "endpoint list ignored"
                    );
                }
            }
            ListChange::Invalid(reason) => {
                if self.log_limiter.allows(now) {
                    tracing::warn!(revision, %reason, "endpoint list ignored");
                }
            }
            ListChange::Apply(update, mut endpoints) => {
                self.adjust_start_times(now, last_message, &mut endpoints);
                self.update_endpoints(update, endpoints);
                let host = &self.host;
                self.watch.start_times.retain(|engine| host.listing(engine).is_some());
            }
        }
    }

    /// Converts the start times in a list to the node's time; logs if they show that the clock is off.
    fn adjust_start_times(
        &mut self,
        now: Micros,
        last_message: Option<Micros>,
        endpoints: &mut [EngineEndpoint],
    ) {
        let start_times = &mut self.watch.start_times;
        let before = start_times.clock_error();
        start_times.adjust(now, last_message, endpoints);
        let after = start_times.clock_error();
        if after != before && self.log_limiter.allows(now) {
            tracing::info!(
                clock_ahead_ms = after / 1000,
                "start times of engines show an error of the clock"
            );
        }
    }

    fn update_endpoints(&mut self, update: ListUpdate, endpoints: Vec<EngineEndpoint>) {
        self.handle_input(Input::EndpointList(update, endpoints));
        self.abandon_unsent_to_unlisted();
        self.drain_inputs();
        self.close_unlisted_connections();
        let host = &self.host;
        self.engines
            .counters
            .retain(|engine, counters| counters.in_flight > 0 || host.listing(engine).is_some());
    }

    /// Abandons attempts that wait for a connection to an engine that is no longer serving. Guards against a
    /// send after the node has received the notification of a drain.
    fn abandon_unsent_to_unlisted(&mut self) {
        let is_affected = |connection: &Connection| match connection {
            Connection::Engine(engine) => {
                !engine.is_connected
                    && matches!(engine.call, Some(EngineCall::Attempt(_)))
                    && self.host.listing(&engine.engine) != Some(EndpointState::Serving)
            }
            Connection::Client(_) => false,
        };
        let affected: Vec<ConnectionKey> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_affected(connection))
            .map(|(key, _)| key)
            .collect();
        for key in affected {
            self.abandon(key, Outcome::Unreachable);
        }
    }

    /// Closes idle connections to addresses that are no longer listed.
    fn close_unlisted_connections(&mut self) {
        let addresses = self.host.addresses();
        let unlisted: Vec<ConnectionKey> = self
            .engines
            .pool
            .iter()
            .filter(|(address, _)| !addresses.contains(address))
            .map(|(_, key)| key)
            .collect();
        for key in unlisted {
            self.close_engine(key);
        }
    }

    /// Whether the node is ready for clients. Guards against sends based on an outdated list: the
    /// list in the configuration makes the node ready only after discovery has had
    /// [`FIRST_LIST_TIMEOUT`] to send its own.
    pub(crate) fn is_ready(&self) -> bool {
        let has_list =
            self.watch.last_message.is_some() || self.clock.now() >= self.started_at + FIRST_LIST_TIMEOUT;
        !self.shutdown.is_requested() && self.host.serving_engines() > 0 && has_list
    }
}
