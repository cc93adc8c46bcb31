//! The record of a run: what clients, engines and discovery observed, and when.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time since the run's start.
pub(crate) type At = Duration;

/// The request classes of a run, by their idempotency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Class {
    /// May run several times.
    Safe,
    /// Must run at most once.
    Once,
    /// May run again only within the deduplication window of its idempotency key.
    Keyed,
}

impl Class {
    pub(crate) const ALL: [Class; 3] = [Class::Safe, Class::Once, Class::Keyed];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Class::Safe => "safe",
            Class::Once => "once",
            Class::Keyed => "keyed",
        }
    }
}

/// A request as its client sent it, and its result. The `Debug` text is part of the violations' details.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) class: Class,
    pub(crate) node: usize,
    /// When its last byte was written.
    pub(crate) sent: At,
    /// How long its client waits from then on.
    pub(crate) client_timeout: Duration,
    /// It was the first request of its connection.
    pub(crate) on_new_connection: bool,
    /// It was sent a second time, because its first connection ended without an answer.
    pub(crate) resent: bool,
    /// When the client closed its connection without waiting for the answer.
    pub(crate) left: Option<At>,
    pub(crate) end: RequestOutcome,
    /// The client reads as fast as it can.
    pub(crate) prompt_reader: bool,
    /// The longest time between an engine's write of an event and the client's read.
    pub(crate) most_held_back: Duration,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// No byte of an answer has arrived.
    Open,
    /// An answer arrived: its status, whether it was complete, and the times of its first and last byte.
    Answered { status: u16, whole: bool, first: At, at: At },
    /// The connection ended without a byte of an answer.
    Dropped { at: At },
    /// The request could not be sent whole.
    Unsent,
}

/// An attempt as its engine saw it.
#[derive(Clone, Debug)]
pub(crate) struct AttemptRecord {
    pub(crate) engine: String,
    pub(crate) node: usize,
    /// When the first byte of its head arrived.
    pub(crate) head: At,
    /// When its last byte arrived.
    pub(crate) attempt_started: At,
    /// The remaining time that the node stated in the request.
    pub(crate) remaining_stated: Option<Duration>,
    /// Another attempt of the same request was in progress on an open connection.
    pub(crate) second_copy: bool,
    /// When it took effect.
    pub(crate) effect: Option<At>,
    /// When the last chunk of its stream was written.
    pub(crate) finished: Option<At>,
    /// When the node closed the connection while the engine was still writing.
    pub(crate) cut_by_node: Option<At>,
}

/// The read states that engines hold for one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldStates {
    states: u32,
    open_attempts: u32,
    released: bool,
    /// Since when states are held with no attempt in progress.
    idle_since: Option<At>,
    /// The longest time for which a state was held with no attempt in progress.
    pub(crate) longest: Duration,
}

impl HeldStates {
    fn end_idle_period(&mut self, now: At) {
        if let Some(since) = self.idle_since.take() {
            self.longest = self.longest.max(now.saturating_sub(since));
        }
    }

    fn free(&mut self, now: At) {
        self.end_idle_period(now);
        self.states = 0;
        self.released = false;
    }
}

/// One incarnation of a node's process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Incarnation {
    pub(crate) node: usize,
    pub(crate) started: At,
    pub(crate) stop_requested_at: Option<At>,
    /// When it ended, by itself or by SIGKILL.
    pub(crate) ended: Option<At>,
}

/// The connection of a client that sends malformed data. The `Debug` text is part of the violations' details.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BadClient {
    pub(crate) node: usize,
    pub(crate) connected: At,
    pub(crate) served_at: Option<At>,
}

