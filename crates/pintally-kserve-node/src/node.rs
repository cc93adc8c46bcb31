//! A node as a whole: its threads, how it starts, stops in good order, and is killed.

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use pintally_config::NodeSettings;
use pintally_host::{Host, Input, ListFollower};
use tracing::info;

use crate::decide::Ends;
use crate::shared::{spawn_small, Message, NodeCounters, Shared};
use crate::wait::Waker;
use crate::{decide, door, errand, fleet, keeper, watch};

/// Messages that may wait for the deciding thread.
const MESSAGES: usize = 1 << 16;
/// Messages that may wait for the keeper, and from it; one that does not fit is lost like one on a link.
const KEEPER: usize = 4096;
/// Questions to peers that may wait; one that does not fit is asked again later.
const ASKED: usize = 64;

/// Why a node could not start.
#[derive(Debug)]
pub struct StartError {
    what: &'static str,
    error: io::Error,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.what, self.error)
    }
}

impl std::error::Error for StartError {}

/// A running node. Dropping it kills it.
pub struct Node {
    shared: Arc<Shared>,
    address: SocketAddr,
    stopped: Receiver<()>,
    door: Arc<Waker>,
    threads: Vec<JoinHandle<()>>,
    look: Option<Sender<()>>,
}

impl Node {
    /// Starts a node; the seed is for its router and the names of its requests.
    pub fn start(settings: Arc<NodeSettings>, seed: u64) -> Result<Node, StartError> {
        let fail = |what| move |error| StartError { what, error };
        let listener = TcpListener::bind(settings.listen).map_err(fail("cannot listen"))?;
        listener.set_nonblocking(true).map_err(fail("cannot listen"))?;
        let address = listener.local_addr().map_err(fail("cannot listen"))?;
        let (decide, messages) = bounded(MESSAGES);
        let (errands, errand_queue) = errand::way().map_err(fail("cannot make a waker"))?;
        let (look, look_queue) = bounded(1);
        let (stopped_sender, stopped) = bounded(1);
        let mut before = fleet::read_before(&settings, seed);
        let mut settings = settings;
        if settings.recovery.is_some() {
            Arc::make_mut(&mut settings).core.remembered_service_rates = before.usual;
        }
        let shared = Arc::new(Shared::new(settings.clone(), decide));
        shared.fleet.keep_in(&mut before);
        let door_waker = Arc::new(Waker::new().map_err(fail("cannot make a waker"))?);
        let mut node = Node {
            shared: shared.clone(),
            address,
            stopped,
            door: door_waker.clone(),
            threads: Vec::new(),
            look: None,
        };
        let mut host = Host::new(settings.clone(), seed);
        if let Some(recovery) = fleet::recovery_of(&settings, shared.clock.now()) {
            host = host.with_recovery(recovery);
        }
        host = host
            .with_orphaned_reservations(std::mem::take(&mut before.left))
            .with_quotas(shared.clock.now())
            .with_outlier_detection(shared.clock.now())
            .with_failover(shared.clock.now());
        let ((ask, asked), (shares, shares_asked)) = (bounded(ASKED), bounded(ASKED));
        let ((testify, testimonies), (zones, zone_words)) = (bounded(ASKED), bounded(ASKED));
        let ends = Ends { errands, look: look.clone(), stopped: stopped_sender, ask, shares, testify, zones };
        let ((to_keeper, keeper_mail), (from_keeper, keeper_words)) = (bounded(KEEPER), bounded(KEEPER));
        let keeps = settings.consensus.clone().filter(|k| k.names.contains(&settings.name));
        let link = match &settings.membership {
            Some(peers) => {
                let keeper = keeps.as_ref().map(|_| to_keeper);
                let link = fleet::open(&shared, peers, &before, seed, keeper);
                Some(link.map_err(fail("cannot reach for peers"))?)
            }
            None => None,
        };
        let own = shared.clone();
        node.spawn("decide", move || decide::run(&own, host, &messages, ends))?;
        let own = shared.clone();
        node.spawn("errands", move || errand::run(&own, &errand_queue))?;
        // What was known before the last end comes first, then the list as it is now.
        let mut follower = ListFollower::default();
        let cells = watch::restore_cells(&shared);
        watch::restore(&shared, &mut follower);
        watch::restore_text(&shared, &mut follower, before.list.as_deref());
        match link {
            Some(link) => {
                info!(peers = %link.address().map_err(fail("cannot reach for peers"))?, "link to peers");
                if let Some(keeps) = keeps {
                    let waker = link.waker().map_err(fail("cannot reach for peers"))?;
                    let own = shared.clone();
                    node.spawn("keeper", move || {
                        keeper::run(&own, &keeps, seed, &keeper_mail, (from_keeper, waker));
                    })?;
                }
                let (own, look) = (shared.clone(), look.clone());
                let mail = fleet::Mail {
                    ask: asked,
                    shares: shares_asked,
                    testimonies,
                    zone_words,
                    keeper: keeper_words,
                };
                node.spawn("fleet", move || fleet::run(&own, link, &mail, look))?;
            }
            None => fleet::alone(&shared, &before),
        }
        let own = shared.clone();
        node.spawn("list", move || watch::run(&own, follower, cells, &look_queue))?;
        node.look = Some(look);
        let own = shared.clone();
        node.spawn("door", move || door::run(&own, &listener, &door_waker))?;
        info!(node = settings.name, %address, "node started");
        Ok(node)
    }

    fn spawn(&mut self, name: &str, f: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
        let thread =
            spawn_small(name, f).map_err(|error| StartError { what: "cannot start a thread", error })?;
        self.threads.push(thread);
        Ok(())
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it has counted.
    pub fn counters(&self) -> NodeCounters {
        self.shared.counters()
    }

    /// Engines that take work, by the list that the node knows.
    pub fn serving(&self) -> usize {
        self.shared.serving.load(Ordering::Relaxed)
    }

    /// Client connections that are open.
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections()
    }

    /// Stops in good order: takes nothing new, ends what it holds, lets go of what it has at
    /// engines, within the time that the settings give. Returns what it has counted.
    pub fn stop(mut self) -> NodeCounters {
        let bound =
            Duration::from_micros(self.shared.settings.limits.shutdown_timeout) + Duration::from_secs(1);
        let by = Instant::now() + bound;
        self.shared.close();
        self.door.wake();
        self.shared.send_input(Input::Stop);
        let _ = self.stopped.recv_deadline(by);
        // The last answers are on their way out of the clients' threads.
        while self.shared.open_connections() > 0 && Instant::now() < by {
            std::thread::sleep(Duration::from_millis(2));
        }
        self.end();
        let counters = self.counters();
        info!(node = self.shared.settings.name, ?counters, "node stopped");
        counters
    }

    /// Ends at once, as if the process had died: nobody gets an answer.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.shared.kill();
        self.door.wake();
        let _ = self.shared.decide.send(Message::Kill);
        self.look = None;
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
