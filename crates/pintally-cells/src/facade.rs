//! Cells as a host sees them: which engines each has, and where each request goes.

use std::collections::BTreeMap;

use pintally::interface::{Listing, Member, Micros, Role, Settings};

use crate::edge::{Edge, Place};
use crate::file::CellsFile;
use crate::health::{Ladder, Level};
use crate::loans::{Has, Lendable, Loans};
use crate::CellName;

/// A cell takes strangers from a lost one only while it uses less than this share of its own part.
const STRANGERS: f64 = 0.7;
/// Whoever finds his cell lost is told to come back after this many milliseconds.
const LOST_MS: u64 = 2000;
/// And whoever is shed, after this many.
const SHED_MS: u64 = 1000;

/// A request at the door.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Its tenant, if any.
    pub tenant: Option<&'a str>,
    /// Its session.
    pub session: u64,
    /// Index of its class, if it has one.
    pub class: Option<usize>,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Into this cell.
    Into(CellName),
    /// Into the first cell, once the heaviest tenant of the second has given up a request that waits.
    InPlaceOf(CellName, CellName),
    /// Turned away, to come back after so many milliseconds; the cell that it belongs to, and why.
    Refused(Option<CellName>, u64, &'static str),
}

/// The engines that a cell has as of now.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// The members of each cell, borrowed ones among them, marked as just started when they are new.
    pub cells: BTreeMap<CellName, Vec<Member>>,
    /// What people on call should hear.
    pub notes: Vec<String>,
}

/// All cells of a fleet as one node sees them.
pub struct Cells {
    file: CellsFile,
    edge: Edge,
    places: usize,
    worths: Vec<f64>,
    ladders: BTreeMap<CellName, Ladder>,
    loans: Loans,
    /// A list of engines has come. Guards against a node that starts, knows the cells before their
    /// engines, takes all of them for lost and then climbs for many seconds while nothing is wrong.
    listed: bool,
    /// The list of engines as it holds: each with its cell.
    members: BTreeMap<pintally::interface::EngineId, (Member, Role, Option<CellName>)>,
    /// When each loan was made.
    borrowed: BTreeMap<pintally::interface::EngineId, Micros>,
}

impl Cells {
    /// Cells for a node with so many places.
    pub fn new(file: CellsFile, places: usize, core: &Settings) -> Cells {
        let worths: Vec<f64> = core.classes.iter().map(|c| c.worth).collect();
        let mut cells = Cells {
            file: CellsFile::default(),
            edge: Edge::default(),
            places,
            worths,
            ladders: BTreeMap::new(),
            loans: Loans::default(),
            listed: false,
            members: BTreeMap::new(),
            borrowed: BTreeMap::new(),
        };
        cells.set(file);
        cells
    }

    fn set(&mut self, file: CellsFile) {
        self.edge.divide(self.places, file.cells.iter().map(|c| (&c.name, c.weight)));
        for cell in &file.cells {
            let worths = &self.worths;
            self.ladders.entry(cell.name.clone()).or_insert_with(|| Ladder::new(worths.iter().copied()));
        }
        self.ladders.retain(|name, _| file.cells.iter().any(|c| c.name == *name));
        self.file = file;
    }

    /// The file that holds.
    pub fn file(&self) -> &CellsFile {
        &self.file
    }

    /// Takes in another version of the file; an error says why it does not hold.
    pub fn replace(&mut self, now: Micros, file: CellsFile) -> Result<Spread, String> {
        if file.version < self.file.version {
            return Err(format!("version {} is older than {}, which holds", file.version, self.file.version));
        }
        if let Some(conflict) = file.conflict(&self.file) {
            return Err(conflict);
        }
        self.set(file);
        Ok(self.spread(now))
    }

    /// Takes in the list of engines, whole: each with its role and its cell's name.
    pub fn list(&mut self, now: Micros, members: Vec<(Member, Role, Option<CellName>)>) -> Spread {
        self.listed |= !members.is_empty();
        self.members = members.into_iter().map(|m| (m.0.engine.clone(), m)).collect();
        self.spread(now)
    }

    /// Where each cell stands, and how many engines it has borrowed.
    pub fn status(&self) -> Vec<(CellName, Level, f64, usize)> {
        let lent =
            |name: &CellName| self.members.keys().filter(|e| self.loans.borrower(e) == Some(name)).count();
        self.ladders.iter().map(|(n, l)| (n.clone(), l.level(), l.capacity(), lent(n))).collect()
    }

