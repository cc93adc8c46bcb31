//! One engine: its state under a lock, its life and death, and the thread that accepts.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::{Duration, Instant};

use pintally_audit::What;
use pintally_emulator as emulator;
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::clock::Clock;
use crate::fleet::lock;
use crate::{serve, EngineSpec, Faults, Fleet, Port, Recorder, ReportAccuracy, Role};

/// Tokens in a block of memory.
pub(crate) const BLOCK: u64 = 16;
/// Tokens of prompts that one step may read.
const CHUNK: u64 = 512;
/// Microseconds of a step at an engine that only reads, besides its tokens.
const READ_STEP: f64 = 100.0;
/// How often threads that wait look whether the engine still lives.
pub(crate) const SLICE: Duration = Duration::from_millis(20);

/// A stand-in engine.
pub struct Engine {
    /// Its figures.
    pub spec: EngineSpec,
    /// Where it listens, also after a restart.
    pub address: SocketAddr,
    /// Holds its port while it is down.
    _port: Port,
    pub(crate) fleet: Weak<Fleet>,
    pub(crate) recorder: Recorder,
    /// Carries the emulated engine, which has this number.
    pub(crate) clock: Arc<Clock>,
    pub(crate) number: usize,
    state: Mutex<State>,
    pub(crate) changed: Condvar,
}

pub(crate) struct State {
    pub(crate) up: bool,
    /// Grows with each start and each end.
    pub(crate) life: u64,
    /// When it started cold; `None` if it is long warm.
    pub(crate) started: Option<Instant>,
    pub(crate) faults: Faults,
    pub(crate) deaf: bool,
    /// What came in while cold, in seconds of full capacity, and from whom.
    sent: VecDeque<(Instant, f64, String)>,
}

