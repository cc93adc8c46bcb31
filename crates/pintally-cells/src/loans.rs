//! Loans: spare engines that a cell borrows to replace lost engines, or because it is overloaded.
//!
//! Which engine a cell borrows is determined by the endpoint list, the cells file and the requests of overloaded cells.
//! A loan ends only after its cell has had all engines that it needs without the loan for a while, so that loans do
//! not change whenever an engine comes and goes.

use std::collections::BTreeMap;

use pintally::interface::{EngineId, Micros, Role};

use crate::composition::{Composition, Shortage};
use crate::file::{CellSpec, RequiredEngines};
use crate::hashing::{hash_fraction, key_of};
use crate::CellName;

/// A cell returns its borrowed engines after it has had all that it needs without them for this long, in microseconds.
const RETURN_DELAY_MICROS: Micros = 10_000_000;

/// An engine that a cell borrows beyond its needs goes to another cell only if that has borrowed at least this many
/// engines fewer.
const MIN_LOAN_DIFFERENCE: usize = 2;

/// A serving engine of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingEngine {
    /// The engine.
    pub engine: EngineId,
    /// The engine's role.
    pub role: Role,
    /// The cell that it belongs to; `None` if it is spare.
    pub cell: Option<CellName>,
}

/// A loan that could be made.
#[derive(Clone, Debug)]
struct NewLoan {
    engine: EngineId,
    borrower: CellName,
}

/// A cell that may borrow, with the engines that it should have. Candidates of a lower rank borrow first.
struct Candidate<'a, R> {
    cell: &'a CellSpec,
    target: RequiredEngines,
    rank: R,
}

/// The cells and the serving engines between which loans are made.
#[derive(Clone, Copy)]
struct Fleet<'a> {
    cells: &'a [CellSpec],
    serving: &'a [ServingEngine],
}

/// The current loans.
#[derive(Clone, Debug, Default)]
pub struct Loans {
    /// The borrower of each engine.
    borrowers: BTreeMap<EngineId, CellName>,
    /// Since when each borrower has had all engines that it needs without its loans.
    complete_since: BTreeMap<CellName, Micros>,
}

impl Loans {
    /// The cell that has borrowed an engine.
    pub fn borrower(&self, engine: &EngineId) -> Option<&CellName> {
        self.borrowers.get(engine)
    }

    /// How many engines are lent.
    pub fn len(&self) -> usize {
        self.borrowers.len()
    }

    /// Whether no engine is lent.
    pub fn is_empty(&self) -> bool {
        self.borrowers.is_empty()
    }

    /// The earliest time at which a loan may end although the endpoint list does not change.
    pub fn next_return(&self) -> Option<Micros> {
        let first = self.complete_since.values().min()?;
        Some(first.saturating_add(RETURN_DELAY_MICROS))
    }

    /// Makes and ends loans for the engines that serve now, and returns whether any loan has changed.
    /// `requested_pairs` returns how many readers, and as many writers, a cell requests beyond its required engines.
    ///
    /// Lost engines are replaced first. For that, an engine that another cell has borrowed beyond its required engines
    /// is reclaimed at once. The remaining spare engines go to the cells that request more, first to the one that has
    /// borrowed the fewest.
    pub fn update(
        &mut self,
        now: Micros,
        cells: &[CellSpec],
        serving: &[ServingEngine],
        requested_pairs: impl Fn(&CellName) -> usize,
    ) -> bool {
        let before = self.borrowers.clone();
        let fleet = Fleet { cells, serving };
        let target = |cell: &CellSpec| {
            let pairs = requested_pairs(&cell.name);
            RequiredEngines {
                readers: cell.required_engines.readers + pairs,
                writers: cell.required_engines.writers + pairs,
            }
        };
        self.end_invalid(fleet);
        cells.iter().for_each(|cell| self.end_unneeded(now, cell, &target(cell), serving));
        // The cell that lacks the largest fraction of its engines borrows first. Each loan is one engine, so that no
        // cell takes all spare engines.
        while let Some(loan) = self.replacement(fleet) {
            self.borrowers.insert(loan.engine, loan.borrower);
        }
        let requesting: Vec<(&CellSpec, RequiredEngines)> = cells
            .iter()
            .filter(|cell| requested_pairs(&cell.name) > 0)
            .map(|cell| (cell, target(cell)))
            .collect();
        while let Some(loan) = self.requested(fleet, &requesting) {
            self.borrowers.insert(loan.engine, loan.borrower);
        }
        self.borrowers != before
    }

    /// Ends the loans of engines that no longer serve or now belong to a cell, and of cells that no longer exist.
    fn end_invalid(&mut self, fleet: Fleet) {
        let is_spare =
            |engine: &EngineId| fleet.serving.iter().any(|one| one.engine == *engine && one.cell.is_none());
        self.borrowers.retain(|engine, borrower| {
            is_spare(engine) && fleet.cells.iter().any(|cell| cell.name == *borrower)
        });
    }

    /// Ends the loans of a cell that has had all engines that it needs without them for long enough.
    fn end_unneeded(
        &mut self,
        now: Micros,
        cell: &CellSpec,
        target: &RequiredEngines,
        serving: &[ServingEngine],
    ) {
        let complete = own_engines(cell, serving).shortage(target).is_none();
        if !complete || self.borrowed(&cell.name) == 0 {
            self.complete_since.remove(&cell.name);
            return;
        }
        let since = *self.complete_since.entry(cell.name.clone()).or_insert(now);
        if now >= since.saturating_add(RETURN_DELAY_MICROS) {
            self.borrowers.retain(|_, borrower| *borrower != cell.name);
            self.complete_since.remove(&cell.name);
        }
    }

