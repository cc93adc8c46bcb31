//! The parts of a node's state that several modules of the event loop use.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use pintally::interface::{Attempt, EngineId, Micros};
use pintally_guards::{CloseReason, Counts, Denials};
use pintally_host::{Command, Input, RequestNumber};

use crate::connection::ConnectionKey;
use crate::pool::{IdleLimit, IdlePool};

/// A request, from its arrival until the host has ended it.
pub(crate) struct ActiveRequest {
    pub(crate) client: Option<ConnectionKey>,
    pub(crate) head: String,
    pub(crate) body: Rc<[u8]>,
    /// The attempt in flight, and its connection.
    pub(crate) attempt: Option<(Attempt, ConnectionKey)>,
}

/// The requests in flight.
#[derive(Default)]
pub(crate) struct Requests {
    pub(crate) by_number: HashMap<RequestNumber, ActiveRequest>,
    pub(crate) next_number: RequestNumber,
    /// Bytes of the bodies of requests in flight, and of requests that are being received.
    pub(crate) bytes: usize,
}

impl Requests {
    /// The attempt in flight of a request, and its connection.
    pub(crate) fn attempt_of(&self, number: RequestNumber) -> Option<(Attempt, ConnectionKey)> {
        self.by_number.get(&number).and_then(|request| request.attempt)
    }
}

/// Client connections: their number, pending work, and how they were closed.
#[derive(Default)]
pub(crate) struct Clients {
    pub(crate) count: usize,
    /// Connections with output to write.
    pub(crate) pending_writes: Vec<ConnectionKey>,
    /// Connections that may have received another complete request.
    pub(crate) pending_requests: Vec<ConnectionKey>,
    /// Closed connections, by reason.
    pub(crate) closes: Counts<CloseReason>,
    /// Closes that the guards prevented.
    pub(crate) denied_closes: Denials,
}

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

/// Engine connections: idle ones, deadlines, and counters.
pub(crate) struct Engines {
    pub(crate) pool: IdlePool,
    pub(crate) idle_limit: IdleLimit,
    /// Connections by the time at which they have to be checked.
    pub(crate) deadlines: BTreeSet<(Micros, ConnectionKey)>,
    pub(crate) counters: HashMap<EngineId, EngineCounters>,
}

impl Engines {
    /// No connections; idle ones are reused for up to `max_idle`.
    pub(crate) fn new(max_idle: Micros) -> Engines {
        Engines {
            pool: IdlePool::default(),
            idle_limit: IdleLimit::new(max_idle),
            deadlines: BTreeSet::new(),
            counters: HashMap::new(),
        }
    }

    pub(crate) fn counters_of(&mut self, engine: &EngineId) -> &mut EngineCounters {
        self.counters.entry(engine.clone()).or_default()
    }
}

/// Inputs of the host that wait to be handled.
#[derive(Default)]
pub(crate) struct HostQueue {
    pub(crate) inputs: VecDeque<Input>,
    /// Ends of abandoned attempts, by the time at which the host is notified, in order.
    pub(crate) delayed: VecDeque<(Micros, Input)>,
    /// A buffer for the host's commands.
    pub(crate) commands: Vec<Command>,
}

/// The state of a graceful shutdown.
#[derive(Default)]
pub(crate) struct Shutdown {
    /// When a signal requested it.
    pub(crate) requested_at: Option<Micros>,
    /// The host has ended all requests and releases.
    pub(crate) host_stopped: bool,
}

impl Shutdown {
    /// Whether the node is draining.
    pub(crate) fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }
}
