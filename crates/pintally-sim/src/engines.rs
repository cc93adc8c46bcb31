//! The truth about engines: which run, who can reach them, what they hold.

use std::collections::BTreeSet;

use pintally::interface::{EndpointState, RequestId};

use crate::Micros;

/// A read state.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) request: RequestId,
    /// Its own name, where a call frees one state.
    pub(crate) name: RequestId,
    /// Whose request it is: node and life.
    pub(crate) owner: (usize, u32),
}

/// An engine.
pub(crate) struct Engine {
    pub(crate) reads: bool,
    pub(crate) zone: usize,
    pub(crate) listing: EndpointState,
    pub(crate) started: Option<Micros>,
    /// Its process runs; its machine is there; it does its work. Each counts how many troubles say otherwise.
    pub(crate) dead: u32,
    pub(crate) away: u32,
    pub(crate) hung: u32,
    /// Lives of its process.
    pub(crate) life: u32,
    pub(crate) held: Vec<State>,
    /// Requests that were let go while they were read: their states are not kept.
    pub(crate) dropped: BTreeSet<RequestId>,
    /// Flights that have come to it while it hung, and whether it had begun with them.
    pub(crate) waiting: Vec<(u64, bool)>,
}

impl Engine {
    pub(crate) fn new(reads: bool, zone: usize) -> Engine {
        Engine {
            reads,
            zone,
            listing: EndpointState::Serving,
            started: None,
            dead: 0,
            away: 0,
            hung: 0,
            life: 0,
            held: Vec::new(),
            dropped: BTreeSet::new(),
            waiting: Vec::new(),
        }
    }

    /// Whether it does what comes to it.
    pub(crate) fn works(&self) -> bool {
        self.dead == 0 && self.hung == 0
    }

    /// Its process is gone, with all that it held.
    pub(crate) fn die(&mut self) {
        self.dead += 1;
        self.life += 1;
        self.held.clear();
        self.dropped.clear();
        self.waiting.clear();
    }
}
