//! A node: starts its threads, shuts down gracefully, and kills itself.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use pintally_config::{ConsensusSettings, NodeSettings};
use pintally_host::{Host, Input};
use thiserror::Error;
use tracing::info;

use crate::decision_thread::DecisionOutputs;
use crate::fleet::{FleetInputs, FleetLink, RestoredState};
use crate::replica_thread::{ReplicaInput, ReplicaOutput, ReplicaOutputs};
use crate::shared::{spawn_small, DecisionMessage, NodeCounters, Shared};
use crate::wait::Waker;
use crate::watcher::{CellsWatcher, EndpointListWatcher};
use crate::{background_calls, decision_thread, fleet, listener, replica_thread, watcher};

/// Maximum number of messages that wait for the decision thread.
const MAX_DECISION_MESSAGES: usize = 1 << 16;
/// Maximum number of messages that wait for the replica, and from it. Further ones are dropped, like lost
/// datagrams.
const MAX_REPLICA_MESSAGES: usize = 4096;
/// Extra time that a shutdown may take beyond the timeout in the settings, so that threads can end.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);
/// Interval between checks whether all connections have closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Why a node could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address for clients cannot be bound.
    #[error("cannot listen: {0}")]
    Listen(io::Error),
    /// The system has no file descriptor for a waker.
    #[error("cannot create the file descriptor of a waker: {0}")]
    Waker(io::Error),
    /// The sockets for peers cannot be opened.
    #[error("cannot open the sockets for peers: {0}")]
    Peers(io::Error),
    /// The system cannot start another thread.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
}

/// A running node. Dropping it kills it.
pub struct Node {
    shared: Arc<Shared>,
    address: SocketAddr,
    stopped: Receiver<()>,
    listener_waker: Arc<Waker>,
    threads: Vec<JoinHandle<()>>,
    /// Keeps the watcher running until it is dropped.
    reload_list: Option<Sender<()>>,
}

impl Node {
    /// Starts a node. The seed is for its router, for the names of its requests and for its incarnation.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be opened or a thread cannot be started.
    pub fn start(settings: Arc<NodeSettings>, seed: u64) -> Result<Node, StartError> {
        let (listener, address) = bind(settings.listen).map_err(StartError::Listen)?;
        let (decision_sender, messages) = bounded(MAX_DECISION_MESSAGES);
        let (background_calls, call_queue) = background_calls::channel().map_err(StartError::Waker)?;
        let (reload_list, reload_requests) = bounded(1);
        let (stopped_sender, stopped) = bounded(1);
        let mut restored = fleet::restore_state(&settings, seed);
        let settings = with_remembered_rates(settings, &restored);
        let shared = Arc::new(Shared::new(settings, decision_sender));
        shared.fleet.attach_store(&mut restored);
        let listener_waker = Arc::new(Waker::new().map_err(StartError::Waker)?);
        let mut node = Node {
            shared: shared.clone(),
            address,
            stopped,
            listener_waker: listener_waker.clone(),
            threads: Vec::new(),
            reload_list: None,
        };
        let host = new_host(&shared, &mut restored, seed);
        let (fleet_senders, fleet_receivers) = fleet::channels();
        let outputs = DecisionOutputs {
            background_calls,
            reload_list: reload_list.clone(),
            stopped: stopped_sender,
            fleet: fleet_senders,
        };
        let (replica, to_replica) = ReplicaChannels::new(&shared.settings).unzip();
        let link = open_link(&shared, &restored, seed, to_replica)?;
        let thread_shared = shared.clone();
        node.spawn("decision", move || decision_thread::run(&thread_shared, host, &messages, outputs))?;
        let thread_shared = shared.clone();
        node.spawn("calls", move || background_calls::run(&thread_shared, &call_queue))?;
        // Applies the cached versions of the files first; the watcher then reads the current ones.
        let cells = CellsWatcher::restore(&shared);
        let list = EndpointListWatcher::restore(&shared, restored.endpoint_list.as_deref());
        match link {
            Some(link) => node.start_fleet(link, fleet_receivers, replica, seed, reload_list.clone())?,
            None => fleet::start_without_peers(&shared, &restored),
        }
        let thread_shared = shared.clone();
        node.spawn("watcher", move || watcher::run(&thread_shared, list, cells, &reload_requests))?;
        node.reload_list = Some(reload_list);
        let thread_shared = shared.clone();
        node.spawn("listener", move || listener::run(&thread_shared, &listener, &listener_waker))?;
        info!(node = shared.settings.name, %address, "node started");
        Ok(node)
    }

