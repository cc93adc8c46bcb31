//! What the node's threads share: settings, channels, flags and counters.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crossbeam_channel::Sender;
use pintally::interface::AttemptNumber;
use pintally_cells::CellStatus;
use pintally_config::NodeSettings;
use pintally_host::{AttemptOrder, Counters, FinalAnswer, IncomingRequest, Input};

use crate::clock::Clock;
use crate::fleet::FleetShared;
use crate::pool::Pool;
use crate::sync::lock;
use crate::wait::Waker;

/// The stack of a thread, small as each connection has one.
const STACK_BYTES: usize = 256 << 10;

/// To the decision thread.
pub(crate) enum DecisionMessage {
    /// For the host.
    Host(Input),
    /// A request, and where its messages go.
    RequestArrived(IncomingRequest, RequestMailbox),
    /// End at once.
    Kill,
}

/// To the thread of a request.
pub(crate) enum RequestMessage {
    /// Make an attempt.
    Attempt(AttemptOrder),
    /// Cancel an attempt.
    Cancel(AttemptNumber),
    /// Give the final answer.
    Answer(FinalAnswer),
    /// Nothing more comes for this request.
    Finished,
}

/// What this node observes of zones, on its way to the failover leader.
pub(crate) struct OutgoingZoneReport {
    /// The report, encoded.
    pub(crate) encoded: Vec<u8>,
    /// Engines that take work in each zone, by this node's endpoint list.
    pub(crate) engines_per_zone: Vec<f64>,
}

/// Where a request's messages go.
pub(crate) struct RequestMailbox {
    pub(crate) sender: Sender<RequestMessage>,
    pub(crate) waker: Arc<Waker>,
}

/// Counters of the sockets' side, which the host does not see.
#[derive(Default)]
pub(crate) struct SocketCounters {
    pub(crate) connections: AtomicU64,
    pub(crate) over_limit: AtomicU64,
    pub(crate) bad_requests: AtomicU64,
    pub(crate) turned_away: AtomicU64,
    pub(crate) unwritten: AtomicU64,
    pub(crate) lists_refused: AtomicU64,
    pub(crate) deciding_ns: AtomicU64,
}

/// What a node has counted: on its sockets and in its host.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeCounters {
    /// Client connections admitted.
    pub connections: u64,
    /// Client connections rejected because there were too many.
    pub over_limit: u64,
    /// Requests that were not understood.
    pub bad_requests: u64,
    /// Requests rejected before the host saw them.
    pub turned_away: u64,
    /// Final answers that could not be written.
    pub unwritten: u64,
    /// Endpoint lists and cells files that were invalid, or older than the one in force.
    pub lists_refused: u64,
    /// Time that the decision thread has spent on messages.
    pub deciding: Duration,
    /// The host's counters.
    pub host: Counters,
}

/// What all threads of a node share.
pub(crate) struct Shared {
    pub(crate) settings: Arc<NodeSettings>,
    pub(crate) clock: Clock,
    pub(crate) pool: Pool,
    pub(crate) decide: Sender<DecisionMessage>,
    pub(crate) counters: SocketCounters,
    pub(crate) host_counters: Mutex<Counters>,
    /// The status of each cell.
    pub(crate) cells: Mutex<Vec<CellStatus>>,
    /// Tenants that migrate: the fraction of their sessions that has moved, and whether the rest is held back.
    pub(crate) moves: Mutex<Vec<(String, f64, bool)>>,
    /// Engines that take work, by the endpoint list; the node is ready while there are any.
    pub(crate) serving: AtomicUsize,
    pub(crate) next_ticket: AtomicU64,
    /// What the fleet thread and the others share.
    pub(crate) fleet: FleetShared,
    /// Bytes of request bodies in memory, of all connections together.
    body_bytes: AtomicUsize,
    /// The node shuts down: nothing new is taken.
    closing: AtomicBool,
    /// The node is killed: everything ends at once.
    dead: AtomicBool,
    /// Wakers of all connection threads.
    connections: Mutex<HashMap<u64, Arc<Waker>>>,
}

impl Shared {
    pub(crate) fn new(settings: Arc<NodeSettings>, decide: Sender<DecisionMessage>) -> Shared {
        let limits = &settings.limits;
        let keep_alive = Duration::from_micros(limits.keep_alive);
        Shared {
            pool: Pool::new(settings.source, limits.max_streams_per_engine, keep_alive),
            clock: Clock::new(),
            decide,
            counters: SocketCounters::default(),
            host_counters: Mutex::default(),
            cells: Mutex::default(),
            moves: Mutex::default(),
            serving: AtomicUsize::new(0),
            next_ticket: AtomicU64::new(1),
            fleet: FleetShared::default(),
            body_bytes: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
            dead: AtomicBool::new(false),
            connections: Mutex::default(),
            settings,
        }
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Acquire)
    }

    /// Takes nothing new from here on; idle connections close.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::Release);
        self.wake_all();
    }

    /// Ends everything at once.
    pub(crate) fn kill(&self) {
        self.closing.store(true, Ordering::Release);
        self.dead.store(true, Ordering::Release);
        self.wake_all();
    }

    fn wake_all(&self) {
        lock(&self.connections).values().for_each(|w| w.wake());
    }

    /// Reserves bytes of the limit for all bodies; `false` if there are not as many.
    pub(crate) fn reserve_body_bytes(&self, bytes: usize) -> bool {
        let reserved = self.body_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if reserved > self.settings.limits.max_total_body_bytes {
            self.body_bytes.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        true
    }

    /// Returns bytes that were reserved.
    pub(crate) fn return_body_bytes(&self, bytes: usize) {
        self.body_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Adds a connection to the table; `false` if there are as many as allowed.
    pub(crate) fn add_connection(&self, number: u64, waker: Arc<Waker>) -> bool {
        let mut connections = lock(&self.connections);
        if connections.len() >= self.settings.limits.max_connections {
            return false;
        }
        connections.insert(number, waker);
        true
    }

    /// Removes a connection from the table.
    pub(crate) fn remove_connection(&self, number: u64) {
        lock(&self.connections).remove(&number);
    }

    /// Connections that are open.
    pub(crate) fn open_connections(&self) -> usize {
        lock(&self.connections).len()
    }

    /// The counters as they are now.
    pub(crate) fn counters(&self) -> NodeCounters {
        let c = &self.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        NodeCounters {
            connections: read(&c.connections),
            over_limit: read(&c.over_limit),
            bad_requests: read(&c.bad_requests),
            turned_away: read(&c.turned_away),
            unwritten: read(&c.unwritten),
            lists_refused: read(&c.lists_refused),
            deciding: Duration::from_nanos(read(&c.deciding_ns)),
            host: *lock(&self.host_counters),
        }
    }

    /// Sends an input to the host. It waits where the channel is full: the decision thread never waits for
    /// the thread that calls, so the wait ends.
    pub(crate) fn send_input(&self, input: Input) {
        let _ = self.decide.send(DecisionMessage::Host(input));
    }
}

/// Starts a thread with a small stack.
pub(crate) fn spawn_small(
    name: &str,
    f: impl FnOnce() + Send + 'static,
) -> std::io::Result<thread::JoinHandle<()>> {
    thread::Builder::new().name(name.to_string()).stack_size(STACK_BYTES).spawn(f)
}
