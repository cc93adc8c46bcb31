//! A soak run: starts all processes and threads, injects the faults, and checks the invariants.

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
use crate::injected_faults::{draw_faults, draw_long_outage, FaultAction, InjectedFault};
use crate::invariants::{InvariantChecker, Violation};
use crate::mock_engine::{Engine, OpenAttempts};
use crate::node::{keep_logs, Launch, Node};
use crate::record::{RequestOutcome, SharedRecord};
use crate::timing::Timing;

/// The largest offset of a node's wall clock.
const HOUR_SECONDS: i64 = 3_600;
/// The stack size of a run's threads. A run has hundreds of threads, and each needs little stack.
const THREAD_STACK_BYTES: usize = 256 << 10;
/// How long after the last request the run waits for open_attempts answers and for held states to be released.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(4_500);
/// How far a recorded time may lag behind the event, even on an idle machine.
const MIN_TIMING_TOLERANCE: Duration = Duration::from_millis(25);
/// How often each node's process is inspected.
const INSPECT_INTERVAL: Duration = Duration::from_millis(150);

/// The stream of random numbers from which a run's long outage is drawn, so that its other faults are independent of it.
const OUTAGE_STREAM: u64 = 1;

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The executable; each node runs it with the `platform` subcommand.
    pub program: PathBuf,
    /// The seed of the faults, the clients and the engines' behaviour.
    pub seed: u64,
    /// The number of nodes.
    pub nodes: usize,
    /// The number of readers.
    pub readers: usize,
    /// The number of writers.
    pub writers: usize,
    /// How long clients send requests.
    pub client_duration: Duration,
    /// Out of 1000 system calls on sockets, this many fail with a transient error, at every second node. 0 disables
    /// this fault.
    pub faults_permille: u32,
    /// The directory to which the nodes' logs are copied; `None` drops them.
    pub logs: Option<PathBuf>,
}

/// The results of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests that were sent completely.
    pub requests_sent: usize,
    /// Requests that were served with a complete answer.
    pub requests_served: usize,
    /// Attempts that reached an engine.
    pub attempts: usize,
    /// Restarts and kills of nodes.
    pub restarts: usize,
    /// The maximum delay with which threads were woken on this machine.
    pub max_wake_delay: Duration,
    /// The injected faults, with their times.
    pub faults: Vec<String>,
    /// The violations of invariants.
    pub violations: Vec<Violation>,
}

/// Starts a thread with a small stack.
pub(crate) fn spawn<T: Send + 'static>(body: impl FnOnce() -> T + Send + 'static) -> Option<JoinHandle<T>> {
    std::thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(body).ok()
}

