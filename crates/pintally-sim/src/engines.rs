//! The actual condition of the engines: which run, which can be reached, which states they hold.

use std::collections::BTreeSet;

use pintally::interface::{EndpointState, RequestId};

use crate::Micros;

/// A read state.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) request: RequestId,
    /// Name of the state, used where a release call frees a single state.
    pub(crate) name: RequestId,
    /// Node that sent the request, and that node's incarnation.
    pub(crate) owner: (usize, u32),
}

/// An engine.
pub(crate) struct Engine {
    pub(crate) is_reader: bool,
    pub(crate) zone: usize,
    pub(crate) listing: EndpointState,
    pub(crate) started: Option<Micros>,
    /// Number of active faults that keep the process down, make the machine unreachable or hang the engine.
    pub(crate) down_faults: u32,
    pub(crate) unreachable_faults: u32,
    pub(crate) hang_faults: u32,
    /// Incremented each time the process ends.
    pub(crate) incarnation: u32,
    pub(crate) held: Vec<State>,
    /// Requests that were released while their prompt was read: their states are not kept.
    pub(crate) released_while_read: BTreeSet<RequestId>,
    /// Attempts delivered or in work while the engine hangs, and whether their work had begun.
    pub(crate) waiting: Vec<(u64, bool)>,
}

impl Engine {
    pub(crate) fn new(is_reader: bool, zone: usize) -> Engine {
        Engine {
            is_reader,
            zone,
            listing: EndpointState::Serving,
            started: None,
            down_faults: 0,
            unreachable_faults: 0,
            hang_faults: 0,
            incarnation: 0,
            held: Vec::new(),
            released_while_read: BTreeSet::new(),
            waiting: Vec::new(),
        }
    }

    /// Whether the engine processes what is delivered to it.
    pub(crate) fn is_working(&self) -> bool {
        self.down_faults == 0 && self.hang_faults == 0
    }

    /// Ends the process; all states are lost.
    pub(crate) fn crash(&mut self) {
        self.down_faults += 1;
        self.incarnation += 1;
        self.held.clear();
        self.released_while_read.clear();
        self.waiting.clear();
    }
}
