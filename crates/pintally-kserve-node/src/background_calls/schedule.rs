//! The order of background calls: round-robin over engines, with a limit on concurrent calls to one engine.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use super::BackgroundCall;

/// The maximum number of calls in flight at one engine is that of all engines divided by this.
const ENGINE_LIMIT_DIVISOR: usize = 4;

/// Calls to one engine.
#[derive(Default)]
struct EngineCalls {
    waiting: VecDeque<BackgroundCall>,
    in_flight: usize,
    /// Whether the engine is in [`CallSchedule::ready_engines`].
    is_queued: bool,
}

/// Calls that wait, grouped by engine.
pub(super) struct CallSchedule {
    engines: HashMap<SocketAddr, EngineCalls>,
    /// Engines with a waiting call and fewer calls in flight than allowed, in round-robin order.
    ready_engines: VecDeque<SocketAddr>,
    waiting: usize,
    max_per_engine: usize,
}

impl CallSchedule {
    /// Creates a schedule for at most `max_in_flight` concurrent calls.
    pub(super) fn new(max_in_flight: usize) -> CallSchedule {
        CallSchedule {
            engines: HashMap::new(),
            ready_engines: VecDeque::new(),
            waiting: 0,
            max_per_engine: max_in_flight.div_ceil(ENGINE_LIMIT_DIVISOR),
        }
    }

    /// The number of calls that wait.
    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Adds a call at the end of its engine's queue.
    pub(super) fn push(&mut self, call: BackgroundCall) {
        let address = call.address();
        self.engines.entry(address).or_default().waiting.push_back(call);
        self.waiting += 1;
        self.enqueue_if_ready(address);
    }

    /// Takes the next call, which counts as in flight until [`CallSchedule::finished`].
    pub(super) fn next(&mut self) -> Option<BackgroundCall> {
        let address = self.ready_engines.pop_front()?;
        let engine = self.engines.get_mut(&address)?;
        engine.is_queued = false;
        let call = engine.waiting.pop_front()?;
        engine.in_flight += 1;
        self.waiting -= 1;
        self.enqueue_if_ready(address);
        Some(call)
    }

    /// Records that a call to this address has ended.
    pub(super) fn finished(&mut self, address: SocketAddr) {
        if let Some(engine) = self.engines.get_mut(&address) {
            engine.in_flight -= 1;
        }
        self.enqueue_if_ready(address);
    }

    /// Queues an engine if it has a waiting call and may have another one in flight. Removes an engine
    /// without calls.
    fn enqueue_if_ready(&mut self, address: SocketAddr) {
        let Some(engine) = self.engines.get_mut(&address) else { return };
        if engine.waiting.is_empty() && engine.in_flight == 0 {
            self.engines.remove(&address);
        } else if !engine.is_queued && !engine.waiting.is_empty() && engine.in_flight < self.max_per_engine {
            engine.is_queued = true;
            self.ready_engines.push_back(address);
        }
    }
}
