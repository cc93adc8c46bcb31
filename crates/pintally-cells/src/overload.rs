//! Overload of cells, measured as the fraction of requests whose response begins late, and the engines that an
//! overloaded cell requests on loan.
//!
//! A cell that stays overloaded requests one more pair of a reader and a writer at a time, and returns the pairs one
//! by one afterwards. Requests that are rejected at the edge do not count: a tenant that exceeds its quota must not
//! cause loans to its cell.

use std::collections::BTreeMap;

use pintally::interface::Micros;

use crate::CellName;

/// Half-life of the counts, in microseconds.
const HALF_LIFE_MICROS: f64 = 3_000_000.0;
/// The late fraction counts this many requests in time in addition to those recorded, so that a few late ones do not
/// make a cell overloaded.
const PRIOR_REQUESTS: f64 = 8.0;
/// A cell becomes overloaded at this fraction of late requests.
const MIN_OVERLOADED_FRACTION: f64 = 0.12;
/// An overloaded cell stays overloaded above this fraction of late requests.
const MAX_RECOVERED_FRACTION: f64 = 0.03;
/// Time between two requests of an overloaded cell for another pair of engines, in microseconds.
const REQUEST_INTERVAL_MICROS: Micros = 1_000_000;
/// Time between the returns of two pairs by a cell that is not overloaded, in microseconds.
const RETURN_INTERVAL_MICROS: Micros = 5_000_000;
/// The maximum number of pairs that a cell requests.
const MAX_REQUESTED_PAIRS: usize = 8;

/// The load of one cell.
#[derive(Clone, Debug, Default)]
struct CellLoad {
    /// When the counts last decayed.
    updated: Micros,
    late: f64,
    total: f64,
    overloaded: bool,
    /// When `overloaded` or `requested_pairs` last changed, in microseconds.
    changed: Micros,
    requested_pairs: usize,
}

impl CellLoad {
    fn decay_factor(&self, now: Micros) -> f64 {
        0.5f64.powf(now.saturating_sub(self.updated) as f64 / HALF_LIFE_MICROS)
    }

    fn late_fraction(&self, now: Micros) -> f64 {
        let decay = self.decay_factor(now);
        self.late * decay / (self.total * decay + PRIOR_REQUESTS)
    }

    fn record(&mut self, now: Micros, late: bool) {
        let decay = self.decay_factor(now);
        self.late = self.late * decay + if late { 1.0 } else { 0.0 };
        self.total = self.total * decay + 1.0;
        self.updated = self.updated.max(now);
    }

    /// Requests or returns a pair if it is due, and returns whether it did.
    fn tick(&mut self, now: Micros) -> bool {
        let late_fraction = self.late_fraction(now);
        let threshold_reached = late_fraction >= MIN_OVERLOADED_FRACTION;
        let was_overloaded = self.overloaded;
        self.overloaded =
            if was_overloaded { late_fraction > MAX_RECOVERED_FRACTION } else { threshold_reached };
        if was_overloaded != self.overloaded {
            self.changed = now;
        }
        let elapsed = now.saturating_sub(self.changed);
        // Between the two thresholds the number of pairs does not change.
        let pairs = if self.overloaded
            && threshold_reached
            && elapsed >= REQUEST_INTERVAL_MICROS
            && self.requested_pairs < MAX_REQUESTED_PAIRS
        {
            self.requested_pairs + 1
        } else if !self.overloaded && self.requested_pairs > 0 && elapsed >= RETURN_INTERVAL_MICROS {
            self.requested_pairs - 1
        } else {
            return false;
        };
        self.requested_pairs = pairs;
        self.changed = now;
        true
    }
}

/// Tracks the load of all cells.
#[derive(Clone, Debug, Default)]
pub struct OverloadTracker {
    cells: BTreeMap<CellName, CellLoad>,
}

impl OverloadTracker {
    /// Records that the response to a request of a cell began, late or not, or will never begin.
    pub fn record_response(&mut self, now: Micros, cell: &CellName, late: bool) {
        self.cells.entry(cell.clone()).or_default().record(now, late);
    }

    /// Requests or returns the pairs of engines that are due, and returns whether any cell did.
    pub fn tick(&mut self, now: Micros) -> bool {
        let mut changed = false;
        for load in self.cells.values_mut() {
            changed |= load.tick(now);
        }
        changed
    }

    /// Whether a cell is overloaded now.
    pub fn is_overloaded(&self, now: Micros, cell: &CellName) -> bool {
        self.cells.get(cell).is_some_and(|load| load.late_fraction(now) >= MIN_OVERLOADED_FRACTION)
    }

    /// Pairs of a reader and a writer that a cell requests beyond its required engines.
    pub fn requested_pairs(&self, cell: &CellName) -> usize {
        self.cells.get(cell).map_or(0, |load| load.requested_pairs)
    }

    /// Whether [`OverloadTracker::tick`] may change something.
    pub fn needs_tick(&self, now: Micros) -> bool {
        self.cells.values().any(|load| {
            load.requested_pairs > 0 || load.overloaded || load.late_fraction(now) >= MIN_OVERLOADED_FRACTION
        })
    }

    /// Drops all cells except known ones.
    pub fn retain(&mut self, is_known: impl Fn(&CellName) -> bool) {
        self.cells.retain(|cell, _| is_known(cell));
    }
}
