//! Whether a cell keeps up: the share of its requests that begin late, and what it wants because of it.
//!
//! A cell that is late for a while asks for engines on loan, one pair more at a time, and gives them
//! up as slowly. Requests that are turned away at the edge do not count: a tenant that is over its
//! part must not draw engines to its cell.

use std::collections::BTreeMap;

use pintally::interface::Micros;

use crate::CellName;

/// Requests count for half after this time.
const HALF: f64 = 3_000_000.0;
/// A cell of which little is known counts as if so many had been in time.
const PRIOR: f64 = 8.0;
/// A cell is strained from this share of late ones on,
const STRAINED: f64 = 0.12;
/// and calm below this one.
const CALM: f64 = 0.03;
/// Strained for so long, it asks for another pair of engines.
const ASK_EVERY: Micros = 1_000_000;
/// Calm for so long, it asks for one pair less.
const GIVE_UP_EVERY: Micros = 5_000_000;
/// The most pairs that a cell asks for.
const MAX_PAIRS: usize = 8;

#[derive(Clone, Debug, Default)]
struct Felt {
    at: Micros,
    late: f64,
    all: f64,
    strained: bool,
    /// When what it asks for last changed, or could have.
    stepped: Micros,
    pairs: usize,
}

impl Felt {
    fn share(&self, now: Micros) -> f64 {
        let fade = 0.5f64.powf(now.saturating_sub(self.at) as f64 / HALF);
        self.late * fade / (self.all * fade + PRIOR)
    }
}

/// How all cells keep up.
#[derive(Clone, Debug, Default)]
pub struct Strain {
    cells: BTreeMap<CellName, Felt>,
}

impl Strain {
    /// A request of a cell has begun to be answered, late or not, or will never be.
    pub fn heard(&mut self, now: Micros, cell: &CellName, late: bool) {
        let felt = self.cells.entry(cell.clone()).or_default();
        let fade = 0.5f64.powf(now.saturating_sub(felt.at) as f64 / HALF);
        felt.late = felt.late * fade + if late { 1.0 } else { 0.0 };
        felt.all = felt.all * fade + 1.0;
        felt.at = felt.at.max(now);
    }

    /// Takes the steps that are due. Returns whether any cell asks for more or less than before.
    pub fn tick(&mut self, now: Micros) -> bool {
        let mut changed = false;
        for felt in self.cells.values_mut() {
            let share = felt.share(now);
            let was = felt.strained;
            felt.strained = if was { share > CALM } else { share >= STRAINED };
            if was != felt.strained {
                felt.stepped = now;
            }
            let since = now.saturating_sub(felt.stepped);
            // Between the two shares it asks for neither more nor less.
            if felt.strained && share >= STRAINED && since >= ASK_EVERY && felt.pairs < MAX_PAIRS {
                (felt.pairs, felt.stepped, changed) = (felt.pairs + 1, now, true);
            } else if !felt.strained && felt.pairs > 0 && since >= GIVE_UP_EVERY {
                (felt.pairs, felt.stepped, changed) = (felt.pairs - 1, now, true);
            }
        }
        changed
    }

    /// Whether a cell is late now.
    pub fn is_strained(&self, now: Micros, cell: &CellName) -> bool {
        self.cells.get(cell).is_some_and(|f| f.share(now) >= STRAINED)
    }

    /// Pairs of a reader and a writer that a cell asks for over what it is built for.
    pub fn pairs(&self, cell: &CellName) -> usize {
        self.cells.get(cell).map_or(0, |f| f.pairs)
    }

    /// Whether time alone may change something.
    pub fn is_uneasy(&self, now: Micros) -> bool {
        self.cells.values().any(|f| f.pairs > 0 || f.strained || f.share(now) >= STRAINED)
    }

    /// Forgets cells that are no more.
    pub fn keep(&mut self, known: impl Fn(&CellName) -> bool) {
        self.cells.retain(|c, _| known(c));
    }
}
