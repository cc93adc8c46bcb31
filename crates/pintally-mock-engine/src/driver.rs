//! Drives the emulated fleet in real time: one thread that wakes at the emulator's next event, and the
//! channels that pass notices to the connections waiting for their work.

use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use pintally_audit::{AuditEvent, FreedBy};
use pintally_emulator::{self as emulator, Notice, Work, WorkId};

use crate::fleet::{lock, Recorder};

/// Identity of submitted work, which the emulator does not hold.
#[derive(Clone)]
pub(crate) struct SubmittedWork {
    /// The engine's id, the node's name, and the client's id of the request.
    pub(crate) engine: String,
    pub(crate) node: String,
    pub(crate) request: String,
    /// The attempt's id, which also names its read state.
    pub(crate) attempt: String,
}

struct DriverState {
    fleet: emulator::Fleet,
    next_id: WorkId,
    /// Work that has not ended, with the channel to its connection.
    subscribers: HashMap<WorkId, (SubmittedWork, Sender<Notice>)>,
    /// Read states that wait to be fetched, by engine and name; `waiting_states` is the reverse index.
    state_ids: HashMap<(usize, String), WorkId>,
    waiting_states: HashMap<WorkId, (usize, SubmittedWork)>,
    notices: Vec<(usize, Notice)>,
    stopped: bool,
}

/// The emulated fleet and the thread that drives it.
pub(crate) struct EmulatorDriver {
    started_at: Instant,
    recorder: Recorder,
    shared: Mutex<DriverState>,
    changed: Condvar,
}

impl EmulatorDriver {
    /// Starts the driver with an empty fleet; its thread ends when the last reference is dropped.
    pub(crate) fn start(
        network: emulator::NetworkSpec,
        seed: u64,
        recorder: Recorder,
    ) -> Arc<EmulatorDriver> {
        let shared = DriverState {
            fleet: emulator::Fleet::new(network, seed),
            next_id: 1,
            subscribers: HashMap::new(),
            state_ids: HashMap::new(),
            waiting_states: HashMap::new(),
            notices: Vec::new(),
            stopped: false,
        };
        let (started_at, shared, changed) = (Instant::now(), Mutex::new(shared), Condvar::new());
        let driver = Arc::new(EmulatorDriver { started_at, recorder, shared, changed });
        let weak = Arc::downgrade(&driver);
        let spawned = thread::Builder::new().stack_size(256 << 10).spawn(move || run(&weak));
        if let Err(e) = spawned {
            eprintln!("mock engines: cannot start the emulator thread: {e}");
            lock(&driver.shared).stopped = true;
        }
        driver
    }

