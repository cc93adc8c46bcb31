//! The decision cores: one for each cell or zone.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use pintally::interface::{Action, Event, Micros};
use pintally::{AdmissionEstimate, EngineEstimate, Router, TableSizes};
use pintally_cells::CellName;
use pintally_config::NodeSettings;

/// Prime of the FNV-1a hash that derives the seed of a named cell's core.
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// One router for each cell, and events that the host has queued for them.
pub(crate) struct DecisionCores {
    settings: Arc<NodeSettings>,
    seed: u64,
    routers: BTreeMap<CellName, Router>,
    pending_events: VecDeque<(CellName, Event)>,
    /// Reused, so that events need no new allocation.
    action_buffer: Vec<Action>,
}

impl DecisionCores {
    /// No cores yet; the seed of each core is derived from this one.
    pub(crate) fn new(settings: Arc<NodeSettings>, seed: u64) -> DecisionCores {
        DecisionCores {
            settings,
            seed,
            routers: BTreeMap::new(),
            pending_events: VecDeque::new(),
            action_buffer: Vec::new(),
        }
    }

    /// Makes sure that a cell has a core.
    pub(crate) fn ensure(&mut self, cell: &CellName) {
        if self.routers.contains_key(cell) {
            return;
        }
        let router = Router::new(self.settings.core.clone(), self.seed_of(cell));
        self.routers.insert(cell.clone(), router);
    }

    /// The seed itself for the unnamed cell, and one derived from the name for all others.
    fn seed_of(&self, cell: &CellName) -> u64 {
        cell.0.bytes().fold(self.seed, |seed, byte| (seed ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
    }

    /// The cells that have a core.
    pub(crate) fn cells(&self) -> Vec<CellName> {
        self.routers.keys().cloned().collect()
    }

    /// Passes an event to a cell's core and returns its actions. The caller returns the emptied vector through
    /// [`Self::recycle`].
    pub(crate) fn handle(&mut self, now: Micros, cell: &CellName, event: Event) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.action_buffer);
        if let Some(router) = self.routers.get_mut(cell) {
            router.handle(now, event, &mut actions);
        }
        actions
    }

    /// Takes back an emptied vector, so that its allocation is reused.
    pub(crate) fn recycle(&mut self, actions: Vec<Action>) {
        self.action_buffer = actions;
    }

    /// Queues an event that is handled after the actions of the current one.
    pub(crate) fn queue_event(&mut self, cell: CellName, event: Event) {
        self.pending_events.push_back((cell, event));
    }

    /// The next queued event.
    pub(crate) fn next_event(&mut self) -> Option<(CellName, Event)> {
        self.pending_events.pop_front()
    }

    /// The estimated states of all engines.
    pub(crate) fn engine_estimates(&self, now: Micros) -> Vec<EngineEstimate> {
        self.routers.values().flat_map(|router| router.engine_estimates(now)).collect()
    }

    /// The sizes of all cores' tables, summed up.
    pub(crate) fn table_sizes(&self) -> TableSizes {
        self.routers.values().map(Router::table_sizes).sum()
    }

    /// The admission estimate of each core.
    pub(crate) fn admission_estimates(&self) -> Vec<AdmissionEstimate> {
        self.routers.values().map(Router::admission_estimate).collect()
    }

    /// The highest service rates that any core has measured, by role.
    pub(crate) fn service_rates(&self) -> [f64; 3] {
        let mut highest = [0.0f64; 3];
        for rates in self.routers.values().map(Router::service_rates) {
            highest.iter_mut().zip(rates).for_each(|(highest, rate)| *highest = highest.max(rate));
        }
        highest
    }
}
