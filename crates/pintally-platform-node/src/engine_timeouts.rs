//! Timeouts of engine connections.

use pintally::interface::{Micros, Outcome};
use pintally_guards::CloseReason;
use pintally_host::RequestNumber;
use pintally_platform::outcome_of_failure;

use crate::connection::{Connection, ConnectionKey};
use crate::engine_connection::{EngineCall, EngineConnection};
use crate::node::Node;

impl Node {
    /// Schedules the check of a connection for the expiry of its timeout.
    pub(crate) fn schedule_deadline(&mut self, key: ConnectionKey) {
        let idle_limit = self.engines.idle_limit.at(self.clock.now());
        let stall_timeout = self.settings.limits.stall_timeout;
        let Some(Connection::Engine(connection)) = self.connections.get_mut(key) else { return };
        let deadline = connection.timeout_at(idle_limit, stall_timeout);
        if deadline != connection.deadline {
            self.engines.remove_deadline(connection.deadline, key);
            connection.deadline = deadline;
            self.engines.add_deadline(deadline, key);
        }
    }

    /// Ends calls and closes idle connections whose timeout has expired.
    pub(crate) fn expire_engine_connections(&mut self, now: Micros) {
        let idle_limit = self.engines.idle_limit.at(now);
        let stall_timeout = self.settings.limits.stall_timeout;
        while let Some((at, key)) = self.engines.next_deadline().filter(|(at, _)| *at <= now) {
            let Some(Connection::Engine(connection)) = self.connections.get(key) else {
                self.engines.remove_deadline(at, key);
                continue;
            };
            if connection.timeout_at(idle_limit, stall_timeout) > now {
                self.schedule_deadline(key);
                continue;
            }
            match Expiry::of(connection) {
                Expiry::Close => self.close_engine(key),
                Expiry::Abandon(outcome) => self.abandon(key, outcome),
                Expiry::StalledStream(stream) => self.expire_stream(key, stream),
            }
            self.drain_inputs();
        }
    }

    /// Ends a stream without progress. If reading was paused because the client is slow, the client
    /// connection is ended instead, and the engine is not blamed.
    fn expire_stream(&mut self, key: ConnectionKey, stream: StalledStream) {
        let request = self.requests.get(stream.number);
        match request.and_then(|request| request.client).filter(|_| stream.is_paused) {
            Some(client) => self.client_disconnected(client, CloseReason::WriteTimeout),
            None => self.abandon(key, Outcome::ConnectionBroken),
        }
    }
}

/// A stream without progress.
struct StalledStream {
    number: RequestNumber,
    is_paused: bool,
}

/// The action on the expiry of a timeout.
enum Expiry {
    Close,
    Abandon(Outcome),
    StalledStream(StalledStream),
}

impl Expiry {
    fn of(connection: &EngineConnection) -> Expiry {
        match &connection.call {
            None | Some(EngineCall::ConnectionProbe { .. }) => Expiry::Close,
            Some(EngineCall::Release { .. }) => Expiry::Abandon(Outcome::TimedOut),
            Some(EngineCall::Attempt(call)) if call.has_started => {
                Expiry::StalledStream(StalledStream { number: call.number, is_paused: connection.is_paused })
            }
            Some(EngineCall::Attempt(_)) => Expiry::Abandon(outcome_of_failure(connection.phase(), true)),
        }
    }
}