impl Engine {
    pub(crate) fn new(
        fleet: Weak<Fleet>,
        spec: EngineSpec,
        recorder: Recorder,
        (clock, number): (Arc<Clock>, usize),
    ) -> io::Result<Arc<Engine>> {
        let port = Port::hold()?;
        let address = port.address()?;
        let state = State {
            up: false,
            life: 0,
            started: None,
            faults: Faults::default(),
            deaf: false,
            sent: VecDeque::new(),
        };
        let (state, changed) = (Mutex::new(state), Condvar::new());
        Ok(Arc::new(Engine { spec, address, _port: port, fleet, recorder, clock, number, state, changed }))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Waits for a change, a slice of time at the most.
    pub(crate) fn wait<'a>(&self, state: MutexGuard<'a, State>, most: Duration) -> MutexGuard<'a, State> {
        let most = most.min(SLICE).max(Duration::from_micros(50));
        self.changed.wait_timeout(state, most).unwrap_or_else(std::sync::PoisonError::into_inner).0
    }

    /// Starts it; does nothing if it runs.
    pub fn start(self: &Arc<Self>, cold: bool) {
        let mut state = self.lock();
        if state.up {
            return;
        }
        let Ok(listener) = listen(self.address) else {
            eprintln!("stand-in {}: its port {} is taken", self.spec.id, self.address);
            return;
        };
        state.up = true;
        state.life += 1;
        state.started = cold.then(Instant::now);
        state.sent.clear();
        self.clock.act(|fleet, now, _| fleet.start(now, self.number, cold));
        let (own, life) = (self.clone(), state.life);
        drop(state);
        if cold {
            self.recorder.note(What::Started { engine: self.spec.id.clone() });
        }
        let spawned = thread::Builder::new().stack_size(128 << 10).spawn(move || own.accept(&listener, life));
        if spawned.is_err() {
            self.crash();
        }
    }

    /// Ends it at once: connections are reset, and whatever it held is gone.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.up = false;
        state.life += 1;
        drop(state);
        self.clock.act(|fleet, now, said| fleet.crash(now, self.number, said));
        self.changed.notify_all();
    }

    /// Whether it runs.
    pub fn is_up(&self) -> bool {
        self.lock().up
    }

    /// Changes what is wrong with it.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        let faults = {
            let mut state = self.lock();
            change(&mut state.faults);
            state.faults.clone()
        };
        self.clock.act(|fleet, now, _| {
            fleet.slow_port(now, self.number, faults.links);
            fleet.fault(self.number, |f| {
                f.slow = faults.slow;
                f.reports = match faults.reports {
                    ReportAccuracy::Honest => emulator::ReportAccuracy::Honest,
                    ReportAccuracy::Stale => emulator::ReportAccuracy::Stale,
                    ReportAccuracy::Lying => emulator::ReportAccuracy::Idle,
                };
            });
        });
        self.changed.notify_all();
        self.note_deafness();
    }

    /// Forgets all kept texts; read states stay.
    pub fn forget(&self) {
        self.clock.act(|fleet, _, _| fleet.forget(self.number));
    }

    /// How many read states wait here.
    pub fn states(&self) -> usize {
        self.clock.act(|fleet, _, _| fleet.engine(self.number).states())
    }

    /// Notes whether it hears, if that has changed.
    pub(crate) fn note_deafness(&self) {
        let cut = self.fleet.upgrade().is_some_and(|f| f.any_cut());
        let mut state = self.lock();
        let f = &state.faults;
        let deaf = cut || f.hang || f.silent || !f.connect_delay.is_zero();
        if std::mem::replace(&mut state.deaf, deaf) != deaf {
            drop(state);
            self.recorder.note(What::Deaf { engine: self.spec.id.clone(), deaf });
        }
    }

    /// The share of its capacity that it has now.
    pub(crate) fn share(&self, state: &State) -> f64 {
        let Some(started) = state.started else { return 1.0 };
        let age = started.elapsed().as_secs_f64() / self.spec.warm_up.as_secs_f64().max(1e-9);
        (self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * age).min(1.0)
    }

    /// Work has come in, in seconds of full capacity. A cold engine that is sent too much falls over.
    pub(crate) fn sent(&self, node: &str, work: f64) {
        let mut state = self.lock();
        let (now, share) = (Instant::now(), self.share(&state));
        if state.started.is_none() || share >= 1.0 {
            state.sent.clear();
            return;
        }
        let window = self.spec.overload_window;
        state.sent.push_back((now, work, node.to_string()));
        while state.sent.front().is_some_and(|(at, ..)| *at + window < now) {
            state.sent.pop_front();
        }
        let all: f64 = state.sent.iter().map(|s| s.1).sum();
        let most = state.sent.iter().map(|s| s.1).fold(0.0, f64::max);
        // One piece of work is the slack for chance.
        if all <= self.spec.overload_factor * share * window.as_secs_f64() + most {
            return;
        }
        let mut by_node: BTreeMap<String, f64> = BTreeMap::new();
        for (_, work, node) in &state.sent {
            *by_node.entry(node.clone()).or_default() += work;
        }
        drop(state);
        let (engine, work) = (self.spec.id.clone(), by_node.into_iter().collect());
        self.recorder.note(What::Fell { engine, work });
        self.crash();
    }

    /// Running, waiting, memory share and thousands of tokens to be read, as it reports them.
    pub(crate) fn report(&self) -> [f64; 4] {
        let report = self.clock.act(|fleet, now, _| fleet.report(now, self.number));
        [report.running, report.waiting, report.memory, report.backlog / 1000.0]
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, life: u64) {
        loop {
            let slice = Timespec { tv_sec: 0, tv_nsec: SLICE.as_nanos() as i64 };
            let _ = poll(&mut [PollFd::new(listener, PollFlags::IN)], Some(&slice));
            let delay = {
                let state = self.lock();
                if state.life != life {
                    return;
                }
                state.faults.connect_delay
            };
            while let Ok((stream, peer)) = listener.accept() {
                let own = self.clone();
                let run = move || {
                    thread::sleep(delay);
                    serve::connection(&own, stream, peer.ip(), life);
                };
                // Without a thread the connection closes, as at an engine that is out of them.
                let _ = thread::Builder::new().stack_size(128 << 10).spawn(run);
            }
        }
    }
}

/// The emulated engine's figures.
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
        blocks: (spec.memory_tokens / BLOCK).max(1),
        block_tokens: BLOCK,
        budget: CHUNK + spec.slots as u64,
        cost: emulator::Cost {
            step: if spec.role == Role::Reader { READ_STEP } else { spec.token_gap.as_secs_f64() * 1e6 },
            read_token: 1e6 / spec.read_tokens_per_s.max(1e-9),
            write_token: 0.0,
            context: 0.0,
        },
        cold: Some(emulator::Cold {
            from: spec.initial_capacity,
            warm_after: micros(spec.warm_up),
            // Falling over is judged here, where it is known which node sent what.
            tip_multiple: f64::INFINITY,
            tip_window: micros(spec.overload_window),
        }),
        state_for: micros(spec.state_ttl),
        telling: emulator::Telling { every: micros(spec.report_interval), delay: 0, noise: 0.0 },
        port: spec.link_tokens_per_s / 1e6,
        dedup: 0,
    }
}

/// Listens again on a port that was in use, as after a restart.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
