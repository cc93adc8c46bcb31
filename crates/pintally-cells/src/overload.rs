//! Overload of cells: the fraction of requests whose response begins late, and the engines that a cell requests
//! because of it.
//!
//! A cell that is overloaded for a while requests engines on loan, one pair more at a time, and returns them as
//! slowly. Requests that are rejected at the edge do not count: a tenant that is over its quota must not draw
//! engines to its cell.

use std::collections::BTreeMap;

use pintally::interface::Micros;

use crate::CellName;

/// Half-life of the counts, in microseconds.
const HALF_LIFE_MICROS: f64 = 3_000_000.0;
/// A cell starts as if this many requests had been in time, so that a few late ones mean nothing.
const PRIOR_REQUESTS: f64 = 8.0;
/// A cell becomes overloaded at this fraction of late requests,
const MIN_OVERLOADED_FRACTION: f64 = 0.12;
/// and stays so above this one.
const MAX_CALM_FRACTION: f64 = 0.03;
/// An overloaded cell requests another pair of engines after each such time, in microseconds.
const REQUEST_INTERVAL_MICROS: Micros = 1_000_000;
/// A calm cell returns a pair after each such time, in microseconds.
const RETURN_INTERVAL_MICROS: Micros = 5_000_000;
/// Most pairs that a cell requests.
const MAX_REQUESTED_PAIRS: usize = 8;

/// The load of one cell.
#[derive(Clone, Debug, Default)]
struct CellLoad {
    /// When the counts last decayed.
    updated: Micros,
    late: f64,
    all: f64,
    overloaded: bool,
    /// When the overload or the number of pairs last changed.
    changed: Micros,
    requested_pairs: usize,
}

impl CellLoad {
    fn decay_factor(&self, now: Micros) -> f64 {
        0.5f64.powf(now.saturating_sub(self.updated) as f64 / HALF_LIFE_MICROS)
    }

    fn late_fraction(&self, now: Micros) -> f64 {
        let decay = self.decay_factor(now);
        self.late * decay / (self.all * decay + PRIOR_REQUESTS)
    }

    fn record(&mut self, now: Micros, late: bool) {
        let decay = self.decay_factor(now);
        self.late = self.late * decay + if late { 1.0 } else { 0.0 };
        self.all = self.all * decay + 1.0;
        self.updated = self.updated.max(now);
    }

    /// Requests or returns a pair if it is time, and returns whether it did.
    fn tick(&mut self, now: Micros) -> bool {
        let late_fraction = self.late_fraction(now);
        let threshold_reached = late_fraction >= MIN_OVERLOADED_FRACTION;
        let was_overloaded = self.overloaded;
        self.overloaded = if was_overloaded { late_fraction > MAX_CALM_FRACTION } else { threshold_reached };
        if was_overloaded != self.overloaded {
            self.changed = now;
        }
        let elapsed = now.saturating_sub(self.changed);
        // Between the two fractions the number of pairs stays.
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

    /// Requests or returns pairs of engines as it is time, and returns whether any cell did.
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

    /// Pairs of a reader and a writer that a cell requests beyond what it is built for.
    pub fn requested_pairs(&self, cell: &CellName) -> usize {
        self.cells.get(cell).map_or(0, |load| load.requested_pairs)
    }

    /// Whether time alone may change something.
    pub fn needs_tick(&self, now: Micros) -> bool {
        self.cells.values().any(|load| {
            load.requested_pairs > 0 || load.overloaded || load.late_fraction(now) >= MIN_OVERLOADED_FRACTION
        })
    }

    /// Forgets all cells but those that are known.
    pub fn retain(&mut self, is_known: impl Fn(&CellName) -> bool) {
        self.cells.retain(|cell, _| is_known(cell));
    }
}
