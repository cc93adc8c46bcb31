//! Engine connections: reuse, opening, return to the pool, and closing.

use std::net::SocketAddr;
use std::time::Duration;

use pintally::interface::{EngineId, Micros, Outcome};
use pintally_platform::EngineResponseReader;
use socket2::SockRef;

use crate::connection::{Connection, ConnectionKey};
use crate::engine_connection::{EngineCall, EngineConnection, OutgoingRequest};
use crate::eviction::ConnectionPurpose;
use crate::node::Node;
use crate::poller::{self, EventFlags};

/// Which connection a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// An idle connection if there is one.
    Allowed,
    /// Only a new connection.
    NewOnly,
}

impl Node {
    /// Assigns a call to a connection: the valid idle connection that was used last, or a new one.
    pub(crate) fn assign_connection(
        &mut self,
        address: SocketAddr,
        engine: &EngineId,
        request: OutgoingRequest,
        call: EngineCall,
        reuse: Reuse,
    ) -> Result<ConnectionKey, Outcome> {
        let now = self.clock.now();
        let idle = match reuse {
            Reuse::Allowed => self.take_idle_connection(now, address),
            Reuse::NewOnly => None,
        };
        let (key, idle_before) = match idle {
            Some((key, idle_time)) => (key, Some(idle_time)),
            None => (self.connect(address, engine, purpose_of(&call))?, None),
        };
        let connect_timeout = self.settings.limits.connect_timeout;
        if let Some(connection) = self.engine_mut(key) {
            connection.engine = engine.clone();
            connection.request = request;
            connection.reader = EngineResponseReader::default();
            connection.is_paused = false;
            connection.last_active = now;
            connection.connect_deadline = now + connect_timeout;
            connection.call = Some(call);
            connection.idle_before = idle_before;
        }
        self.schedule_deadline(key);
        Ok(key)
    }

    /// Takes the valid idle connection that was used last, and returns it with its idle time; invalid
    /// connections are closed.
    fn take_idle_connection(&mut self, now: Micros, address: SocketAddr) -> Option<(ConnectionKey, Micros)> {
        while let Some(key) = self.engines.pool.take(now, address) {
            let Some(Connection::Engine(connection)) = self.connections.get(key) else { continue };
            // Guards against a request on a connection that the engine has closed or that has surplus bytes:
            // the request would end with a reset and might have run.
            let is_fresh = now < connection.last_active + self.engines.idle_limit.at(now);
            let has_no_input = connection.has_no_input();
            if is_fresh && has_no_input {
                return Some((key, now - connection.last_active));
            }
            self.close_engine(key);
        }
        None
    }

    /// Opens a connection, which may be established later.
    pub(crate) fn connect(
        &mut self,
        address: SocketAddr,
        engine: &EngineId,
        purpose: ConnectionPurpose,
    ) -> Result<ConnectionKey, Outcome> {
        if !self.reserve_engine_descriptor(purpose) {
            return Err(Outcome::NeverSent);
        }
        let socket = poller::socket(address).map_err(|_| Outcome::NeverSent)?;
        self.socket_buffers.apply_to_engine(&socket);
        let is_connected = poller::connect(&socket, address).map_err(|_| Outcome::Unreachable)?;
        let now = self.clock.now();
        let connection = EngineConnection {
            stream: socket.into(),
            address,
            engine: engine.clone(),
            is_connected,
            connect_deadline: now,
            request: OutgoingRequest::default(),
            send_limit: self.socket_buffers.send_limit(),
            reader: EngineResponseReader::default(),
            call: None,
            idle_before: None,
            last_active: now,
            is_paused: false,
            last_progress: now,
            interest: if is_connected { EventFlags::IN | EventFlags::RDHUP } else { EventFlags::OUT },
            deadline: Micros::MAX,
            held_bytes: 0,
        };
        let key = self.register(Connection::Engine(Box::new(connection))).ok_or(Outcome::NeverSent)?;
        self.engines.counters_of(engine).connections += 1;
        Ok(key)
    }

    /// Handles a connection whose call has ended: a reusable one returns to the pool unless
    /// the node is draining.
    pub(crate) fn release_connection(&mut self, key: ConnectionKey, reusable: bool) {
        if reusable && !self.shutdown.is_requested() {
            self.return_to_pool(key);
        } else {
            self.close_engine(key);
        }
    }

    fn return_to_pool(&mut self, key: ConnectionKey) {
        let now = self.clock.now();
        let Some(connection) = self.engine_mut(key) else { return };
        connection.last_active = now;
        connection.is_paused = false;
        connection.request = OutgoingRequest::default();
        connection.reader = EngineResponseReader::default();
        let address = connection.address;
        self.engines.pool.put(now, address, key);
        self.update_engine_held_bytes(key);
        self.schedule_deadline(key);
        self.update_engine_interest(key);
    }

    /// Closes a connection whose call was abandoned, with a reset. Guards against bytes in the socket's send
    /// buffer for an engine that is partitioned or does not read: after an ordinary close they would still be
    /// delivered, and the attempt or the release would start when it is no longer accounted for.
    pub(crate) fn reset_engine(&mut self, key: ConnectionKey) {
        if let Some(Connection::Engine(connection)) = self.connections.get(key) {
            // If the system call fails, the connection is closed without a reset.
            let _ = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
        }
        self.close_engine(key);
    }

    pub(crate) fn close_engine(&mut self, key: ConnectionKey) {
        if let Some(Connection::Engine(connection)) = self.connections.remove(key) {
            self.engines.held_bytes -= connection.held_bytes;
            self.engines.pool.remove(connection.address, key);
            self.engines.remove_deadline(connection.deadline, key);
        }
    }
}

fn purpose_of(call: &EngineCall) -> ConnectionPurpose {
    match call {
        EngineCall::Attempt(_) => ConnectionPurpose::Attempt,
        EngineCall::Release { .. } | EngineCall::ConnectionProbe { .. } => ConnectionPurpose::BackgroundCall,
    }
}