/// All observations of a run.
#[derive(Default)]
pub(crate) struct RunRecord {
    pub(crate) requests: BTreeMap<String, ClientRequest>,
    pub(crate) attempts: BTreeMap<String, Vec<AttemptRecord>>,
    pub(crate) held: BTreeMap<String, HeldStates>,
    /// When each node was notified that an engine drains or is gone.
    pub(crate) notified: Vec<(usize, String, At)>,
    /// When discovery was down.
    pub(crate) discovery_down: Vec<(At, At)>,
    pub(crate) incarnations: Vec<Incarnation>,
    pub(crate) bad_clients: Vec<BadClient>,
    /// Failures of processes: crashes, exceeded limits, late readiness.
    pub(crate) process_faults: Vec<(usize, String)>,
    /// Guard violations that nodes counted themselves.
    pub(crate) guard_violations: Vec<(usize, String)>,
    /// The injected faults.
    pub(crate) faults: Vec<(At, String)>,
}

/// The record, shared by all threads of a run.
pub(crate) struct SharedRecord {
    started: Instant,
    over: AtomicBool,
    record: Mutex<RunRecord>,
}

impl SharedRecord {
    pub(crate) fn new() -> SharedRecord {
        SharedRecord { started: Instant::now(), over: AtomicBool::new(false), record: Mutex::default() }
    }

    /// Whether the run is over, so that its threads may end.
    pub(crate) fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    pub(crate) fn end_run(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    pub(crate) fn now(&self) -> At {
        self.started.elapsed()
    }

    pub(crate) fn with<T>(&self, access: impl FnOnce(&mut RunRecord) -> T) -> T {
        access(&mut self.record.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    pub(crate) fn take(&self) -> RunRecord {
        self.with(std::mem::take)
    }

    /// Records an attempt that has arrived completely. Returns its index among the request's attempts.
    pub(crate) fn begin_attempt(&self, id: &str, attempt: AttemptRecord) -> usize {
        let now = self.now();
        self.with(|record| {
            let held = record.held.entry(id.into()).or_default();
            held.end_idle_period(now);
            held.open_attempts += 1;
            let attempts = record.attempts.entry(id.into()).or_default();
            attempts.push(attempt);
            attempts.len() - 1
        })
    }

    /// Updates the record of an attempt.
    pub(crate) fn update_attempt(&self, id: &str, index: usize, update: impl FnOnce(&mut AttemptRecord)) {
        self.with(|record| {
            if let Some(attempt) = record.attempts.get_mut(id).and_then(|attempts| attempts.get_mut(index)) {
                update(attempt);
            }
        });
    }

    /// Records that an attempt has ended at its engine. A release that arrived during the attempt takes effect now.
    pub(crate) fn end_attempt(&self, id: &str) {
        let now = self.now();
        self.with(|record| {
            let held = record.held.entry(id.into()).or_default();
            held.open_attempts = held.open_attempts.saturating_sub(1);
            if held.released && held.open_attempts == 0 {
                held.free(now);
            } else if held.open_attempts == 0 && held.states > 0 {
                held.idle_since = Some(now);
            }
        });
    }

    /// Records that a read has produced a state.
    pub(crate) fn hold_state(&self, id: &str) {
        self.with(|record| record.held.entry(id.into()).or_default().states += 1);
    }

    /// Whether a state is held that can be fetched.
    pub(crate) fn has_state(&self, id: &str) -> bool {
        self.with(|record| record.held.get(id).is_some_and(|held| held.states > 0))
    }

    /// Records that the state was fetched. All states of the request are freed with it.
    pub(crate) fn fetch_states(&self, id: &str) {
        let now = self.now();
        self.with(|record| record.held.entry(id.into()).or_default().free(now));
    }

    /// Records a release. States are freed at once, or at the end of the last attempt in progress.
    pub(crate) fn release_states(&self, id: &str) {
        let now = self.now();
        self.with(|record| {
            let held = record.held.entry(id.into()).or_default();
            match held.open_attempts {
                0 => held.free(now),
                _ => held.released = true,
            }
        });
    }

    /// At the end of the run, counts the time for which states that are still held have been idle.
    pub(crate) fn close_held_states(&self) {
        let now = self.now();
        self.with(|record| record.held.values_mut().for_each(|held| held.end_idle_period(now)));
    }
}