    fn now(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Applies `change`, dispatches the resulting notices, and wakes the thread if the next event moved.
    fn update<T>(&self, change: impl FnOnce(&mut DriverState, u64) -> T) -> T {
        let mut shared = lock(&self.shared);
        let before = shared.fleet.next_wake();
        let result = change(&mut shared, self.now());
        self.dispatch_notices(&mut shared);
        if shared.fleet.next_wake() != before {
            self.changed.notify_all();
        }
        result
    }

    /// Records the fleet's notices and sends them to the waiting connections.
    fn dispatch_notices(&self, shared: &mut MutexGuard<'_, DriverState>) {
        for (engine_index, notice) in std::mem::take(&mut shared.notices) {
            match notice {
                Notice::Freed(state, by) => {
                    let Some((engine_index, submitted)) = shared.waiting_states.remove(&state) else {
                        continue;
                    };
                    shared.state_ids.remove(&(engine_index, submitted.attempt.clone()));
                    let (engine, state, by) = (submitted.engine, submitted.attempt, audit_freed_by(by));
                    self.recorder.note(AuditEvent::StateFreed { engine, state, by });
                    continue;
                }
                Notice::Read(id, _) => {
                    if let Some((submitted, _)) = shared.subscribers.get(&id) {
                        let t = submitted.clone();
                        self.recorder.note(AuditEvent::StateHeld {
                            engine: t.engine.clone(),
                            node: t.node.clone(),
                            request: t.request.clone(),
                            state: t.attempt.clone(),
                        });
                        shared.state_ids.insert((engine_index, t.attempt.clone()), id);
                        shared.waiting_states.insert(id, (engine_index, t));
                    }
                }
                Notice::Started(id) => {
                    if let Some((submitted, _)) = shared.subscribers.get(&id) {
                        let t = submitted.clone();
                        self.recorder.note(AuditEvent::AttemptRan {
                            engine: t.engine,
                            request: t.request,
                            attempt: t.attempt,
                        });
                    }
                }
                _ => {}
            }
            let id = match notice {
                Notice::Token(id, _) => Some((id, false)),
                _ => notice.ends().map(|id| (id, true)),
            };
            let Some((id, ends)) = id else { continue };
            // Fails only if the connection has closed; it has cancelled its work then.
            if let Some((_, sender)) = shared.subscribers.get(&id) {
                let _ = sender.try_send(notice);
            }
            if ends {
                shared.subscribers.remove(&id);
            }
        }
    }

    pub(crate) fn add(&self, spec: emulator::Spec, place: emulator::Place) -> usize {
        self.update(|shared, _| shared.fleet.add(spec, place))
    }

    /// Submits work to an engine. `state` is the engine and name of the read state to fetch; returns
    /// `None` if that engine does not hold it.
    pub(crate) fn submit(
        &self,
        engine_index: usize,
        submitted: SubmittedWork,
        mut work: Work,
        state: Option<(usize, &str)>,
    ) -> Option<(WorkId, Receiver<Notice>)> {
        // Room for every notice of this work, so that `try_send` never finds the channel full.
        let (sender, receiver) = bounded(work.answer as usize + 4);
        self.update(|shared, now| {
            if let Some((from, name)) = state {
                work.fetches = Some(*shared.state_ids.get(&(from, name.to_string()))?);
            }
            work.id = shared.next_id;
            shared.next_id += 1;
            let id = work.id;
            shared.subscribers.insert(id, (submitted, sender));
            shared.fleet.submit(now, engine_index, work, state.map(|s| s.0), &mut shared.notices);
            Some((id, receiver))
        })
    }

    /// Cancels work whose connection no longer waits for it.
    pub(crate) fn cancel(&self, engine_index: usize, id: WorkId) {
        self.with_fleet(|fleet, now, notices| fleet.cancel(now, engine_index, id, notices));
        self.update(|shared, _| shared.subscribers.remove(&id));
    }

    pub(crate) fn release(&self, engine_index: usize, name: &str) {
        let state = self.update(|shared, _| shared.state_ids.get(&(engine_index, name.to_string())).copied());
        if let Some(state) = state {
            self.with_fleet(|fleet, now, notices| fleet.release(now, engine_index, state, notices));
        }
    }

    /// Calls the fleet and dispatches the notices that result.
    pub(crate) fn with_fleet<T>(
        &self,
        call: impl FnOnce(&mut emulator::Fleet, u64, &mut Vec<(usize, Notice)>) -> T,
    ) -> T {
        self.update(|shared, now| call(&mut shared.fleet, now, &mut shared.notices))
    }

    pub(crate) fn stop(&self) {
        lock(&self.shared).stopped = true;
        self.changed.notify_all();
    }
}

/// Converts the emulator's reason for freeing a state into the audit record's.
pub fn audit_freed_by(by: emulator::FreedBy) -> FreedBy {
    match by {
        emulator::FreedBy::Fetched => FreedBy::Fetched,
        emulator::FreedBy::Released => FreedBy::Released,
        emulator::FreedBy::Expired => FreedBy::Expired,
        emulator::FreedBy::Died => FreedBy::Died,
    }
}

/// Advances the fleet whenever an event is due, until the driver is stopped or dropped.
fn run(driver: &Weak<EmulatorDriver>) {
    loop {
        let Some(driver) = driver.upgrade() else { return };
        let mut shared = lock(&driver.shared);
        if shared.stopped {
            return;
        }
        let now = driver.now();
        if shared.fleet.next_wake().is_some_and(|at| at <= now) {
            let state = &mut *shared;
            state.fleet.tick(now, &mut state.notices);
            driver.dispatch_notices(&mut shared);
        }
        // Bounded, because nothing notifies this thread when the driver is dropped.
        let wait = shared
            .fleet
            .next_wake()
            .map_or(MAX_SLEEP, |at| Duration::from_micros(at.saturating_sub(driver.now())).min(MAX_SLEEP));
        if !wait.is_zero() {
            drop(
                driver.changed.wait_timeout(shared, wait).unwrap_or_else(std::sync::PoisonError::into_inner),
            );
        }
    }
}

/// Longest sleep before the thread checks whether the driver still exists.
const MAX_SLEEP: Duration = Duration::from_millis(100);