    /// When time alone may change something.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let climbs = self.ladders.values().any(|l| l.level() != Level::Well);
        let climb = climbs.then(|| now.saturating_add(1_000_000));
        [self.loans.next_end(), climb].into_iter().flatten().min()
    }

    /// Makes loans, takes steps, and says which engines each cell has.
    pub fn spread(&mut self, now: Micros) -> Spread {
        let mut spread = Spread::default();
        if !self.listed {
            return spread;
        }
        let known = |cell: &CellName| self.file.cells.iter().any(|c| c.name == *cell);
        let serving: Vec<Lendable> = self
            .members
            .values()
            .filter(|(m, ..)| m.listing == Listing::Serving)
            .map(|(m, role, cell)| Lendable {
                engine: m.engine.clone(),
                role: *role,
                cell: cell.clone().filter(&known),
            })
            .collect();
        if self.loans.update(now, &self.file.cells, &serving) {
            for one in &serving {
                match (self.loans.borrower(&one.engine), self.borrowed.contains_key(&one.engine)) {
                    (Some(cell), false) => {
                        spread.notes.push(format!("engine {} is lent to cell {cell}", one.engine.0));
                        self.borrowed.insert(one.engine.clone(), now);
                    }
                    (None, true) => {
                        spread.notes.push(format!("engine {} is given back", one.engine.0));
                        self.borrowed.remove(&one.engine);
                    }
                    _ => {}
                }
            }
            self.borrowed.retain(|e, _| self.loans.borrower(e).is_some());
        }
        for cell in &self.file.cells {
            let mut has = Has::default();
            let mut members = Vec::new();
            for (member, role, own) in self.members.values() {
                let lent = self.loans.borrower(&member.engine) == Some(&cell.name);
                if own.as_ref() != Some(&cell.name) && !lent {
                    continue;
                }
                let mut member = member.clone();
                if lent {
                    // Its memory holds nothing of this cell's texts: it starts as a cold one does.
                    member.started = member.started.max(self.borrowed.get(&member.engine).copied());
                }
                if member.listing == Listing::Serving {
                    has.add(*role);
                }
                members.push(member);
            }
            let Some(ladder) = self.ladders.get_mut(&cell.name) else { continue };
            if ladder.update(now, has.share(cell)) {
                let percent = (ladder.capacity() * 100.0).round();
                spread.notes.push(format!(
                    "cell {} is {:?}: {percent}% of its engines",
                    cell.name,
                    ladder.level()
                ));
            }
            spread.cells.insert(cell.name.clone(), members);
        }
        spread
    }

    /// Where a request goes. A place is taken where there is one; [`Cells::give_back`] returns it.
    pub fn admit(&mut self, ask: Ask, unix_ms: u64) -> Verdict {
        let Some(home) = self.file.belongs(ask.tenant, ask.session, unix_ms) else {
            return Verdict::Refused(None, LOST_MS, "no cell");
        };
        let Some(ladder) = self.ladders.get_mut(&home) else {
            return Verdict::Refused(Some(home), LOST_MS, "no cell");
        };
        let (level, serves, share) = (ladder.level(), ladder.serves(ask.class), ladder.share());
        if level == Level::Lost {
            return self.elsewhere(&home, ask);
        }
        if !serves {
            return Verdict::Refused(Some(home), SHED_MS, "shed");
        }
        match self.edge.ask(&home, ask.tenant, share) {
            Place::Free => {
                self.edge.take(&home, ask.tenant);
                Verdict::Into(home)
            }
            Place::InPlaceOf(other) => {
                self.edge.take(&home, ask.tenant);
                Verdict::InPlaceOf(home, other)
            }
            Place::None(after) => Verdict::Refused(Some(home), after, "over its part"),
        }
    }

    /// A lost cell's request goes to the cell that stands in, as far as that has room of its own;
    /// what does not fit is refused at home.
    fn elsewhere(&mut self, home: &CellName, ask: Ask) -> Verdict {
        let lost = Verdict::Refused(Some(home.clone()), LOST_MS, "cell lost");
        let Some(other) = self.file.cell_named(home).and_then(|c| c.fallback.clone()) else { return lost };
        let well = self.ladders.get(&other).is_some_and(|l| l.level() == Level::Well);
        let (part, used) = self.edge.of(&other);
        if !well || used as f64 >= part as f64 * STRANGERS || self.edge.used() >= self.places {
            return lost;
        }
        self.edge.take(&other, ask.tenant);
        Verdict::Into(other)
    }

    /// Gives a request's place back.
    pub fn give_back(&mut self, cell: &CellName, tenant: Option<&str>) {
        self.edge.give_back(cell, tenant);
    }

    /// The tenant that has the most places of a cell.
    pub fn heaviest(&self, cell: &CellName) -> Option<Option<String>> {
        self.edge.heaviest(cell)
    }
}
