//! Carries the emulated fleet on the wall clock: one thread that wakes when something is due, and the
//! mail of the connections that wait for their work.

use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use pintally_audit::{FreedBy, What};
use pintally_emulator::{self as emulator, Notice, Work, WorkId};

use crate::fleet::{lock, Recorder};

/// What is known of a piece of work outside the emulator.
#[derive(Clone)]
pub(crate) struct SubmittedWork {
    /// The engine's id, the node's name, and the client's id of the request.
    pub(crate) engine: String,
    pub(crate) node: String,
    pub(crate) request: String,
    /// The attempt's name, by which its state goes as well.
    pub(crate) attempt: String,
}

struct Inner {
    fleet: emulator::Fleet,
    next: WorkId,
    mail: HashMap<WorkId, (SubmittedWork, Sender<Notice>)>,
    /// States that wait, by engine and name, and their names.
    states: HashMap<(usize, String), WorkId>,
    names: HashMap<WorkId, (usize, SubmittedWork)>,
    said: Vec<(usize, Notice)>,
    over: bool,
}

/// The emulated fleet, and the thread that carries it.
pub(crate) struct Clock {
    begin: Instant,
    recorder: Recorder,
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Clock {
    /// A fleet without engines; it ends when nobody has it any more.
    pub(crate) fn start(wires: emulator::Wires, seed: u64, recorder: Recorder) -> Arc<Clock> {
        let inner = Inner {
            fleet: emulator::Fleet::new(wires, seed),
            next: 1,
            mail: HashMap::new(),
            states: HashMap::new(),
            names: HashMap::new(),
            said: Vec::new(),
            over: false,
        };
        let (begin, inner, changed) = (Instant::now(), Mutex::new(inner), Condvar::new());
        let clock = Arc::new(Clock { begin, recorder, inner, changed });
        let weak = Arc::downgrade(&clock);
        let spawned = thread::Builder::new().stack_size(256 << 10).spawn(move || carry(&weak));
        if let Err(e) = spawned {
            eprintln!("stand-ins: no thread for the emulator: {e}");
            lock(&clock.inner).over = true;
        }
        clock
    }

    fn now(&self) -> u64 {
        self.begin.elapsed().as_micros() as u64
    }

    /// Does something with the fleet and sees to what it says.
    fn with<T>(&self, what: impl FnOnce(&mut Inner, u64) -> T) -> T {
        let mut inner = lock(&self.inner);
        let before = inner.fleet.next_wake();
        let found = what(&mut inner, self.now());
        self.tell(&mut inner);
        if inner.fleet.next_wake() != before {
            self.changed.notify_all();
        }
        found
    }

    /// Notes and mails what the fleet has said.
    fn tell(&self, inner: &mut MutexGuard<'_, Inner>) {
        for (number, notice) in std::mem::take(&mut inner.said) {
            match notice {
                Notice::Freed(state, by) => {
                    let Some((number, submitted)) = inner.names.remove(&state) else { continue };
                    inner.states.remove(&(number, submitted.attempt.clone()));
                    let (engine, state, by) = (submitted.engine, submitted.attempt, audit_freed_by(by));
                    self.recorder.note(What::Freed { engine, state, by });
                    continue;
                }
                Notice::Read(id, _) => {
                    if let Some((submitted, _)) = inner.mail.get(&id) {
                        let t = submitted.clone();
                        self.recorder.note(What::Held {
                            engine: t.engine.clone(),
                            node: t.node.clone(),
                            request: t.request.clone(),
                            state: t.attempt.clone(),
                        });
                        inner.states.insert((number, t.attempt.clone()), id);
                        inner.names.insert(id, (number, t));
                    }
                }
                Notice::Began(id) => {
                    if let Some((submitted, _)) = inner.mail.get(&id) {
                        let t = submitted.clone();
                        self.recorder.note(What::Ran {
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
            // A connection that is gone has called its work off; what was under way says so in vain.
            if let Some((_, mail)) = inner.mail.get(&id) {
                let _ = mail.try_send(notice);
            }
            if ends {
                inner.mail.remove(&id);
            }
        }
    }

    pub(crate) fn add(&self, spec: emulator::Spec, place: emulator::Place) -> usize {
        self.with(|i, _| i.fleet.add(spec, place))
    }

    /// Hands an engine work; `state` names what it fetches, and from where. `None` if that does not
    /// wait there.
    pub(crate) fn submit(
        &self,
        number: usize,
        submitted: SubmittedWork,
        mut work: Work,
        state: Option<(usize, &str)>,
    ) -> Option<(WorkId, Receiver<Notice>)> {
        // Room for all that can be said of it: nothing is ever lost, and nobody waits.
        let (sender, mail) = bounded(work.answer as usize + 4);
        self.with(|i, now| {
            if let Some((from, name)) = state {
                work.fetches = Some(*i.states.get(&(from, name.to_string()))?);
            }
            work.id = i.next;
            i.next += 1;
            let id = work.id;
            i.mail.insert(id, (submitted, sender));
            i.fleet.submit(now, number, work, state.map(|s| s.0), &mut i.said);
            Some((id, mail))
        })
    }

    /// A connection does not wait for its work any more.
    pub(crate) fn cancel(&self, number: usize, id: WorkId) {
        self.act(|fleet, now, said| fleet.cancel(now, number, id, said));
        self.with(|i, _| i.mail.remove(&id));
    }

    pub(crate) fn release(&self, number: usize, name: &str) {
        let state = self.with(|i, _| i.states.get(&(number, name.to_string())).copied());
        if let Some(state) = state {
            self.act(|fleet, now, said| fleet.release(now, number, state, said));
        }
    }

    /// Does something with the fleet that may say something.
    pub(crate) fn act<T>(
        &self,
        what: impl FnOnce(&mut emulator::Fleet, u64, &mut Vec<(usize, Notice)>) -> T,
    ) -> T {
        self.with(|i, now| what(&mut i.fleet, now, &mut i.said))
    }

    pub(crate) fn end(&self) {
        lock(&self.inner).over = true;
        self.changed.notify_all();
    }
}

/// How a state was let go, as the record has it.
pub fn audit_freed_by(by: emulator::FreedBy) -> FreedBy {
    match by {
        emulator::FreedBy::Fetched => FreedBy::Fetched,
        emulator::FreedBy::Released => FreedBy::Released,
        emulator::FreedBy::Expired => FreedBy::Expired,
        emulator::FreedBy::Died => FreedBy::Died,
    }
}

/// Wakes when something is due, until nobody has the fleet any more.
fn carry(clock: &Weak<Clock>) {
    loop {
        let Some(clock) = clock.upgrade() else { return };
        let mut inner = lock(&clock.inner);
        if inner.over {
            return;
        }
        let now = clock.now();
        if inner.fleet.next_wake().is_some_and(|at| at <= now) {
            let i = &mut *inner;
            i.fleet.tick(now, &mut i.said);
            clock.tell(&mut inner);
        }
        // Not for ever: nobody wakes a thread whose fleet has been dropped.
        let left = inner
            .fleet
            .next_wake()
            .map_or(LOOK, |at| Duration::from_micros(at.saturating_sub(clock.now())).min(LOOK));
        if !left.is_zero() {
            drop(clock.changed.wait_timeout(inner, left).unwrap_or_else(std::sync::PoisonError::into_inner));
        }
    }
}

/// How often the thread looks whether its fleet is still there.
const LOOK: Duration = Duration::from_millis(100);
