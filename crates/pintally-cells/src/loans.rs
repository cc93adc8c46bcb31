//! Loans: engines of the spare pool that stand in for what a cell has lost.
//!
//! Who borrows what follows from the list of engines and the cells file; a loan once made stays until
//! its cell has been whole for a while, so that engines that come and go move nothing.

use std::collections::BTreeMap;

use pintally::interface::{EngineId, Micros, Role};

use crate::assign::{draw, number};
use crate::file::CellSpec;
use crate::CellName;

/// A cell must have been whole for so long before it gives an engine back.
const WHOLE_FOR: Micros = 10_000_000;

/// An engine that serves, by the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lendable {
    /// The engine.
    pub engine: EngineId,
    /// What it does.
    pub role: Role,
    /// The cell that it belongs to; none if it is spare.
    pub cell: Option<CellName>,
}

/// Who has borrowed what.
#[derive(Clone, Debug, Default)]
pub struct Loans {
    lent: BTreeMap<EngineId, CellName>,
    /// Since when each borrower has been whole without what it has borrowed.
    whole: BTreeMap<CellName, Micros>,
}

/// Engines of a cell by what they do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Has {
    pub(crate) readers: usize,
    pub(crate) writers: usize,
    pub(crate) mixed: usize,
}

impl Has {
    pub(crate) fn add(&mut self, role: Role) {
        match role {
            Role::Reader => self.readers += 1,
            Role::Writer => self.writers += 1,
            Role::Mixed => self.mixed += 1,
        }
    }

    /// How many readers and writers are missing when mixed engines fill what lacks most.
    pub(crate) fn missing(&self, cell: &CellSpec) -> (usize, usize) {
        let mut readers = cell.needs.readers.saturating_sub(self.readers);
        let mut writers = cell.needs.writers.saturating_sub(self.writers);
        for _ in 0..self.mixed {
            if readers >= writers {
                readers = readers.saturating_sub(1);
            } else {
                writers -= 1;
            }
        }
        (readers, writers)
    }

    /// The share of what the cell is built for that it has, the scarcer role's.
    pub(crate) fn share(&self, cell: &CellSpec) -> f64 {
        let (readers, writers) = self.missing(cell);
        let of = |missing: usize, need: usize| 1.0 - missing as f64 / need.max(1) as f64;
        of(readers, cell.needs.readers).min(of(writers, cell.needs.writers))
    }
}

impl Loans {
    /// The cell that has borrowed an engine.
    pub fn borrower(&self, engine: &EngineId) -> Option<&CellName> {
        self.lent.get(engine)
    }

    /// How many engines are lent.
    pub fn len(&self) -> usize {
        self.lent.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.lent.is_empty()
    }

    /// When a loan may end by time alone.
    pub fn next_end(&self) -> Option<Micros> {
        self.whole.values().min().map(|since| since.saturating_add(WHOLE_FOR))
    }

    /// Makes and ends loans for the engines that serve now. Returns whether anything has changed.
    pub fn update(&mut self, now: Micros, cells: &[CellSpec], serving: &[Lendable]) -> bool {
        let before = self.lent.clone();
        let spare = |e: &EngineId| serving.iter().any(|s| s.engine == *e && s.cell.is_none());
        // An engine that is gone, or has been given to a cell for good, is lent no more.
        self.lent.retain(|engine, cell| spare(engine) && cells.iter().any(|c| c.name == *cell));
        let mut own: BTreeMap<&CellName, Has> = cells.iter().map(|c| (&c.name, Has::default())).collect();
        for one in serving {
            if let Some(has) = one.cell.as_ref().and_then(|c| own.get_mut(c)) {
                has.add(one.role);
            }
        }
        for cell in cells {
            let has = own[&cell.name];
            let whole = has.missing(cell) == (0, 0);
            let borrows = self.lent.values().any(|c| *c == cell.name);
            if !whole || !borrows {
                self.whole.remove(&cell.name);
            } else {
                let since = *self.whole.entry(cell.name.clone()).or_insert(now);
                if now >= since.saturating_add(WHOLE_FOR) {
                    self.lent.retain(|_, c| *c != cell.name);
                    self.whole.remove(&cell.name);
                }
            }
        }
        // Whoever has lost most is helped first, one engine at a time, so that none takes all.
        loop {
            let mut worst: Option<(f64, &CellSpec, (usize, usize))> = None;
            for cell in cells {
                let mut has = own[&cell.name];
                let lent = serving.iter().filter(|s| self.lent.get(&s.engine) == Some(&cell.name));
                lent.for_each(|s| has.add(s.role));
                let missing = has.missing(cell);
                let share = has.share(cell);
                let fits = missing != (0, 0) && self.pick(cell, missing, serving).is_some();
                if fits && worst.is_none_or(|(least, ..)| share < least) {
                    worst = Some((share, cell, missing));
                }
            }
            let Some((_, cell, missing)) = worst else { break };
            let Some(engine) = self.pick(cell, missing, serving) else { break };
            self.lent.insert(engine, cell.name.clone());
        }
        self.lent != before
    }

    /// The spare engine that a cell would borrow next: of the role that it lacks more, by hash.
    fn pick(&self, cell: &CellSpec, missing: (usize, usize), serving: &[Lendable]) -> Option<EngineId> {
        let wants = |role: Role| match role {
            Role::Reader => missing.0,
            Role::Writer => missing.1,
            Role::Mixed => missing.0.max(missing.1),
        };
        let free = serving.iter().filter(|s| s.cell.is_none() && !self.lent.contains_key(&s.engine));
        free.filter(|s| wants(s.role) > 0)
            .max_by(|a, b| {
                let mixed = |s: &Lendable| s.role != Role::Mixed;
                let drawn = |s: &Lendable| draw(&cell.name.0, number(&s.engine.0));
                (wants(a.role), mixed(a))
                    .cmp(&(wants(b.role), mixed(b)))
                    .then_with(|| drawn(a).total_cmp(&drawn(b)))
                    .then_with(|| a.engine.cmp(&b.engine))
            })
            .map(|s| s.engine.clone())
    }
}
