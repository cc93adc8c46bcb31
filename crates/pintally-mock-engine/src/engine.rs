//! One mock engine: its state behind a lock, start and crash, and the thread that accepts connections.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::{Duration, Instant};

use pintally_audit::AuditEvent;
use pintally_emulator as emulator;
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::driver::EmulatorDriver;
use crate::fleet::lock;
use crate::{serve, EngineSpec, Faults, Fleet, Port, Recorder, ReportAccuracy, Role};

/// Tokens in a KV cache block.
pub(crate) const BLOCK_TOKENS: u64 = 16;
/// Prompt tokens that one step may read, beside one token for each slot.
const PREFILL_CHUNK_TOKENS: u64 = 512;
/// Fixed cost of a step at an engine that only reads, in microseconds; the tokens read come on top.
const READER_STEP_US: f64 = 100.0;
/// How often waiting threads check whether the engine still runs.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long, and how often, an engine tries to listen on its address again.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(2);
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A mock engine.
pub struct Engine {
    /// Its capacity, speeds and location.
    pub spec: EngineSpec,
    /// Listening address; the same after each restart.
    pub address: SocketAddr,
    /// Reserves the port while the engine is down.
    _port: Port,
    pub(crate) fleet: Weak<Fleet>,
    pub(crate) recorder: Recorder,
    /// Drives the emulated engine, which is `emulator_index` in its fleet.
    pub(crate) driver: Arc<EmulatorDriver>,
    pub(crate) emulator_index: usize,
    state: Mutex<State>,
    pub(crate) changed: Condvar,
}

pub(crate) struct State {
    pub(crate) up: bool,
    /// Increases with each start and each crash.
    pub(crate) incarnation: u64,
    /// When it started cold; `None` if it started warm.
    pub(crate) started: Option<Instant>,
    pub(crate) faults: Faults,
    /// Whether nodes may fail to reach it, as last recorded.
    pub(crate) unreachable: bool,
    /// Work received while cold: when, how much in seconds of full capacity, and from which node.
    recent_work: VecDeque<(Instant, f64, String)>,
}

