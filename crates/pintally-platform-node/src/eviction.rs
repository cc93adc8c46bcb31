//! The budget of file descriptors, and the eviction of connections when it is used up.

use pintally::interface::Micros;
use pintally_guards::CloseReason;
use pintally_platform::RESERVED_DESCRIPTORS;

use crate::client_connection::{ClientConnection, ClientState};
use crate::connection::{Connection, ConnectionKey};
use crate::node::Node;

/// The limit divided by this number, up to [`MAX_CALL_RESERVE`], is the number of descriptors that are
/// reserved for release calls and connection probes when clients and attempts use all others.
const CALL_RESERVE_DIVISOR: usize = 16;
const MAX_CALL_RESERVE: usize = 8;
/// A connection that has received requests may be evicted after it has been idle for this time.
const EVICTABLE_IDLE_AFTER: Micros = 2_000_000;

/// The purpose for which an engine connection is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPurpose {
    Attempt,
    /// A release call or a connection probe, which may use the reserve.
    BackgroundCall,
}

/// The order in which client connections are evicted; within each variant, the oldest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// The connection is closing, and its last response is completely written.
    Answered(Micros),
    /// The client has not sent a request.
    Silent(Micros),
    /// The connection has been idle for at least [`EVICTABLE_IDLE_AFTER`].
    Idle(Micros),
    /// The first request of the connection is incomplete.
    Partial(Micros),
}

impl EvictionRank {
    /// The rank of a connection; `None` if it is in use.
    fn of(client: &ClientConnection, now: Micros) -> Option<EvictionRank> {
        if client.unwritten_bytes() > 0 {
            return None;
        }
        let is_partial = client.reader.is_partial();
        let is_first = client.request_count == 0;
        match client.state {
            ClientState::Active(_) => None,
            ClientState::Closing => Some(EvictionRank::Answered(client.last_active)),
            ClientState::Receiving if is_first && is_partial => {
                Some(EvictionRank::Partial(client.receiving_since))
            }
            ClientState::Receiving if is_first => Some(EvictionRank::Silent(client.receiving_since)),
            ClientState::Receiving if is_partial || now < client.last_active + EVICTABLE_IDLE_AFTER => None,
            ClientState::Receiving => Some(EvictionRank::Idle(client.last_active)),
        }
    }
}

impl Node {
    /// Closes the client connection that ranks first and may be closed according to the guard; returns
    /// whether one was closed.
    pub(crate) fn evict_client(&mut self) -> bool {
        let now = self.clock.now();
        let mut candidates: Vec<(EvictionRank, ConnectionKey)> = self
            .connections
            .iter()
            .filter_map(|(key, connection)| match connection {
                Connection::Client(client) => EvictionRank::of(client, now).map(|rank| (rank, key)),
                Connection::Engine(_) => None,
            })
            .collect();
        candidates.sort_unstable();
        candidates.into_iter().any(|(_, key)| self.close_client(key, CloseReason::Evicted))
    }

    /// Whether the limit leaves a descriptor for one more client connection or attempt.
    pub(crate) fn has_free_descriptor(&self) -> bool {
        let sockets = self.config.usable_descriptors();
        self.has_free_descriptor_beyond((sockets / CALL_RESERVE_DIVISOR).min(MAX_CALL_RESERVE))
    }

    fn has_free_descriptor_beyond(&self, reserve: usize) -> bool {
        self.connections.len() + RESERVED_DESCRIPTORS + reserve < self.config.usable_descriptors()
    }

    /// Frees a descriptor for one more engine connection if there is none; returns whether one is available.
    /// Guards against reservations that are not released because attempts at unreachable engines use all
    /// descriptors: background calls may use the reserve.
    pub(crate) fn reserve_engine_descriptor(&mut self, purpose: ConnectionPurpose) -> bool {
        let may_use_reserve = purpose == ConnectionPurpose::BackgroundCall;
        if self.has_free_descriptor() || may_use_reserve && self.has_free_descriptor_beyond(0) {
            return true;
        }
        self.close_idle_engine() || self.evict_client()
    }

    /// Closes the idle engine connection whose loss costs least; returns whether there was one.
    pub(crate) fn close_idle_engine(&mut self) -> bool {
        let Some(key) = self.engines.pool.eviction_candidate() else { return false };
        self.close_engine(key);
        true
    }
}