/// The state of a run, as far as faults act on it.
struct RunState {
    record: Arc<SharedRecord>,
    nodes: Vec<Arc<Node>>,
    agents: Vec<Arc<Agent>>,
    engines: Mutex<BTreeMap<usize, Arc<Engine>>>,
    open_attempts: Arc<OpenAttempts>,
    /// The number of the last replacement engine; the number of engines before the first replacement.
    next_engine: Mutex<usize>,
    readers: usize,
    /// The time between SIGTERM and SIGKILL.
    stop_grace: Duration,
    /// Nodes with a stop, kill or reload in progress.
    reserved_nodes: Mutex<Vec<usize>>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The discovery entry of an engine, as one node sees it.
fn discovery_entry(engine: &Engine, node: usize, phase: &str) -> Value {
    let flavor = if engine.name.starts_with('r') { "m1" } else { "m2" };
    json!({"id": engine.name, "host_port": engine.addresses[node], "locality": "a", "flavor": flavor, "cell": 1,
           "phase": phase, "size": 1.0, "up_since_ms": engine.up_since_ms})
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Runs a soak test and checks its invariants.
pub fn soak(options: &Options) -> std::io::Result<Report> {
    let folder = tempfile::tempdir()?;
    let record = Arc::new(SharedRecord::new());
    let open_attempts = Arc::new(OpenAttempts::default());
    let mut engines = BTreeMap::new();
    let names = (0..options.readers).map(|n| format!("r{n}"));
    for (number, name) in names.chain((0..options.writers).map(|n| format!("w{n}"))).enumerate() {
        let seed = options.seed << 16 | number as u64;
        engines.insert(number, Engine::start(&name, options.nodes, &record, &open_attempts, 0, seed)?);
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
        clock_shift_s: [0, HOUR_SECONDS, -HOUR_SECONDS, 7, -7][options.seed as usize % 5],
        log_level: if options.logs.is_some() { "debug" } else { "info" }.into(),
    });
    let (mut nodes, mut agents) = (Vec::new(), Vec::new());
    for number in 0..options.nodes {
        let members = engines.values().map(|engine| discovery_entry(engine, number, "up")).collect();
        let agent = Agent::new(number, &record, members);
        let node = Node::new(number, &launch, &record, options.seed)?;
        node.configure(options.nodes, agent.serve()?, &agent.full_list())?;
        node.start()?;
        nodes.push(Arc::new(node));
        agents.push(agent);
    }
    let run = Arc::new(RunState {
        record: record.clone(),
        nodes,
        agents,
        next_engine: Mutex::new(engines.len()),
        readers: options.readers,
        engines: Mutex::new(engines),
        open_attempts,
        stop_grace: launch.timing.stop_grace(),
        reserved_nodes: Mutex::default(),
    });
    run.nodes.iter().for_each(|node| node.wait_until_ready());
    let wake_delay_thread = measure_wake_delay(&record);
    let inspector = start_inspector(&run);
    let from = Instant::now();
    let clients = start_clients(&run, options, from + options.client_duration);
    inject_faults(&run, options, from);
    clients.into_iter().flatten().for_each(|client| drop(client.join()));
    settle(&run);
    record.close_held_states();
    run.nodes.iter().for_each(|node| node.record_guard_violations());
    record.end_run();
    let max_wake_delay = wake_delay_thread.and_then(|thread| thread.join().ok()).unwrap_or_default();
    drop(inspector.map(JoinHandle::join));
    if let Some(to) = &options.logs {
        keep_logs(folder.path(), to)?;
    }
    lock(&run.engines).values().for_each(|engine| engine.stop());
    Ok(report(&run, max_wake_delay, launch.timing))
}

fn report(run: &RunState, max_wake_delay: Duration, timing: Timing) -> Report {
    let record = run.record.take();
    // Threads of the nodes are woken as late as those of this process, so the tolerance is twice the measured delay.
    let violations =
        InvariantChecker { record: &record, tolerance: max_wake_delay * 2 + MIN_TIMING_TOLERANCE, timing }
            .violations();
    let requests_sent = record.requests.values().filter(|ask| ask.end != RequestOutcome::Unsent).count();
    let served =
        |end: &RequestOutcome| matches!(end, RequestOutcome::Answered { status: 200, whole: true, .. });
    Report {
        requests_sent,
        requests_served: record.requests.values().filter(|ask| served(&ask.end)).count(),
        attempts: record.attempts.values().map(Vec::len).sum(),
        restarts: record.incarnations.len().saturating_sub(run.nodes.len()),
        max_wake_delay,
        faults: record.faults.iter().map(|(at, what)| format!("{:.2} s {what}", at.as_secs_f64())).collect(),
        violations,
    }
}

/// Measures how late threads are woken on this machine. The delay is added to the invariants' time limits, so that a
/// busy machine does not cause violations.
fn measure_wake_delay(record: &Arc<SharedRecord>) -> Option<JoinHandle<Duration>> {
    let record = record.clone();
    spawn(move || {
        let mut max_delay = Duration::ZERO;
        while !record.is_over() {
            let from = Instant::now();
            std::thread::sleep(Duration::from_millis(5));
            max_delay = max_delay.max(from.elapsed().saturating_sub(Duration::from_millis(6)));
        }
        max_delay
    })
}

/// Starts a thread that inspects the nodes' processes until the run is over.
fn start_inspector(run: &Arc<RunState>) -> Option<JoinHandle<()>> {
    let run = run.clone();
    spawn(move || {
        while !run.record.is_over() {
            run.nodes.iter().for_each(|node| node.inspect());
            std::thread::sleep(INSPECT_INTERVAL);
        }
    })
}

fn start_clients(run: &Arc<RunState>, options: &Options, until: Instant) -> Vec<Option<JoinHandle<()>>> {
    let mut clients = Vec::new();
    for node in &run.nodes {
        for (at, behavior) in ClientBehavior::ALL.into_iter().enumerate() {
            let client = Client {
                node: node.number,
                address: node.address,
                behavior,
                name: format!("s{}-n{}-{behavior:?}", options.seed, node.number),
                seed: options.seed << 24 | (node.number as u64) << 8 | at as u64,
                record: run.record.clone(),
                until,
                client_timeout: Timing::draw(options.seed).client_timeout,
            };
            clients.push(spawn(move || client.run()));
        }
    }
    clients
}

/// Injects the faults, each in its own thread, and waits until the last one is over.
fn inject_faults(run: &Arc<RunState>, options: &Options, from: Instant) {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut outage_rng = rng.clone();
    outage_rng.set_stream(OUTAGE_STREAM);
    let mut faults = draw_faults(&mut rng, options.client_duration);
    faults.extend(draw_long_outage(&mut outage_rng, options.client_duration));
    faults.sort_by_key(|fault| fault.at);
    let mut threads = Vec::new();
    for InjectedFault { at, action } in faults {
        std::thread::sleep((from + at).saturating_duration_since(Instant::now()));
        let now = run.record.now();
        run.record.with(|record| record.faults.push((now, format!("{action:?}"))));
        let (own, seed) = (run.clone(), rng.random_range(0..u64::MAX));
        threads.push(spawn(move || own.inject(action, seed)));
    }
    threads.into_iter().flatten().for_each(|thread| drop(thread.join()));
}

/// Waits until no node holds a request, but at most for `SETTLE_TIMEOUT`, and then for 0.9 s more.
fn settle(run: &RunState) {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while Instant::now() < deadline
        && run.nodes.iter().any(|node| node.held_requests().is_some_and(|held| held > 0))
    {
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(Duration::from_millis(900));
}

impl RunState {
    /// Reserves a node for a fault that ends or reloads its process. `None` if another fault has reserved it.
    fn reserve(&self, node: usize) -> Option<NodeReservation<'_>> {
        let node = node % self.nodes.len();
        let mut reserved_nodes = lock(&self.reserved_nodes);
        if reserved_nodes.contains(&node) {
            return None;
        }
        reserved_nodes.push(node);
        Some(NodeReservation { run: self, node })
    }

    fn engines(&self, numbers: &[usize]) -> Vec<Arc<Engine>> {
        let engines: Vec<Arc<Engine>> = lock(&self.engines).values().cloned().collect();
        let mut indexes: Vec<usize> = numbers.iter().map(|n| n % engines.len()).collect();
        indexes.sort_unstable();
        indexes.dedup();
        indexes.into_iter().map(|n| engines[n].clone()).collect()
    }

    fn inject(&self, action: FaultAction, seed: u64) {
        match action {
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
            FaultAction::DiscoveryDown { span } => self.take_discovery_down(span, |_| {}, |_| {}),
            FaultAction::DiscoveryOutage { span } => {
                self.take_discovery_down(span, |_| {}, Agent::lose_watches);
            }
            FaultAction::DiscoverySlow { span, late } => {
                self.agents.iter().for_each(|agent| agent.set_answer_delay(late));
                std::thread::sleep(span);
                self.agents.iter().for_each(|agent| agent.set_answer_delay(Duration::ZERO));
            }
            FaultAction::DiscoveryRefuses { span } => {
                self.take_discovery_down(
                    span,
                    |agent| agent.set_refusing(true),
                    |agent| agent.set_refusing(false),
                );
            }
            FaultAction::WatchesSilent => self.agents.iter().for_each(|agent| agent.silence_watches()),
            FaultAction::WatchesReset => self.agents.iter().for_each(|agent| agent.reset_watches()),
            FaultAction::Replace { engine, after } => self.replace(engine, after, seed),
            FaultAction::Hang { engines, span } => {
                let engines = self.engines(&engines);
                engines.iter().for_each(|engine| engine.set_hanging(true));
                std::thread::sleep(span);
                engines.iter().for_each(|engine| engine.set_hanging(false));
            }
            FaultAction::Vanish { engines, span } => {
                let engines = self.engines(&engines);
                std::thread::scope(|all| {
                    for engine in &engines {
                        all.spawn(|| engine.vanish());
                    }
                });
                std::thread::sleep(span);
                engines.iter().for_each(|engine| engine.reappear());
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

    /// Stops a node, or kills it and leaves it down for the given time, and starts it again.
    fn restart(&self, node: usize, down_after_kill: Option<Duration>) {
        let Some(reserved) = self.reserve(node) else { return };
        let node = &self.nodes[reserved.node];
        match down_after_kill {
            None => node.stop(self.stop_grace),
            Some(down) => {
                node.kill();
                std::thread::sleep(down);
            }
        }
        if node.start().is_ok() {
            node.wait_until_ready();
        }
    }

    /// Takes the agents down for a time; the actions are applied to each of them at the start, and just before the
    /// return.
    fn take_discovery_down(&self, span: Duration, at_start: impl Fn(&Agent), before_return: impl Fn(&Agent)) {
        let from = self.record.now();
        self.agents.iter().for_each(|agent| agent.set_down(true));
        self.agents.iter().for_each(|agent| at_start(agent));
        std::thread::sleep(span);
        self.agents.iter().for_each(|agent| before_return(agent));
        self.agents.iter().for_each(|agent| agent.set_down(false));
        let to = self.record.now();
        self.record.with(|record| record.discovery_down.push((from, to)));
    }

    /// Reloads a node with a configuration that names a new discovery address. If `half_written`, the node gets the
    /// signal while the file is still incomplete.
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
        let _ = node.configure(self.nodes.len(), address, &agent.full_list());
        if !half_written {
            node.signal("-HUP");
        }
        agent.close_old_watches();
    }

    /// Drains an engine, removes it from the list and ends it. A new, cold engine replaces it.
    fn replace(&self, engine: usize, after: Duration, seed: u64) {
        let Some((number, old)) = self.take_engine_to_drain(engine) else { return };
        let publish = |phase: &str| {
            for (node, agent) in self.agents.iter().enumerate() {
                agent.publish_change(&discovery_entry(&old, node, phase), true);
            }
        };
        publish("draining");
        std::thread::sleep(after);
        publish("removed");
        let new_number = {
            let mut next = lock(&self.next_engine);
            *next += 1;
            *next
        };
        let name = format!("{}{new_number}", &old.name[..1]);
        let nodes = self.nodes.len();
        let started = Engine::start(&name, nodes, &self.record, &self.open_attempts, unix_ms(), seed);
        if let Ok(started) = started {
            for (node, agent) in self.agents.iter().enumerate() {
                agent.publish_change(&discovery_entry(&started, node, "up"), false);
            }
            lock(&self.engines).insert(number + 1_000 * new_number, started);
        }
        // The old engine completes its open answers before it ends.
        std::thread::sleep(Duration::from_secs(3));
        old.stop();
    }

    /// Takes an engine out of the set that faults act on, if enough engines of its role remain.
    fn take_engine_to_drain(&self, engine: usize) -> Option<(usize, Arc<Engine>)> {
        let mut engines = lock(&self.engines);
        let at = engine % engines.len();
        let (number, old) = engines.iter().nth(at).map(|(number, old)| (*number, old.clone()))?;
        let same_role = engines.values().filter(|e| e.name[..1] == old.name[..1]).count();
        if same_role <= self.readers / 2 + 1 {
            return None;
        }
        engines.remove(&number);
        Some((number, old))
    }
}

/// The reservation of a node by one fault.
struct NodeReservation<'a> {
    run: &'a RunState,
    node: usize,
}

impl Drop for NodeReservation<'_> {
    fn drop(&mut self) {
        lock(&self.run.reserved_nodes).retain(|node| *node != self.node);
    }
}
