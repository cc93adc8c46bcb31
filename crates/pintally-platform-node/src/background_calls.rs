//! Release calls and connection probes.

use std::net::SocketAddr;

use pintally::interface::{AttemptNumber, EngineId, Outcome, RequestId};
use pintally_host::{Input, RequestNumber};
use pintally_platform::encode_release;

use crate::connection::{Connection, ConnectionKey};
use crate::engine_connect::Reuse;
use crate::engine_connection::{EngineCall, OutgoingRequest};
use crate::eviction::ConnectionPurpose;
use crate::node::Node;

impl Node {
    /// Sends a call that releases the reservations of a request; with `new_connection`, only
    /// on a new connection.
    pub(crate) fn send_release(
        &mut self,
        id: RequestId,
        engine: EngineId,
        address: SocketAddr,
        new_connection: bool,
    ) {
        let timeout_at = self.clock.now() + self.settings.limits.background_call_timeout;
        let reuse = if new_connection { Reuse::NewOnly } else { Reuse::Allowed };
        let request = OutgoingRequest::new(encode_release(&id.0), None);
        let call = EngineCall::Release { id: id.clone(), engine: engine.clone(), timeout_at };
        match self.assign_connection(address, &engine, request, call, reuse) {
            Ok(key) => {
                tracing::debug!(request_id = %id.0, engine = %engine.0, "release call started");
                self.write_engine(key);
            }
            Err(Outcome::NeverSent) => self.host_queue.push(Input::ReleaseNotSent(id, engine)),
            Err(_) => self.host_queue.push(Input::Released(id, engine, false)),
        }
    }

    /// Aborts the pending release calls of a request on all connections.
    pub(crate) fn withdraw_releases(&mut self, id: &RequestId) {
        let is_release = |connection: &Connection| match connection {
            Connection::Engine(engine) => {
                matches!(&engine.call, Some(EngineCall::Release { id: released, .. }) if released == id)
            }
            Connection::Client(_) => false,
        };
        let keys: Vec<ConnectionKey> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_release(connection))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.reset_engine(key);
        }
    }

    /// Opens a second connection to the engine of an attempt without a response, to check
    /// whether its machine is up.
    pub(crate) fn probe_connection(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
        engine: &EngineId,
        address: SocketAddr,
    ) {
        if !self.is_attempt_written(number, attempt) {
            return;
        }
        let Ok(key) = self.connect(address, engine, ConnectionPurpose::BackgroundCall) else { return };
        let connect_deadline = self.clock.now() + self.settings.limits.connect_timeout;
        let Some(connection) = self.engine_mut(key) else { return };
        connection.call = Some(EngineCall::ConnectionProbe { number, attempt });
        connection.connect_deadline = connect_deadline;
        if connection.is_connected {
            return self.connection_probe_succeeded(key, number, attempt);
        }
        self.schedule_deadline(key);
    }

    /// Handles a connection probe that has connected.
    pub(crate) fn connection_probe_succeeded(
        &mut self,
        key: ConnectionKey,
        number: RequestNumber,
        attempt: AttemptNumber,
    ) {
        if let Some(connection) = self.engine_mut(key) {
            connection.call = None;
        }
        self.release_connection(key, true);
        if self.is_attempt_written(number, attempt) {
            self.host_queue.push(Input::DeliveryConfirmed(number, attempt));
        }
    }
}
