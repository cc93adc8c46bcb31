//! The record of a run: what clients, engines and discovery saw, and when.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time since the run's start.
pub(crate) type At = Duration;

/// What a class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Class {
    Safe,
    Once,
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

/// A request as its client sent it, and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) class: Class,
    pub(crate) node: usize,
    /// When its last byte was written, and for how long its client waits from then on.
    pub(crate) sent: At,
    pub(crate) client_timeout: Duration,
    /// It was the first request of its connection.
    pub(crate) on_new_connection: bool,
    /// It was sent once more, as its first connection had ended without an answer.
    pub(crate) resent: bool,
    /// When the client closed its connection by itself.
    pub(crate) left: Option<At>,
    pub(crate) end: RequestOutcome,
    /// The client read as fast as it could.
    pub(crate) prompt_reader: bool,
    /// The longest time between an event's writing and its reading.
    pub(crate) most_held_back: Duration,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// Nothing has come.
    Open,
    /// An answer came: its status, whether it was whole, and when it began and ended.
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
    /// When its head and its last byte came.
    pub(crate) head: At,
    pub(crate) attempt_started: At,
    /// The remaining time that it stated.
    pub(crate) remaining_stated: Option<Duration>,
    /// Another attempt of the request was out on an open connection.
    pub(crate) second_copy: bool,
    /// It took effect.
    pub(crate) effect: Option<At>,
    /// Its stream was written to the last chunk.
    pub(crate) finished: Option<At>,
    /// The node ended its connection while the engine went on writing.
    pub(crate) cut_by_node: Option<At>,
}

/// What is held at engines for one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReservedState {
    states: u32,
    out: u32,
    released: bool,
    since: Option<At>,
    pub(crate) longest: Duration,
}

impl ReservedState {
    fn rest(&mut self, now: At) {
        if let Some(since) = self.since.take() {
            self.longest = self.longest.max(now.saturating_sub(since));
        }
    }

    fn free(&mut self, now: At) {
        self.rest(now);
        self.states = 0;
        self.released = false;
    }
}

/// A life of a node's process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Incarnation {
    pub(crate) node: usize,
    pub(crate) started: At,
    pub(crate) stop_requested_at: Option<At>,
    /// When it ended, by itself or by SIGKILL.
    pub(crate) ended: Option<At>,
}

/// A bad client's connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BadClient {
    pub(crate) node: usize,
    pub(crate) connected: At,
    pub(crate) served_at: Option<At>,
}

/// All that was seen.
#[derive(Default)]
pub(crate) struct RunRecord {
    pub(crate) requests: BTreeMap<String, ClientRequest>,
    pub(crate) attempt_started: BTreeMap<String, Vec<AttemptRecord>>,
    pub(crate) held: BTreeMap<String, ReservedState>,
    /// When each node was notified that an engine drains or is gone.
    pub(crate) notified: Vec<(usize, String, At)>,
    /// When discovery was down.
    pub(crate) discovery_down: Vec<(At, At)>,
    pub(crate) incarnations: Vec<Incarnation>,
    pub(crate) bad_clients: Vec<BadClient>,
    /// What went wrong with a process: crashes, limits, late readiness.
    pub(crate) process_faults: Vec<(usize, String)>,
    /// What nodes themselves counted as not permitted.
    pub(crate) denied: Vec<(usize, String)>,
    /// The faults that were played.
    pub(crate) faults: Vec<(At, String)>,
}

/// The books, shared by all threads of a run.
pub(crate) struct Record {
    started: Instant,
    over: AtomicBool,
    books: Mutex<RunRecord>,
}

impl Record {
    pub(crate) fn new() -> Record {
        Record { started: Instant::now(), over: AtomicBool::new(false), books: Mutex::default() }
    }

    /// Whether the run is over, so that its threads may end.
    pub(crate) fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    pub(crate) fn set_over(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    pub(crate) fn now(&self) -> At {
        self.started.elapsed()
    }

    pub(crate) fn with<T>(&self, what: impl FnOnce(&mut RunRecord) -> T) -> T {
        what(&mut self.books.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    pub(crate) fn take_books(&self) -> RunRecord {
        self.with(std::mem::take)
    }

    /// An attempt has come whole; its number among those of the request.
    pub(crate) fn begins(&self, id: &str, attempt_started: AttemptRecord) -> usize {
        let now = self.now();
        self.with(|books| {
            let held = books.held.entry(id.into()).or_default();
            held.rest(now);
            held.out += 1;
            let all = books.attempt_started.entry(id.into()).or_default();
            all.push(attempt_started);
            all.len() - 1
        })
    }

    /// Notes something of an attempt.
    pub(crate) fn note(&self, id: &str, number: usize, what: impl FnOnce(&mut AttemptRecord)) {
        self.with(|books| {
            if let Some(attempt_started) =
                books.attempt_started.get_mut(id).and_then(|all| all.get_mut(number))
            {
                what(attempt_started);
            }
        });
    }

    /// An attempt has ended at its engine; a release that came meanwhile takes effect now.
    pub(crate) fn finish(&self, id: &str) {
        let now = self.now();
        self.with(|books| {
            let held = books.held.entry(id.into()).or_default();
            held.out = held.out.saturating_sub(1);
            if held.released && held.out == 0 {
                held.free(now);
            } else if held.out == 0 && held.states > 0 {
                held.since = Some(now);
            }
        });
    }

    /// A read has left a state.
    pub(crate) fn holds(&self, id: &str) {
        self.with(|books| books.held.entry(id.into()).or_default().states += 1);
    }

    /// Whether there is a state to fetch.
    pub(crate) fn has_state(&self, id: &str) -> bool {
        self.with(|books| books.held.get(id).is_some_and(|held| held.states > 0))
    }

    /// A state is fetched, and all else is let go with it.
    pub(crate) fn fetched(&self, id: &str) {
        let now = self.now();
        self.with(|books| books.held.entry(id.into()).or_default().free(now));
    }

    /// A release frees what no attempt waits for.
    pub(crate) fn released(&self, id: &str) {
        let now = self.now();
        self.with(|books| {
            let held = books.held.entry(id.into()).or_default();
            match held.out {
                0 => held.free(now),
                _ => held.released = true,
            }
        });
    }

    /// What is held up to now counts as the run ends.
    pub(crate) fn close_held(&self) {
        let now = self.now();
        self.with(|books| books.held.values_mut().for_each(|held| held.rest(now)));
    }
}