impl Engine {
    pub(crate) fn new(
        fleet: Weak<Fleet>,
        spec: EngineSpec,
        recorder: Recorder,
        (driver, emulator_index): (Arc<EmulatorDriver>, usize),
    ) -> io::Result<Arc<Engine>> {
        let port = Port::hold()?;
        let address = port.address()?;
        let state = State {
            up: false,
            incarnation: 0,
            started: None,
            faults: Faults::default(),
            unreachable: false,
            recent_work: VecDeque::new(),
        };
        let (state, changed) = (Mutex::new(state), Condvar::new());
        Ok(Arc::new(Engine {
            spec,
            address,
            _port: port,
            fleet,
            recorder,
            driver,
            emulator_index,
            state,
            changed,
        }))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Waits for a change, for `max_wait` or `POLL_INTERVAL`, whichever is shorter.
    pub(crate) fn wait<'a>(&self, state: MutexGuard<'a, State>, max_wait: Duration) -> MutexGuard<'a, State> {
        let max_wait = max_wait.min(POLL_INTERVAL).max(Duration::from_micros(50));
        self.changed.wait_timeout(state, max_wait).unwrap_or_else(std::sync::PoisonError::into_inner).0
    }

    /// Starts the engine, cold or warm; does nothing if it runs.
    pub fn start(self: &Arc<Self>, cold: bool) {
        if self.is_up() {
            return;
        }
        let listener = match listen_again(self.address) {
            Ok(listener) => listener,
            Err(error) => {
                eprintln!("mock engine {}: cannot listen on {}: {error}", self.spec.id, self.address);
                return;
            }
        };
        let mut state = self.lock();
        if state.up {
            return;
        }
        state.up = true;
        state.incarnation += 1;
        state.started = cold.then(Instant::now);
        state.recent_work.clear();
        self.driver.with_fleet(|fleet, now, _| fleet.start(now, self.emulator_index, cold));
        let (engine, incarnation) = (self.clone(), state.incarnation);
        drop(state);
        if cold {
            self.recorder.note(AuditEvent::EngineStarted { engine: self.spec.id.clone() });
        }
        let spawned =
            thread::Builder::new().stack_size(128 << 10).spawn(move || engine.accept(&listener, incarnation));
        if spawned.is_err() {
            self.crash();
        }
    }

    /// Ends the engine at once: connections are reset, and its read states and cache are lost.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.up = false;
        state.incarnation += 1;
        drop(state);
        self.driver.with_fleet(|fleet, now, said| fleet.crash(now, self.emulator_index, said));
        self.changed.notify_all();
    }

    /// Whether the engine runs.
    pub fn is_up(&self) -> bool {
        self.lock().up
    }

    /// Changes the engine's active faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        let faults = {
            let mut state = self.lock();
            change(&mut state.faults);
            state.faults.clone()
        };
        self.driver.with_fleet(|fleet, now, _| {
            fleet.slow_port(now, self.emulator_index, faults.link_slowdown);
            fleet.fault(self.emulator_index, |f| {
                f.slow = faults.slowdown;
                f.reports = match faults.reports {
                    ReportAccuracy::Honest => emulator::ReportAccuracy::Honest,
                    ReportAccuracy::Stale => emulator::ReportAccuracy::Stale,
                    ReportAccuracy::Idle => emulator::ReportAccuracy::Idle,
                };
            });
        });
        self.changed.notify_all();
        self.record_reachability();
    }

    /// Clears the prefix cache; read states stay.
    pub fn clear_cache(&self) {
        self.driver.with_fleet(|fleet, _, _| fleet.forget(self.emulator_index));
    }

    /// Number of read states that wait to be fetched or released.
    pub fn states(&self) -> usize {
        self.driver.with_fleet(|fleet, _, _| fleet.engine(self.emulator_index).states())
    }

    /// Records whether nodes may fail to reach the engine, if that has changed.
    pub(crate) fn record_reachability(&self) {
        let isolated = self.fleet.upgrade().is_some_and(|f| f.any_zone_isolated());
        let mut state = self.lock();
        let f = &state.faults;
        let unreachable = isolated || f.hang || f.silent || !f.connect_delay.is_zero();
        if std::mem::replace(&mut state.unreachable, unreachable) != unreachable {
            drop(state);
            self.recorder.note(AuditEvent::EngineUnreachable { engine: self.spec.id.clone(), unreachable });
        }
    }

    /// Current share of full capacity; below 1 while the engine warms up.
    pub(crate) fn capacity_share(&self, state: &State) -> f64 {
        let Some(started) = state.started else { return 1.0 };
        let warm_up_progress = started.elapsed().as_secs_f64() / self.spec.warm_up.as_secs_f64().max(1e-9);
        (self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * warm_up_progress).min(1.0)
    }

    /// Accounts for work from a node, in seconds of full capacity. A cold engine crashes if the work of the
    /// last `overload_window` exceeds `overload_factor` times its present capacity.
    pub(crate) fn record_work(&self, node: &str, work: f64) {
        let mut state = self.lock();
        let (now, capacity_share) = (Instant::now(), self.capacity_share(&state));
        if state.started.is_none() || capacity_share >= 1.0 {
            state.recent_work.clear();
            return;
        }
        let window = self.spec.overload_window;
        state.recent_work.push_back((now, work, node.to_string()));
        while state.recent_work.front().is_some_and(|(at, ..)| *at + window < now) {
            state.recent_work.pop_front();
        }
        let total: f64 = state.recent_work.iter().map(|s| s.1).sum();
        let largest = state.recent_work.iter().map(|s| s.1).fold(0.0, f64::max);
        // The largest single request is allowed on top, so that one request never counts as overload.
        if total <= self.spec.overload_factor * capacity_share * window.as_secs_f64() + largest {
            return;
        }
        let mut by_node: BTreeMap<String, f64> = BTreeMap::new();
        for (_, work, node) in &state.recent_work {
            *by_node.entry(node.clone()).or_default() += work;
        }
        drop(state);
        let (engine, work) = (self.spec.id.clone(), by_node.into_iter().collect());
        self.recorder.note(AuditEvent::EngineOverloaded { engine, work });
        self.crash();
    }

    /// The load report: running and waiting requests, memory share, and prompt tokens waiting in thousands.
    pub(crate) fn report(&self) -> [f64; 4] {
        let report = self.driver.with_fleet(|fleet, now, _| fleet.report(now, self.emulator_index));
        [report.running, report.waiting, report.memory, report.backlog / 1000.0]
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, incarnation: u64) {
        loop {
            let timeout = Timespec { tv_sec: 0, tv_nsec: POLL_INTERVAL.as_nanos() as i64 };
            let _ = poll(&mut [PollFd::new(listener, PollFlags::IN)], Some(&timeout));
            let delay = {
                let state = self.lock();
                if state.incarnation != incarnation {
                    return;
                }
                state.faults.connect_delay
            };
            while let Ok((stream, peer)) = listener.accept() {
                let engine = self.clone();
                let run = move || {
                    thread::sleep(delay);
                    serve::connection(&engine, stream, peer.ip(), incarnation);
                };
                // If no thread can be started the connection closes, as at an engine out of threads.
                let _ = thread::Builder::new().stack_size(128 << 10).spawn(run);
            }
        }
    }
}

/// The emulator's settings for an engine.
pub fn emulator_spec(spec: &EngineSpec) -> emulator::Spec {
    let micros = |d: Duration| d.as_micros() as u64;
    emulator::Spec {
        kind: match spec.role {
            Role::Reader => emulator::EngineRole::Reader,
            Role::Writer => emulator::EngineRole::Writer,
            Role::Mixed => emulator::EngineRole::Mixed,
        },
        slots: spec.slots.max(1),
        queue: spec.queue,
        blocks: (spec.memory_tokens / BLOCK_TOKENS).max(1),
        block_tokens: BLOCK_TOKENS,
        budget: PREFILL_CHUNK_TOKENS + spec.slots as u64,
        cost: emulator::Cost {
            step: if spec.role == Role::Reader { READER_STEP_US } else { spec.token_gap.as_secs_f64() * 1e6 },
            read_token: 1e6 / spec.read_tokens_per_s.max(1e-9),
            write_token: 0.0,
            context: 0.0,
        },
        cold: Some(emulator::ColdStart {
            initial_capacity: spec.initial_capacity,
            warm_after: micros(spec.warm_up),
            // Overload is judged by `Engine::record_work`, which knows the work that each node sent.
            overload_factor: f64::INFINITY,
            overload_window: micros(spec.overload_window),
        }),
        state_ttl: micros(spec.state_ttl),
        load_reporting: emulator::LoadReporting { every: micros(spec.report_interval), delay: 0, noise: 0.0 },
        port: spec.link_tokens_per_s / 1e6,
        dedup: 0,
    }
}

/// Listens, with retries: a process that another thread is starting has a copy of the listener before this one until it
/// executes its program.
fn listen_again(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + LISTEN_TIMEOUT;
    loop {
        match listen(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                thread::sleep(LISTEN_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Listens with `SO_REUSEADDR`, so that a restart can bind the port again.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
