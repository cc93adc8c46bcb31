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

/// The share of what a cell is built for that its engines count for, the scarcer role's, when each
/// counts for a part of itself and mixed engines fill what lacks most.
pub(crate) fn counted(cell: &CellSpec, engines: &[(Role, f64)]) -> f64 {
    let (mut readers, mut writers) = (cell.needs.readers as f64, cell.needs.writers as f64);
    for (role, weight) in engines {
        match role {
            Role::Reader => readers -= weight,
            Role::Writer => writers -= weight,
            Role::Mixed => {}
        }
    }
    for (_, weight) in engines.iter().filter(|(role, _)| *role == Role::Mixed) {
        if readers >= writers {
            readers -= weight;
        } else {
            writers -= weight;
        }
    }
    let of = |missing: f64, need: usize| 1.0 - missing.max(0.0) / need.max(1) as f64;
    of(readers, cell.needs.readers).min(of(writers, cell.needs.writers))
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

    /// Makes and ends loans for the engines that serve now. `pairs` says how many readers and writers
    /// more than it is built for a cell asks for. Returns whether anything has changed.
    ///
    /// What cells have lost comes first: an engine that another has only asked for is taken back for
    /// it at once. What is left goes to those that ask, the one that has borrowed least first.
    pub fn update(
        &mut self,
        now: Micros,
        cells: &[CellSpec],
        serving: &[Lendable],
        pairs: impl Fn(&CellName) -> usize,
    ) -> bool {
        let before = self.lent.clone();
        let spare = |e: &EngineId| serving.iter().any(|s| s.engine == *e && s.cell.is_none());
        // An engine that is gone, or has been given to a cell for good, is lent no more.
        self.lent.retain(|engine, cell| spare(engine) && cells.iter().any(|c| c.name == *cell));
        let asked = |cell: &CellSpec| {
            let (mut cell, more) = (cell.clone(), pairs(&cell.name));
            cell.needs.readers += more;
            cell.needs.writers += more;
            cell
        };
        for cell in cells {
            let whole = self.without(cell, serving).missing(&asked(cell)) == (0, 0);
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
            let lost = cells.iter().map(|c| (c, c.clone(), self.with(c, serving).share(c)));
            let next = self.next_loan(lost, serving, |c, missing| self.take_back(c, missing, cells, serving));
            let Some((cell, engine)) = next else { break };
            self.lent.insert(engine, cell);
        }
        // What nobody lacks goes to those that ask for more.
        loop {
            let asks = cells.iter().filter(|c| pairs(&c.name) > 0);
            let asks = asks.map(|c| (c, asked(c), self.borrowed(&c.name)));
            let next = self.next_loan(asks, serving, |c, missing| self.even_out(c, missing, cells, serving));
            let Some((cell, engine)) = next else { break };
            self.lent.insert(engine, cell);
        }
        self.lent != before
    }

    /// Of cells with what each is to have and a rank: the least one that lacks something and can have
    /// it, and the engine that helps, a spare one or else one that another gives.
    fn next_loan<'c, R: PartialOrd>(
        &self,
        cells: impl Iterator<Item = (&'c CellSpec, CellSpec, R)>,
        serving: &[Lendable],
        given: impl Fn(&CellSpec, (usize, usize)) -> Option<EngineId>,
    ) -> Option<(CellName, EngineId)> {
        let mut least: Option<(R, &CellSpec, EngineId)> = None;
        for (cell, goal, rank) in cells {
            let missing = self.with(cell, serving).missing(&goal);
            if missing == (0, 0) || least.as_ref().is_some_and(|l| rank >= l.0) {
                continue;
            }
            if let Some(engine) = self.pick(cell, missing, serving).or_else(|| given(cell, missing)) {
                least = Some((rank, cell, engine));
            }
        }
        least.map(|(_, cell, engine)| (cell.name.clone(), engine))
    }

    /// How many engines a cell has borrowed.
    fn borrowed(&self, cell: &CellName) -> usize {
        self.lent.values().filter(|c| *c == cell).count()
    }

    /// A cell's own engines.
    fn without(&self, cell: &CellSpec, serving: &[Lendable]) -> Has {
        let mut has = Has::default();
        serving.iter().filter(|s| s.cell.as_ref() == Some(&cell.name)).for_each(|s| has.add(s.role));
        has
    }

    /// A cell's own engines and those that it has borrowed.
    fn with(&self, cell: &CellSpec, serving: &[Lendable]) -> Has {
        let mut has = self.without(cell, serving);
        let lent = serving.iter().filter(|s| self.lent.get(&s.engine) == Some(&cell.name));
        lent.for_each(|s| has.add(s.role));
        has
    }

    /// An engine lent to another cell that has all it is built for without it.
    fn take_back(
        &self,
        cell: &CellSpec,
        missing: (usize, usize),
        cells: &[CellSpec],
        serving: &[Lendable],
    ) -> Option<EngineId> {
        let mut found: Option<(usize, &EngineId)> = None;
        for other in cells.iter().filter(|o| o.name != cell.name) {
            let (mut without, borrowed) = (self.clone(), self.borrowed(&other.name));
            for one in serving.iter().filter(|s| self.lent.get(&s.engine) == Some(&other.name)) {
                if !fits(one.role, missing) {
                    continue;
                }
                without.lent.remove(&one.engine);
                let spared = without.with(other, serving).missing(other) == (0, 0);
                without.lent.insert(one.engine.clone(), other.name.clone());
                // The one that has borrowed most gives first.
                if spared && found.is_none_or(|f| (borrowed, &one.engine) > f) {
                    found = Some((borrowed, &one.engine));
                }
            }
        }
        found.map(|f| f.1.clone())
    }

    /// An engine that another cell has asked for, where that has borrowed two more than this one.
    fn even_out(
        &self,
        cell: &CellSpec,
        missing: (usize, usize),
        cells: &[CellSpec],
        serving: &[Lendable],
    ) -> Option<EngineId> {
        let engine = self.take_back(cell, missing, cells, serving)?;
        let from = self.lent.get(&engine)?;
        (self.borrowed(from) >= self.borrowed(&cell.name) + 2).then_some(engine)
    }

    /// The spare engine that a cell would borrow next: of the role that it lacks more, by hash.
    fn pick(&self, cell: &CellSpec, missing: (usize, usize), serving: &[Lendable]) -> Option<EngineId> {
        let wants = |role: Role| wanted(role, missing);
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

/// How many engines of a role would help whoever misses so many readers and writers.
fn wanted(role: Role, missing: (usize, usize)) -> usize {
    match role {
        Role::Reader => missing.0,
        Role::Writer => missing.1,
        Role::Mixed => missing.0.max(missing.1),
    }
}

fn fits(role: Role, missing: (usize, usize)) -> bool {
    wanted(role, missing) > 0
}
