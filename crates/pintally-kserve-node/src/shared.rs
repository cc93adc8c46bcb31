//! State that the node's threads share: settings, channels, flags and counters.

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

/// Stack size of a thread; small, because each connection has a thread.
const STACK_BYTES: usize = 256 << 10;

/// A message to the decision thread.
pub(crate) enum DecisionMessage {
    /// An input for the host.
    Host(Input),
    /// A new request, and the mailbox of its thread.
    RequestArrived(IncomingRequest, RequestMailbox),
    /// Ends the thread at once.
    Kill,
}

/// A message to the thread of a request.
pub(crate) enum RequestMessage {
    /// Start an attempt.
    Attempt(AttemptOrder),
    /// Cancel an attempt.
    Cancel(AttemptNumber),
    /// Send the final answer to the client.
    Answer(FinalAnswer),
    /// The host has finished the request; no more messages follow.
    Finished,
}

/// This node's zone report for the failover leader.
pub(crate) struct OutgoingZoneReport {
    /// The report, encoded.
    pub(crate) encoded: Vec<u8>,
    /// Serving engines in each zone, according to this node's endpoint list.
    pub(crate) engines_per_zone: Vec<f64>,
}

/// The channel to a request's thread, and the waker of that thread.
pub(crate) struct RequestMailbox {
    pub(crate) sender: Sender<RequestMessage>,
    pub(crate) waker: Arc<Waker>,
}

/// Counters of the node's threads, beside those of the host.
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

/// The counters of a node: those of its threads and those of its host.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeCounters {
    /// Client connections admitted.
    pub connections: u64,
    /// Client connections rejected because the maximum number was open.
    pub over_limit: u64,
    /// Requests that were invalid, or for an unknown endpoint or model.
    pub bad_requests: u64,
    /// Requests rejected before they reached the host.
    pub turned_away: u64,
    /// Final answers that could not be written.
    pub unwritten: u64,
    /// Endpoint lists and cells files that were rejected as invalid or as older than the current version.
    pub lists_refused: u64,
    /// Time that the decision thread has spent on handling messages and timers.
    pub deciding: Duration,
    /// The host's counters.
    pub host: Counters,
}

/// State shared by all threads of a node.
pub(crate) struct Shared {
    pub(crate) settings: Arc<NodeSettings>,
    pub(crate) clock: Clock,
    pub(crate) pool: Pool,
    pub(crate) decision_sender: Sender<DecisionMessage>,
    pub(crate) counters: SocketCounters,
    pub(crate) host_counters: Mutex<Counters>,
    /// The status of each cell.
    pub(crate) cells: Mutex<Vec<CellStatus>>,
    /// Tenants that migrate between cells: the name, the fraction of sessions that has moved, and whether the
    /// rest is held back.
    pub(crate) migrations: Mutex<Vec<(String, f64, bool)>>,
    /// Serving engines in the endpoint list. The node is ready while there is at least one.
    pub(crate) serving_engines: AtomicUsize,
    pub(crate) next_request_number: AtomicU64,
    /// State shared by the fleet thread and the others.
    pub(crate) fleet: FleetShared,
    /// Bytes reserved for request bodies by all connections together.
    body_bytes: AtomicUsize,
    /// Whether the node shuts down and accepts no new requests.
    closing: AtomicBool,
    /// Whether the node is killed; all threads then end at once.
    dead: AtomicBool,
    /// Wakers of all connection threads, by connection number.
    connections: Mutex<HashMap<u64, Arc<Waker>>>,
}

impl Shared {
    pub(crate) fn new(settings: Arc<NodeSettings>, decision_sender: Sender<DecisionMessage>) -> Shared {
        let limits = &settings.limits;
        let keep_alive = Duration::from_micros(limits.keep_alive);
        Shared {
            pool: Pool::new(settings.source, limits.max_streams_per_engine, keep_alive),
            clock: Clock::new(),
            decision_sender,
            counters: SocketCounters::default(),
            host_counters: Mutex::default(),
            cells: Mutex::default(),
            migrations: Mutex::default(),
            serving_engines: AtomicUsize::new(0),
            next_request_number: AtomicU64::new(1),
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

    /// Starts the shutdown: no new requests are accepted, and idle connections close.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::Release);
        self.wake_all();
    }

    /// Kills the node: all threads end at once.
    pub(crate) fn kill(&self) {
        self.closing.store(true, Ordering::Release);
        self.dead.store(true, Ordering::Release);
        self.wake_all();
    }

    fn wake_all(&self) {
        lock(&self.connections).values().for_each(|w| w.wake());
    }

    /// Reserves bytes of the limit for all request bodies; `false` if too few are left.
    pub(crate) fn reserve_body_bytes(&self, bytes: usize) -> bool {
        let reserved = self.body_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if reserved > self.settings.limits.max_total_body_bytes {
            self.body_bytes.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        true
    }

    /// Returns reserved bytes to the limit for all request bodies.
    pub(crate) fn return_body_bytes(&self, bytes: usize) {
        self.body_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Adds a connection to the table; `false` if the maximum number is open.
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

    /// The number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        lock(&self.connections).len()
    }

    /// The current counters.
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

    /// Sends an input to the host. Blocks while the channel is full. That cannot deadlock, because the
    /// decision thread never waits for the calling thread.
    pub(crate) fn send_input(&self, input: Input) {
        let _ = self.decision_sender.send(DecisionMessage::Host(input));
    }
}

/// Starts a thread with a small stack.
pub(crate) fn spawn_small(
    name: &str,
    f: impl FnOnce() + Send + 'static,
) -> std::io::Result<thread::JoinHandle<()>> {
    thread::Builder::new().name(name.to_string()).stack_size(STACK_BYTES).spawn(f)
}
