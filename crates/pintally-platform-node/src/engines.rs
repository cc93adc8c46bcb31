//! Data about all engine connections of the node.

use std::collections::{BTreeSet, HashMap};

use pintally::interface::{EngineId, Micros};

use crate::connection::ConnectionKey;
use crate::pool::{IdleLimit, IdlePool};

/// Counters of the sockets of one engine; all but `in_flight` are monotonic.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineCounters {
    pub(crate) sent: u64,
    pub(crate) started: u64,
    pub(crate) served: u64,
    pub(crate) read: u64,
    pub(crate) rejected: u64,
    pub(crate) failed: u64,
    pub(crate) connections: u64,
    /// Attempts in flight.
    pub(crate) in_flight: u64,
}

/// Data about all engine connections: the idle pool, deadlines, and counters.
pub(crate) struct Engines {
    pub(crate) pool: IdlePool,
    pub(crate) idle_limit: IdleLimit,
    /// The time at which each connection has to be checked, in order.
    deadlines: BTreeSet<(Micros, ConnectionKey)>,
    pub(crate) counters: HashMap<EngineId, EngineCounters>,
    /// Number of bytes that are held for responses of engines.
    pub(crate) held_bytes: usize,
}

impl Engines {
    /// No connections yet; connections that are idle for up to `max_idle` are reused.
    pub(crate) fn new(max_idle: Micros) -> Engines {
        Engines {
            pool: IdlePool::default(),
            idle_limit: IdleLimit::new(max_idle),
            deadlines: BTreeSet::new(),
            counters: HashMap::new(),
            held_bytes: 0,
        }
    }

    pub(crate) fn counters_of(&mut self, engine: &EngineId) -> &mut EngineCounters {
        self.counters.entry(engine.clone()).or_default()
    }

    /// The connection that has to be checked next, and when.
    pub(crate) fn next_deadline(&self) -> Option<(Micros, ConnectionKey)> {
        self.deadlines.first().copied()
    }

    pub(crate) fn add_deadline(&mut self, at: Micros, key: ConnectionKey) {
        self.deadlines.insert((at, key));
    }

    pub(crate) fn remove_deadline(&mut self, at: Micros, key: ConnectionKey) {
        self.deadlines.remove(&(at, key));
    }
}
