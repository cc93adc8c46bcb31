//! What the node's threads share: settings, channels, flags and counts.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crossbeam_channel::Sender;
use pintally::interface::Attempt;
use pintally_cells::CellStatus;
use pintally_config::NodeSettings;
use pintally_host::{AttemptOrder, Counters, FinalAnswer, IncomingRequest, Input};

use crate::clock::Clock;
use crate::fleet::FleetShared;
use crate::pool::Pool;
use crate::sync::lock;
use crate::wait::Waker;

/// The stack of a thread that serves one connection.
const SMALL_STACK: usize = 256 << 10;

/// To the deciding thread.
pub(crate) enum Message {
    /// For the host.
    Host(Input),
    /// A request, and where its commands go.
    Arrived(IncomingRequest, Mailbox),
    /// End at once.
    Kill,
}

/// To the thread of a request.
pub(crate) enum Mail {
    Attempt(AttemptOrder),
    Cancel(Attempt),
    Answer(FinalAnswer),
    /// Nothing more comes for this request.
    Over,
}

/// What this node observes of zones, on its way to the failover leader.
pub(crate) struct OutgoingZoneReport {
    /// The report, encoded.
    pub(crate) encoded: Vec<u8>,
    /// Engines that take work in each zone, by this node's endpoint list.
    pub(crate) engines_per_zone: Vec<f64>,
}

/// Where a request's commands go.
pub(crate) struct Mailbox {
    pub(crate) mail: Sender<Mail>,
    pub(crate) waker: Arc<Waker>,
}

/// Counts that only the sockets' side sees.
#[derive(Default)]
pub(crate) struct DoorCounts {
    pub(crate) connections: AtomicU64,
    pub(crate) over_limit: AtomicU64,
    pub(crate) bad_requests: AtomicU64,
    pub(crate) turned_away: AtomicU64,
    pub(crate) unwritten: AtomicU64,
    pub(crate) lists_refused: AtomicU64,
    pub(crate) busy_ns: AtomicU64,
}

/// What a node has counted: on its sockets and in its host.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeCounters {
    /// Client connections let in.
    pub connections: u64,
    /// Client connections turned away for their number.
    pub over_limit: u64,
    /// Requests that were not understood.
    pub bad_requests: u64,
    /// Requests turned away before the host saw them.
    pub turned_away: u64,
    /// Final answers that could not be written.
    pub unwritten: u64,
    /// Lists that were not sound, or older than the one that held.
    pub lists_refused: u64,
    /// Time that the deciding thread has spent deciding.
    pub deciding: Duration,
    /// The host's counts.
    pub host: Counters,
}

/// What all threads of a node share.
pub(crate) struct Shared {
    pub(crate) settings: Arc<NodeSettings>,
    pub(crate) clock: Clock,
    pub(crate) pool: Pool,
    pub(crate) decide: Sender<Message>,
    pub(crate) counts: DoorCounts,
    pub(crate) host_counters: Mutex<Counters>,
    /// Where each cell stands.
    pub(crate) cells: Mutex<Vec<CellStatus>>,
    /// Tenants on the move: the share of their sessions that is over, and whether it is held back.
    pub(crate) moves: Mutex<Vec<(String, f64, bool)>>,
    /// Engines that take work, by the list; the node is ready while there are any.
    pub(crate) serving: AtomicUsize,
    pub(crate) next_ticket: AtomicU64,
    /// What it knows of its peers, and what it keeps.
    pub(crate) fleet: FleetShared,
    /// Bytes of requests that are held, of all connections together.
    bodies: AtomicUsize,
    /// Nothing new is taken.
    closing: AtomicBool,
    /// Everything ends at once.
    dead: AtomicBool,
    /// Wakers of all connection threads.
    connections: Mutex<HashMap<u64, Arc<Waker>>>,
}

impl Shared {
    pub(crate) fn new(settings: Arc<NodeSettings>, decide: Sender<Message>) -> Shared {
        let limits = &settings.limits;
        let keep_alive = Duration::from_micros(limits.keep_alive);
        Shared {
            pool: Pool::new(settings.source, limits.max_streams_per_engine, keep_alive),
            clock: Clock::new(),
            decide,
            counts: DoorCounts::default(),
            host_counters: Mutex::default(),
            cells: Mutex::default(),
            moves: Mutex::default(),
            serving: AtomicUsize::new(0),
            next_ticket: AtomicU64::new(1),
            fleet: FleetShared::default(),
            bodies: AtomicUsize::new(0),
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

    /// Takes room for bytes of a request; `false` if there is none.
    pub(crate) fn take_room(&self, bytes: usize) -> bool {
        let held = self.bodies.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if held > self.settings.limits.max_total_body_bytes {
            self.bodies.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        true
    }

    /// Gives room back.
    pub(crate) fn give_room(&self, bytes: usize) {
        self.bodies.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Enters a connection; `None` if there are as many as allowed.
    pub(crate) fn enter(&self, number: u64, waker: Arc<Waker>) -> Option<()> {
        let mut connections = lock(&self.connections);
        if connections.len() >= self.settings.limits.max_connections {
            return None;
        }
        connections.insert(number, waker);
        Some(())
    }

    pub(crate) fn leave(&self, number: u64) {
        lock(&self.connections).remove(&number);
    }

    /// Connections that are open.
    pub(crate) fn open_connections(&self) -> usize {
        lock(&self.connections).len()
    }

    /// What the node has counted.
    pub(crate) fn counters(&self) -> NodeCounters {
        let c = &self.counts;
        let read = |a: &std::sync::atomic::AtomicU64| a.load(Ordering::Relaxed);
        NodeCounters {
            connections: read(&c.connections),
            over_limit: read(&c.over_limit),
            bad_requests: read(&c.bad_requests),
            turned_away: read(&c.turned_away),
            unwritten: read(&c.unwritten),
            lists_refused: read(&c.lists_refused),
            deciding: Duration::from_nanos(read(&c.busy_ns)),
            host: *lock(&self.host_counters),
        }
    }

    /// Tells the host something. It waits where the channel is full: the deciding thread never waits
    /// for the one that calls, so the wait ends.
    pub(crate) fn send_input(&self, input: Input) {
        let _ = self.decide.send(Message::Host(input));
    }
}

/// Starts a thread with a small stack.
pub(crate) fn spawn_small(
    name: &str,
    f: impl FnOnce() + Send + 'static,
) -> std::io::Result<thread::JoinHandle<()>> {
    thread::Builder::new().name(name.to_string()).stack_size(SMALL_STACK).spawn(f)
}
