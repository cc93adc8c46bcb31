//! A run: starts everything, plays the faults, and judges the record.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

use crate::client::{Client, ClientBehavior};
use crate::discovery::Agent;
use crate::fault_layer;
use crate::injected_faults::{draw, FaultAction, InjectedFault};
use crate::invariants::{InvariantChecker, Violation};
use crate::mock_engine::{Engine, Outstanding};
use crate::node::{keep_logs, Launch, Node};
use crate::record::{Record, RequestOutcome};
use crate::timing::Timing;

/// A wall clock may be off by so many seconds.
const HOUR: i64 = 3_600;
/// Threads of a run do little: a small stack is enough for hundreds of them.
const STACK: usize = 256 << 10;
/// Between SIGTERM and SIGKILL: the longest deadline, counted as 3 s at the most, and 0.7 s.
const STOP_GRACE: Duration = Duration::from_millis(2_500 + 700);
/// How long after the last request what is held may take to be let go, and answers to come.
const SETTLE: Duration = Duration::from_millis(4_500);
/// What a note of the record may lag behind what it tells of.
const MIN_LATENESS: Duration = Duration::from_millis(25);
const INSPECT_EVERY: Duration = Duration::from_millis(150);

/// What a run is like.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program to run as `program platform`.
    pub program: PathBuf,
    /// Draws faults, clients and engines' behaviours.
    pub seed: u64,
    /// How many nodes.
    pub nodes: usize,
    /// How many engines of each role.
    pub readers: usize,
    /// How many writers.
    pub writers: usize,
    /// For how long clients ask.
    pub client_duration: Duration,
    /// Of a thousand system calls on sockets so many fail for a moment, at every second node; 0: none.
    pub faults_permille: u32,
    /// Where to keep the nodes' logs, if anywhere.
    pub logs: Option<PathBuf>,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests that were sent whole, those that were served whole, and attempts that came to engines.
    pub requests_sent: usize,
    /// Served whole.
    pub requests_served: usize,
    /// Attempts at engines.
    pub attempts: usize,
    /// Restarts and kills of nodes.
    pub restarts: usize,
    /// How late threads of this machine were woken at the most.
    pub max_wake_delay: Duration,
    /// The faults that were played, with their times.
    pub faults: Vec<String>,
    /// What was broken.
    pub violations: Vec<Violation>,
}

/// A thread with a small stack.
pub(crate) fn spawn<T: Send + 'static>(what: impl FnOnce() -> T + Send + 'static) -> Option<JoinHandle<T>> {
    std::thread::Builder::new().stack_size(STACK).spawn(what).ok()
}

/// Everything that a fault may touch.
struct Stage {
    record: Arc<Record>,
    nodes: Vec<Arc<Node>>,
    agents: Vec<Arc<Agent>>,
    engines: Mutex<BTreeMap<usize, Arc<Engine>>>,
    outstanding: Arc<Outstanding>,
    /// Numbers of engines that were never used.
    next_engine: Mutex<usize>,
    readers: usize,
    /// Nodes with a stop, kill or reload under way.
    busy: Mutex<Vec<usize>>,
}

