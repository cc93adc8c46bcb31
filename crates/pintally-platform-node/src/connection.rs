//! The connections of a node, and their registration with the poller.

use std::net::TcpStream;

use crate::client_connection::ClientConnection;
use crate::engine_connection::EngineConnection;
use crate::event_source::EventSource;
use crate::node::Node;
use crate::poller::EventFlags;

slotmap::new_key_type! {
    /// The key of a connection; keys of closed connections are not reused.
    pub(crate) struct ConnectionKey;
}

/// A connection.
pub(crate) enum Connection {
    Client(Box<ClientConnection>),
    Engine(Box<EngineConnection>),
}

impl Connection {
    /// The socket, and the events for which it is registered.
    fn registration(&mut self) -> (&TcpStream, &mut EventFlags) {
        match self {
            Connection::Client(client) => (&client.stream, &mut client.interest),
            Connection::Engine(engine) => (&engine.stream, &mut engine.interest),
        }
    }
}

impl Node {
    /// Adds a connection; one that cannot be registered with the poller is closed.
    pub(crate) fn register(&mut self, connection: Connection) -> Option<ConnectionKey> {
        let key = self.connections.insert(connection);
        let (stream, interest) = self.connections.get_mut(key)?.registration();
        if self.poller.add(stream, EventSource::Connection(key).token(), *interest).is_err() {
            self.connections.remove(key);
            return None;
        }
        Some(key)
    }

    /// Sets the events for which a connection is registered; makes a system call only if they have changed.
    pub(crate) fn set_interest(&mut self, key: ConnectionKey, wanted: EventFlags) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let (stream, interest) = connection.registration();
        if *interest == wanted {
            return;
        }
        if self.poller.modify(stream, EventSource::Connection(key).token(), wanted).is_ok() {
            *interest = wanted;
        }
    }

    pub(crate) fn client_mut(&mut self, key: ConnectionKey) -> Option<&mut ClientConnection> {
        match self.connections.get_mut(key) {
            Some(Connection::Client(client)) => Some(client),
            _ => None,
        }
    }

    pub(crate) fn engine_mut(&mut self, key: ConnectionKey) -> Option<&mut EngineConnection> {
        match self.connections.get_mut(key) {
            Some(Connection::Engine(engine)) => Some(engine),
            _ => None,
        }
    }
}