    /// The next loan that replaces a lost engine.
    fn replacement(&self, fleet: Fleet) -> Option<NewLoan> {
        let candidates = fleet.cells.iter().map(|cell| Candidate {
            cell,
            target: cell.required_engines,
            rank: self.all_engines(cell, fleet.serving).fraction(cell),
        });
        self.next_loan(candidates, fleet, |cell, shortage| self.reclaimable(cell, shortage, fleet))
    }

    /// The next loan that gives a cell a requested engine beyond its required ones.
    fn requested(&self, fleet: Fleet, requesting: &[(&CellSpec, RequiredEngines)]) -> Option<NewLoan> {
        let candidates = requesting.iter().map(|(cell, target)| Candidate {
            cell,
            target: *target,
            rank: self.borrowed(&cell.name),
        });
        self.next_loan(candidates, fleet, |cell, shortage| self.balancing(cell, shortage, fleet))
    }

    /// The loan for the candidate of the lowest rank that lacks an engine and can get one: a spare engine, or
    /// otherwise one that `other_source` finds.
    fn next_loan<'a, R: PartialOrd>(
        &self,
        candidates: impl Iterator<Item = Candidate<'a, R>>,
        fleet: Fleet,
        other_source: impl Fn(&CellSpec, Shortage) -> Option<EngineId>,
    ) -> Option<NewLoan> {
        let mut lowest: Option<(R, NewLoan)> = None;
        for Candidate { cell, target, rank } in candidates {
            let shortage = self.all_engines(cell, fleet.serving).shortage(&target);
            if shortage.is_none() || lowest.as_ref().is_some_and(|(lowest, _)| rank >= *lowest) {
                continue;
            }
            let engine = self.spare(cell, shortage, fleet.serving).or_else(|| other_source(cell, shortage));
            if let Some(engine) = engine {
                lowest = Some((rank, NewLoan { engine, borrower: cell.name.clone() }));
            }
        }
        lowest.map(|(_, loan)| loan)
    }

    /// How many engines a cell has borrowed.
    fn borrowed(&self, cell: &CellName) -> usize {
        self.borrowers.values().filter(|borrower| *borrower == cell).count()
    }

    /// A cell's own engines and those that it has borrowed.
    fn all_engines(&self, cell: &CellSpec, serving: &[ServingEngine]) -> Composition {
        let mut engines = own_engines(cell, serving);
        serving
            .iter()
            .filter(|one| self.borrowers.get(&one.engine) == Some(&cell.name))
            .for_each(|one| engines.add(one.role));
        engines
    }

    /// An engine lent to another cell that has all its required engines without it.
    fn reclaimable(&self, cell: &CellSpec, shortage: Shortage, fleet: Fleet) -> Option<EngineId> {
        let mut found: Option<(usize, &EngineId)> = None;
        for other in fleet.cells.iter().filter(|other| other.name != cell.name) {
            let borrowed = self.borrowed(&other.name);
            let lent = fleet
                .serving
                .iter()
                .filter(|one| self.borrowers.get(&one.engine) == Some(&other.name))
                .filter(|one| shortage.of_role(one.role) > 0)
                .filter(|one| self.can_spare(other, &one.engine, fleet.serving));
            // The engine is taken from the cell that has borrowed the most.
            for one in lent {
                if found.is_none_or(|found| (borrowed, &one.engine) > found) {
                    found = Some((borrowed, &one.engine));
                }
            }
        }
        found.map(|(_, engine)| engine.clone())
    }

    /// Whether a cell has all its required engines without an engine that it has borrowed.
    fn can_spare(&self, cell: &CellSpec, engine: &EngineId, serving: &[ServingEngine]) -> bool {
        let mut others = own_engines(cell, serving);
        serving
            .iter()
            .filter(|one| self.borrowers.get(&one.engine) == Some(&cell.name) && one.engine != *engine)
            .for_each(|one| others.add(one.role));
        others.shortage(&cell.required_engines).is_none()
    }

    /// An engine lent to another cell beyond its required ones, if that cell has borrowed clearly more engines.
    fn balancing(&self, cell: &CellSpec, shortage: Shortage, fleet: Fleet) -> Option<EngineId> {
        let engine = self.reclaimable(cell, shortage, fleet)?;
        let borrower = self.borrowers.get(&engine)?;
        let differs = self.borrowed(borrower) >= self.borrowed(&cell.name) + MIN_LOAN_DIFFERENCE;
        differs.then_some(engine)
    }

    /// The spare engine that a cell would borrow next: of the role that it lacks most, chosen by hash.
    fn spare(&self, cell: &CellSpec, shortage: Shortage, serving: &[ServingEngine]) -> Option<EngineId> {
        let preference = |one: &ServingEngine| (shortage.of_role(one.role), one.role != Role::Mixed);
        let hash = |one: &ServingEngine| hash_fraction(&cell.name.0, key_of(&one.engine.0));
        serving
            .iter()
            .filter(|one| one.cell.is_none() && !self.borrowers.contains_key(&one.engine))
            .filter(|one| shortage.of_role(one.role) > 0)
            .max_by(|a, b| {
                preference(a)
                    .cmp(&preference(b))
                    .then_with(|| hash(a).total_cmp(&hash(b)))
                    .then_with(|| a.engine.cmp(&b.engine))
            })
            .map(|one| one.engine.clone())
    }
}

/// The engines that belong to a cell.
fn own_engines(cell: &CellSpec, serving: &[ServingEngine]) -> Composition {
    let mut engines = Composition::default();
    serving.iter().filter(|one| one.cell.as_ref() == Some(&cell.name)).for_each(|one| engines.add(one.role));
    engines
}
