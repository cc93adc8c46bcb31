//! Which call is next: engines take turns, and one engine has a part of the places at the most.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use super::BackgroundCall;

/// One engine has at most the places divided by this.
const PLACES_DIVISOR_PER_ENGINE: usize = 4;

/// Calls of one engine.
#[derive(Default)]
struct EngineCalls {
    waiting: VecDeque<BackgroundCall>,
    in_flight: usize,
    in_turn: bool,
}

/// Calls that wait, by engine.
pub(super) struct CallSchedule {
    engines: HashMap<SocketAddr, EngineCalls>,
    /// Engines with a call that waits and a free place, in turn.
    turns: VecDeque<SocketAddr>,
    waiting: usize,
    max_per_engine: usize,
}

impl CallSchedule {
    /// A schedule for so many places.
    pub(super) fn new(places: usize) -> CallSchedule {
        CallSchedule {
            engines: HashMap::new(),
            turns: VecDeque::new(),
            waiting: 0,
            max_per_engine: places.div_ceil(PLACES_DIVISOR_PER_ENGINE),
        }
    }

    /// Calls that wait.
    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Adds a call behind those of its engine.
    pub(super) fn push(&mut self, call: BackgroundCall) {
        let address = call.address();
        self.engines.entry(address).or_default().waiting.push_back(call);
        self.waiting += 1;
        self.update_turn(address);
    }

    /// The next call, which takes a place until it has [finished](CallSchedule::finished).
    pub(super) fn next(&mut self) -> Option<BackgroundCall> {
        let address = self.turns.pop_front()?;
        let engine = self.engines.get_mut(&address)?;
        engine.in_turn = false;
        let call = engine.waiting.pop_front()?;
        engine.in_flight += 1;
        self.waiting -= 1;
        self.update_turn(address);
        Some(call)
    }

    /// A call to this address has ended; its place is free.
    pub(super) fn finished(&mut self, address: SocketAddr) {
        if let Some(engine) = self.engines.get_mut(&address) {
            engine.in_flight -= 1;
        }
        self.update_turn(address);
    }

    /// Gives an engine a turn if it has a call and a place, and forgets one that has nothing.
    fn update_turn(&mut self, address: SocketAddr) {
        let Some(engine) = self.engines.get_mut(&address) else { return };
        if engine.waiting.is_empty() && engine.in_flight == 0 {
            self.engines.remove(&address);
        } else if !engine.in_turn && !engine.waiting.is_empty() && engine.in_flight < self.max_per_engine {
            engine.in_turn = true;
            self.turns.push_back(address);
        }
    }
}
