//! One engine: its state under a lock, its life and death, and the thread that accepts.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::{Duration, Instant};

use pintally_audit::{FreedBy, What};
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::fleet::lock;
use crate::kept::Kept;
use crate::{serve, EngineSpec, Faults, Fleet, Port, Recorder, Reports, Role};

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
    state: Mutex<State>,
    pub(crate) changed: Condvar,
}

/// A read state that waits.
pub(crate) struct ReadState {
    pub(crate) tokens: u64,
    pub(crate) since: Instant,
}

pub(crate) struct State {
    pub(crate) up: bool,
    /// Grows with each start and each end.
    pub(crate) life: u64,
    /// When it started cold; `None` if it is long warm.
    pub(crate) started: Option<Instant>,
    pub(crate) faults: Faults,
    pub(crate) deaf: bool,
    /// When the last read that has been taken on will be done.
    pub(crate) read_until: Option<Instant>,
    pub(crate) reading: usize,
    /// Prompt tokens taken on and not yet read.
    pub(crate) unread: u64,
    pub(crate) streams: usize,
    pub(crate) waiting: VecDeque<u64>,
    pub(crate) serial: u64,
    /// Tokens held by states and running answers.
    pub(crate) memory: u64,
    pub(crate) kept: Kept,
    pub(crate) states: HashMap<String, ReadState>,
    pub(crate) report: Option<(Instant, [f64; 4])>,
    /// What came in while cold, in seconds of full capacity, and from whom.
    sent: VecDeque<(Instant, f64, String)>,
}

impl Engine {
    pub(crate) fn new(fleet: Weak<Fleet>, spec: EngineSpec, recorder: Recorder) -> io::Result<Arc<Engine>> {
        let port = Port::hold()?;
        let address = port.address()?;
        let state = State {
            up: false,
            life: 0,
            started: None,
            faults: Faults::default(),
            deaf: false,
            read_until: None,
            reading: 0,
            unread: 0,
            streams: 0,
            waiting: VecDeque::new(),
            serial: 0,
            memory: 0,
            kept: Kept::default(),
            states: HashMap::new(),
            report: None,
            sent: VecDeque::new(),
        };
        let (state, changed) = (Mutex::new(state), Condvar::new());
        Ok(Arc::new(Engine { spec, address, _port: port, fleet, recorder, state, changed }))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Waits for a change, a slice of time at the most.
    pub(crate) fn wait<'a>(&self, state: MutexGuard<'a, State>, most: Duration) -> MutexGuard<'a, State> {
        let most = most.min(SLICE).max(Duration::from_micros(50));
        self.changed.wait_timeout(state, most).unwrap_or_else(|e| e.into_inner()).0
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
        state.read_until = None;
        state.reading = 0;
        state.unread = 0;
        state.streams = 0;
        state.waiting.clear();
        state.memory = 0;
        state.kept.clear();
        state.report = None;
        let states: Vec<String> = state.states.drain().map(|(name, _)| name).collect();
        drop(state);
        for state in states {
            self.freed(state, FreedBy::Died);
        }
        self.changed.notify_all();
    }

    /// Whether it runs.
    pub fn is_up(&self) -> bool {
        self.lock().up
    }

    /// Changes what is wrong with it.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
        self.changed.notify_all();
        self.note_deafness();
    }

    /// Forgets all kept texts; read states stay.
    pub fn forget(&self) {
        self.lock().kept.clear();
    }

    /// How many read states wait here.
    pub fn states(&self) -> usize {
        self.lock().states.len()
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

    pub(crate) fn freed(&self, state: String, by: FreedBy) {
        self.recorder.note(What::Freed { engine: self.spec.id.clone(), state, by });
    }

    /// The share of its capacity that it has now.
    pub(crate) fn share(&self, state: &State) -> f64 {
        let Some(started) = state.started else { return 1.0 };
        let age = started.elapsed().as_secs_f64() / self.spec.warm_after.as_secs_f64().max(1e-9);
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * age).min(1.0)
    }

    /// Work has come in, in seconds of full capacity. A cold engine that is sent too much falls over.
    pub(crate) fn sent(&self, node: &str, work: f64) {
        let mut state = self.lock();
        let (now, share) = (Instant::now(), self.share(&state));
        if state.started.is_none() || share >= 1.0 {
            state.sent.clear();
            return;
        }
        let window = self.spec.tip_window;
        state.sent.push_back((now, work, node.to_string()));
        while state.sent.front().is_some_and(|(at, ..)| *at + window < now) {
            state.sent.pop_front();
        }
        let all: f64 = state.sent.iter().map(|s| s.1).sum();
        let most = state.sent.iter().map(|s| s.1).fold(0.0, f64::max);
        // One piece of work is the slack for chance.
        if all <= self.spec.tip_multiple * share * window.as_secs_f64() + most {
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
        let mut state = self.lock();
        let waiting = state.waiting.len() + state.reading.saturating_sub(self.spec.slots);
        let running = state.streams + state.reading.min(self.spec.slots);
        let memory = state.memory as f64 / self.spec.memory_tokens.max(1) as f64;
        let fresh = [running as f64, waiting as f64, memory, state.unread as f64 / 1000.0];
        let now = Instant::now();
        match (state.faults.reports, state.report) {
            (Reports::Lying, _) => [0.0; 4],
            (Reports::Stale, Some((_, old))) => old,
            (_, Some((at, old))) if now < at + self.spec.report_every => old,
            _ => {
                state.report = Some((now, fresh));
                fresh
            }
        }
    }

    /// Drops read states that nobody has fetched for too long.
    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let late: Vec<String> = state
            .states
            .iter()
            .filter(|(_, s)| now > s.since + self.spec.state_for)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &late {
            if let Some(old) = state.states.remove(name) {
                state.memory = state.memory.saturating_sub(old.tokens);
            }
        }
        drop(state);
        for name in late {
            self.freed(name, FreedBy::Expired);
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, life: u64) {
        let mut next_expiry = Instant::now();
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
            if Instant::now() >= next_expiry {
                next_expiry = Instant::now() + Duration::from_millis(200);
                self.expire();
            }
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

    /// Whether it writes answers.
    pub(crate) fn writes(&self) -> bool {
        self.spec.role != Role::Reader
    }

    /// Whether it reads prompts.
    pub(crate) fn reads(&self) -> bool {
        self.spec.role != Role::Writer
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