    /// Starts the additional threads of a node with peers.
    fn start_fleet(
        &mut self,
        link: FleetLink,
        inputs: FleetInputs,
        replica: Option<ReplicaChannels>,
        seed: u64,
        reload_list: Sender<()>,
    ) -> Result<(), StartError> {
        info!(address = %link.address().map_err(StartError::Peers)?, "peer link opened");
        let mut replica_outputs = None;
        if let Some(replica) = replica {
            let waker = link.waker().map_err(StartError::Peers)?;
            let outputs = ReplicaOutputs { sender: replica.sender, waker };
            replica_outputs = Some(replica.receiver);
            let (shared, settings, inputs) = (self.shared.clone(), replica.settings, replica.inputs);
            self.spawn("replica", move || replica_thread::run(&shared, &settings, seed, &inputs, outputs))?;
        }
        let shared = self.shared.clone();
        self.spawn("fleet", move || fleet::run(&shared, link, &inputs, replica_outputs, reload_list))
    }

    fn spawn(&mut self, name: &str, f: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
        self.threads.push(spawn_small(name, f).map_err(StartError::Thread)?);
        Ok(())
    }

    /// The address on which the node listens for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The current counters.
    pub fn counters(&self) -> NodeCounters {
        self.shared.counters()
    }

    /// The number of serving engines in the node's endpoint list.
    pub fn serving_engines(&self) -> usize {
        self.shared.serving_engines.load(Ordering::Relaxed)
    }

    /// The number of open client connections.
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections()
    }

    /// Shuts down gracefully: accepts no new requests, completes those in flight and releases its
    /// reservations at engines, within the timeout of the settings. Returns the final counters.
    pub fn stop(mut self) -> NodeCounters {
        let timeout = Duration::from_micros(self.shared.settings.limits.shutdown_timeout);
        let deadline = Instant::now() + timeout + SHUTDOWN_GRACE;
        self.shared.close();
        self.listener_waker.wake();
        self.shared.send_input(Input::Stop);
        let _ = self.stopped.recv_deadline(deadline);
        // The client threads may still be writing the last answers.
        while self.shared.open_connections() > 0 && Instant::now() < deadline {
            std::thread::sleep(CLOSE_POLL_INTERVAL);
        }
        self.end();
        let counters = self.counters();
        info!(node = self.shared.settings.name, ?counters, "node stopped");
        counters
    }

    /// Ends at once, as if the process had died: requests in flight get no answer.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.shared.kill();
        self.listener_waker.wake();
        let _ = self.shared.decision_sender.send(DecisionMessage::Kill);
        self.reload_list = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if !self.threads.is_empty() {
            self.end();
        }
    }
}

/// Binds a non-blocking listener and returns it with its address.
fn bind(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Adds the service rates that the previous process measured to the settings, if the node has recovery.
fn with_remembered_rates(mut settings: Arc<NodeSettings>, restored: &RestoredState) -> Arc<NodeSettings> {
    if settings.recovery.is_some() {
        Arc::make_mut(&mut settings).core.remembered_service_rates = restored.service_rates;
    }
    settings
}

fn new_host(shared: &Shared, restored: &mut RestoredState, seed: u64) -> Host {
    let mut host = Host::new(shared.settings.clone(), seed);
    if let Some(recovery) = fleet::new_recovery(&shared.settings, shared.clock.now()) {
        host = host.with_recovery(recovery);
    }
    host.with_orphaned_reservations(std::mem::take(&mut restored.orphaned_reservations))
        .with_quotas(shared.clock.now())
        .with_outlier_detection(shared.clock.now())
        .with_failover(shared.clock.now())
}

/// Opens the link to peers, if the settings have any.
fn open_link(
    shared: &Arc<Shared>,
    restored: &RestoredState,
    seed: u64,
    replica: Option<Sender<ReplicaInput>>,
) -> Result<Option<FleetLink>, StartError> {
    let Some(membership) = &shared.settings.membership else { return Ok(None) };
    fleet::open(shared, membership, restored, seed, replica).map(Some).map_err(StartError::Peers)
}

/// The settings and channels of the replica's thread.
struct ReplicaChannels {
    settings: ConsensusSettings,
    inputs: Receiver<ReplicaInput>,
    sender: Sender<ReplicaOutput>,
    receiver: Receiver<ReplicaOutput>,
}

impl ReplicaChannels {
    /// Creates the channels to and from the replica, and the sender to it; `None` if this node runs no
    /// replica.
    fn new(settings: &NodeSettings) -> Option<(ReplicaChannels, Sender<ReplicaInput>)> {
        let consensus = settings.consensus.clone().filter(|c| c.names.contains(&settings.name))?;
        let (to_replica, inputs) = bounded(MAX_REPLICA_MESSAGES);
        let (sender, receiver) = bounded(MAX_REPLICA_MESSAGES);
        Some((ReplicaChannels { settings: consensus, inputs, sender, receiver }, to_replica))
    }
}