fn lock<T>(all: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    all.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn member(engine: &Engine, node: usize, phase: &str) -> Value {
    let flavor = if engine.name.starts_with('r') { "m1" } else { "m2" };
    json!({"id": engine.name, "host_port": engine.addresses[node], "locality": "a", "flavor": flavor, "cell": 1,
           "phase": phase, "size": 1.0, "up_since_ms": engine.up_since_ms})
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Plays a run and judges it.
pub fn soak(options: &Options) -> std::io::Result<Report> {
    let folder = tempfile::tempdir()?;
    let record = Arc::new(Record::new());
    let outstanding = Arc::new(Outstanding::default());
    let mut engines = BTreeMap::new();
    let names = (0..options.readers).map(|n| format!("r{n}"));
    for (number, name) in names.chain((0..options.writers).map(|n| format!("w{n}"))).enumerate() {
        let seed = options.seed << 16 | number as u64;
        engines.insert(number, Engine::start(&name, options.nodes, &record, &outstanding, 0, seed)?);
    }
    let faults = match options.faults_permille {
        0 => None,
        permille => fault_layer::build(folder.path()).map(|library| (library, permille)),
    };
    let launch = Arc::new(Launch {
        program: options.program.clone(),
        folder: folder.path().into(),
        faults,
        timing: Timing::draw(options.seed),
        clock_shift: [0, HOUR, -HOUR, 7, -7][options.seed as usize % 5],
        log_level: if options.logs.is_some() { "debug" } else { "info" }.into(),
    });
    let (mut nodes, mut agents) = (Vec::new(), Vec::new());
    for number in 0..options.nodes {
        let members = engines.values().map(|engine| member(engine, number, "up")).collect();
        let agent = Agent::new(number, &record, members);
        let node = Node::new(number, &launch, &record, options.seed)?;
        node.configure(options.nodes, agent.serve()?, &agent.known())?;
        node.start()?;
        nodes.push(Arc::new(node));
        agents.push(agent);
    }
    let stage = Arc::new(Stage {
        record: record.clone(),
        nodes,
        agents,
        next_engine: Mutex::new(engines.len()),
        readers: options.readers,
        engines: Mutex::new(engines),
        outstanding,
        busy: Mutex::default(),
    });
    stage.nodes.iter().for_each(|node| node.until_ready());
    let late = measure_lateness(&record);
    let inspector = inspect(&stage);
    let from = Instant::now();
    let clients = start_clients(&stage, options, from + options.client_duration);
    play(&stage, options, from);
    clients.into_iter().flatten().for_each(|client| drop(client.join()));
    settle(&stage);
    record.close_held();
    stage.nodes.iter().for_each(|node| node.audit());
    record.set_over();
    let late = late.and_then(|late| late.join().ok()).unwrap_or_default();
    drop(inspector.map(JoinHandle::join));
    if let Some(to) = &options.logs {
        keep_logs(folder.path(), to)?;
    }
    lock(&stage.engines).values().for_each(|engine| engine.die());
    Ok(report(&stage, late, launch.timing))
}

fn report(stage: &Stage, max_wake_delay: Duration, timing: Timing) -> Report {
    let books = stage.record.take_books();
    // Threads of nodes are woken as late as those here.
    let violations =
        InvariantChecker { books: &books, late: max_wake_delay * 2 + MIN_LATENESS, timing }.verdict();
    let requests_sent = books.requests.values().filter(|ask| ask.end != RequestOutcome::Unsent).count();
    let whole =
        |end: &RequestOutcome| matches!(end, RequestOutcome::Answered { status: 200, whole: true, .. });
    Report {
        requests_sent,
        requests_served: books.requests.values().filter(|ask| whole(&ask.end)).count(),
        attempts: books.attempt_started.values().map(Vec::len).sum(),
        restarts: books.incarnations.len().saturating_sub(stage.nodes.len()),
        max_wake_delay,
        faults: books.faults.iter().map(|(at, what)| format!("{:.2} s {what}", at.as_secs_f64())).collect(),
        violations,
    }
}

/// How late threads of this machine are woken: a run that is not let go on accuses no node.
fn measure_lateness(record: &Arc<Record>) -> Option<JoinHandle<Duration>> {
    let record = record.clone();
    spawn(move || {
        let mut most = Duration::ZERO;
        while !record.is_over() {
            let from = Instant::now();
            std::thread::sleep(Duration::from_millis(5));
            most = most.max(from.elapsed().saturating_sub(Duration::from_millis(6)));
        }
        most
    })
}

fn inspect(stage: &Arc<Stage>) -> Option<JoinHandle<()>> {
    let stage = stage.clone();
    spawn(move || {
        while !stage.record.is_over() {
            stage.nodes.iter().for_each(|node| node.inspect());
            std::thread::sleep(INSPECT_EVERY);
        }
    })
}

fn start_clients(stage: &Arc<Stage>, options: &Options, until: Instant) -> Vec<Option<JoinHandle<()>>> {
    let mut clients = Vec::new();
    for node in &stage.nodes {
        for (at, manner) in ClientBehavior::ALL.into_iter().enumerate() {
            let client = Client {
                node: node.number,
                address: node.address,
                manner,
                name: format!("s{}-n{}-{manner:?}", options.seed, node.number),
                seed: options.seed << 24 | (node.number as u64) << 8 | at as u64,
                record: stage.record.clone(),
                until,
                client_timeout: Timing::draw(options.seed).client_timeout,
            };
            clients.push(spawn(move || client.run()));
        }
    }
    clients
}

/// Plays the faults, each in a thread of its own, to the end of the last one.
fn play(stage: &Arc<Stage>, options: &Options, from: Instant) {
    let mut dice = ChaCha8Rng::seed_from_u64(options.seed);
    let mut threads = Vec::new();
    for InjectedFault { at, what } in draw(&mut dice, options.client_duration) {
        std::thread::sleep((from + at).saturating_duration_since(Instant::now()));
        let now = stage.record.now();
        stage.record.with(|books| books.faults.push((now, format!("{what:?}"))));
        let (own, seed) = (stage.clone(), dice.random_range(0..u64::MAX));
        threads.push(spawn(move || own.inject(what, seed)));
    }
    threads.into_iter().flatten().for_each(|thread| drop(thread.join()));
}

/// Waits until nothing is held any more, and for as long as what is held may take.
fn settle(stage: &Stage) {
    let by = Instant::now() + SETTLE;
    while Instant::now() < by && stage.nodes.iter().any(|node| node.holds().is_some_and(|held| held > 0)) {
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(Duration::from_millis(900));
}

impl Stage {
    /// Keeps a node for one fault that ends or reloads its process; none if another has it.
    fn reserve(&self, node: usize) -> Option<Reserved<'_>> {
        let node = node % self.nodes.len();
        let mut busy = lock(&self.busy);
        if busy.contains(&node) {
            return None;
        }
        busy.push(node);
        Some(Reserved { stage: self, node })
    }

    fn engines(&self, numbers: &[usize]) -> Vec<Arc<Engine>> {
        let all: Vec<Arc<Engine>> = lock(&self.engines).values().cloned().collect();
        let mut at: Vec<usize> = numbers.iter().map(|n| n % all.len()).collect();
        at.sort_unstable();
        at.dedup();
        at.into_iter().map(|n| all[n].clone()).collect()
    }

    fn inject(&self, what: FaultAction, seed: u64) {
        match what {
            FaultAction::Stop { node } => self.restart(node, None),
            FaultAction::Kill { node, down } => self.restart(node, Some(down)),
            FaultAction::Pause { node, span } => {
                let node = &self.nodes[node % self.nodes.len()];
                node.signal("-STOP");
                std::thread::sleep(span);
                node.signal("-CONT");
            }
            FaultAction::Reload { node, half_written } => self.reload(node, half_written),
            FaultAction::ReloadMany { nodes, times } => {
                for _ in 0..times {
                    (0..nodes).for_each(|node| self.reload(node * 3, false));
                    std::thread::sleep(Duration::from_millis(60));
                }
            }
            FaultAction::DiscoveryDown { span } => {
                let from = self.record.now();
                self.agents.iter().for_each(|agent| agent.set_down(true));
                std::thread::sleep(span);
                self.agents.iter().for_each(|agent| agent.set_down(false));
                let to = self.record.now();
                self.record.with(|books| books.discovery_down.push((from, to)));
            }
            FaultAction::DiscoverySlow { span, late } => {
                self.agents.iter().for_each(|agent| agent.set_slow(late));
                std::thread::sleep(span);
                self.agents.iter().for_each(|agent| agent.set_slow(Duration::ZERO));
            }
            FaultAction::DiscoveryRefuses { span } => {
                let from = self.record.now();
                self.agents.iter().for_each(|agent| agent.set_down(true));
                self.agents.iter().for_each(|agent| agent.set_refusing(true));
                std::thread::sleep(span);
                self.agents.iter().for_each(|agent| agent.set_refusing(false));
                self.agents.iter().for_each(|agent| agent.set_down(false));
                let to = self.record.now();
                self.record.with(|books| books.discovery_down.push((from, to)));
            }
            FaultAction::WatchesSilent => self.agents.iter().for_each(|agent| agent.silence()),
            FaultAction::WatchesReset => self.agents.iter().for_each(|agent| agent.reset()),
            FaultAction::Replace { engine, after } => self.replace(engine, after, seed),
            FaultAction::Hang { engines, span } => {
                let engines = self.engines(&engines);
                engines.iter().for_each(|engine| engine.hang(true));
                std::thread::sleep(span);
                engines.iter().for_each(|engine| engine.hang(false));
            }
            FaultAction::Vanish { engines, span } => {
                let engines = self.engines(&engines);
                std::thread::scope(|all| {
                    for engine in &engines {
                        all.spawn(|| engine.vanish());
                    }
                });
                std::thread::sleep(span);
                engines.iter().for_each(|engine| engine.restart());
            }
            FaultAction::Reset { engine } => {
                self.engines(&[engine]).iter().for_each(|e| e.reset_connections());
            }
            FaultAction::Crowd { node, connections, span } => {
                let address = self.nodes[node % self.nodes.len()].address;
                let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
                let crowd: Vec<Option<TcpStream>> = (0..connections).map(|_| connect()).collect();
                std::thread::sleep(span);
                drop(crowd);
            }
        }
    }

    /// Stops a node, or kills it, and starts it again.
    fn restart(&self, node: usize, killed: Option<Duration>) {
        let Some(reserved) = self.reserve(node) else { return };
        let node = &self.nodes[reserved.node];
        match killed {
            None => node.stop(STOP_GRACE),
            Some(down) => {
                node.kill();
                std::thread::sleep(down);
            }
        }
        if node.start().is_ok() {
            node.until_ready();
        }
    }

    /// Moves a node's discovery by a new configuration.
    fn reload(&self, node: usize, half_written: bool) {
        let Some(reserved) = self.reserve(node) else { return };
        let (node, agent) = (&self.nodes[reserved.node], &self.agents[reserved.node]);
        let Ok(address) = agent.serve() else { return };
        if half_written {
            let whole = std::fs::read(node.config_file()).unwrap_or_default();
            let _ = std::fs::write(node.config_file(), &whole[..whole.len() / 2]);
            node.signal("-HUP");
            std::thread::sleep(Duration::from_millis(120));
        }
        let _ = node.configure(self.nodes.len(), address, &agent.known());
        if !half_written {
            node.signal("-HUP");
        }
        agent.move_to_new_address();
    }

    /// An engine drains, ends and leaves the list; a new one takes its place, cold.
    fn replace(&self, engine: usize, after: Duration, seed: u64) {
        let Some((number, old)) = self.draining_candidate(engine) else { return };
        let tell = |phase: &str| {
            for (node, agent) in self.agents.iter().enumerate() {
                agent.change(&member(&old, node, phase), true);
            }
        };
        tell("draining");
        std::thread::sleep(after);
        tell("removed");
        let fresh = {
            let mut next = lock(&self.next_engine);
            *next += 1;
            *next
        };
        let name = format!("{}{fresh}", &old.name[..1]);
        let nodes = self.nodes.len();
        let started = Engine::start(&name, nodes, &self.record, &self.outstanding, unix_ms(), seed);
        if let Ok(started) = started {
            for (node, agent) in self.agents.iter().enumerate() {
                agent.change(&member(&started, node, "up"), false);
            }
            lock(&self.engines).insert(number + 1_000 * fresh, started);
        }
        // What it still answers comes to its end.
        std::thread::sleep(Duration::from_secs(3));
        old.die();
    }

    /// Takes an engine out of those that faults may touch, if enough of its role stay.
    fn draining_candidate(&self, engine: usize) -> Option<(usize, Arc<Engine>)> {
        let mut engines = lock(&self.engines);
        let at = engine % engines.len();
        let (number, old) = engines.iter().nth(at).map(|(number, old)| (*number, old.clone()))?;
        let like = engines.values().filter(|e| e.name[..1] == old.name[..1]).count();
        if like <= self.readers / 2 + 1 {
            return None;
        }
        engines.remove(&number);
        Some((number, old))
    }
}

/// A node that one fault has to itself.
struct Reserved<'a> {
    stage: &'a Stage,
    node: usize,
}

impl Drop for Reserved<'_> {
    fn drop(&mut self) {
        lock(&self.stage.busy).retain(|node| *node != self.node);
    }
}
