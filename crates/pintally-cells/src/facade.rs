//! Cells as a host sees them: which engines each has, and where each request goes.

use std::collections::BTreeMap;

use pintally::interface::{
    Endpoint, EndpointState, EngineId, Idempotency, LoadReport, Micros, Outcome, Role, Settings,
};

use crate::composition::{healthy_fraction, Composition};
use crate::edge::{EdgeAdmission, EdgeDecision};
use crate::engine_health::EngineHealth;
use crate::file::CellsFile;
use crate::health::{CellHealth, Level};
use crate::loans::{Loans, ServingEngine};
use crate::move_rate::MoveRateController;
use crate::overload::OverloadTracker;
use crate::CellName;

/// A cell takes strangers from a lost one only while it uses less than this share of its own part.
const STRANGERS: f64 = 0.7;
/// Whoever finds his cell lost is told to come back after this many milliseconds.
const LOST_MS: u64 = 2000;
/// And whoever is shed, or finds no room for his body, after this many.
const SHED_MS: u64 = 1000;
/// Of the room for bodies this much is for requests that are held; the rest is for those that come in,
/// whose cell nobody knows yet.
const HELD: f64 = 0.75;
/// While a cell is uneasy it is looked at this often.
const LOOK_EVERY: Micros = 250_000;

/// A request at the door.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Its tenant, if any.
    pub tenant: Option<&'a str>,
    /// Its session.
    pub session: u64,
    /// Index of its class, if it has one.
    pub class: Option<usize>,
    /// Bytes that it holds while it is here.
    pub bytes: usize,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellAdmission {
    /// Into this cell.
    Into(CellName),
    /// Into the first cell, once the heaviest tenant of the second has given up a request that waits.
    InPlaceOf(CellName, CellName),
    /// Turned away, to come back after so many milliseconds; the cell that it belongs to, and why.
    Rejected(Option<CellName>, u64, &'static str),
}

/// The engines that a cell has as of now.
#[derive(Clone, Debug, Default)]
pub struct EngineAssignment {
    /// The members of each cell, borrowed ones among them, marked as just started when they are new.
    pub cells: BTreeMap<CellName, Vec<Endpoint>>,
    /// What people on call should hear.
    pub notes: Vec<String>,
}

/// Where one cell stands.
#[derive(Clone, Debug, PartialEq)]
pub struct CellStatus {
    /// The cell.
    pub cell: CellName,
    /// Its level.
    pub level: Level,
    /// The share of what it is built for that its engines count for.
    pub capacity: f64,
    /// Engines that it has borrowed.
    pub borrowed: usize,
    /// It is late.
    pub overloaded: bool,
    /// Its engines are there and fail.
    pub failing: bool,
}

/// All cells of a fleet as one node sees them.
pub struct Cells {
    file: CellsFile,
    edge: EdgeAdmission,
    places: usize,
    room: usize,
    worths: Vec<f64>,
    /// Whether a class may be run twice without harm.
    safe: Vec<bool>,
    engine_health: EngineHealth,
    overload: OverloadTracker,
    pace: MoveRateController,
    /// Tenants whose moves are held back.
    held: Vec<String>,
    ladders: BTreeMap<CellName, CellHealth>,
    loans: Loans,
    /// A list of engines has come. Guards against a node that starts, knows the cells before their
    /// engines, takes all of them for lost and then climbs for many seconds while nothing is wrong.
    listed: bool,
    /// The list of engines as it holds: each with its cell.
    members: BTreeMap<EngineId, (Endpoint, Role, Option<CellName>)>,
    /// When each loan was made.
    borrowed: BTreeMap<EngineId, Micros>,
}

impl Cells {
    /// Cells for a node with so many places, and room for so many bytes of bodies.
    pub fn new(file: CellsFile, places: usize, room: usize, core: &Settings) -> Cells {
        let worths: Vec<f64> = core.classes.iter().map(|c| c.priority_weight).collect();
        let mut cells = Cells {
            file: CellsFile::default(),
            edge: EdgeAdmission::default(),
            places,
            room: (room as f64 * HELD) as usize,
            worths,
            safe: core.classes.iter().map(|c| c.effect == Idempotency::Idempotent).collect(),
            engine_health: EngineHealth::default(),
            overload: OverloadTracker::default(),
            pace: MoveRateController::default(),
            held: Vec::new(),
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
        self.edge.divide(self.places, self.room, file.cells.iter().map(|c| (&c.name, c.weight)));
        for cell in &file.cells {
            let worths = &self.worths;
            self.ladders.entry(cell.name.clone()).or_insert_with(|| CellHealth::new(worths.iter().copied()));
        }
        let known = |name: &CellName| file.cells.iter().any(|c| c.name == *name);
        self.ladders.retain(|name, _| known(name));
        self.overload.retain(known);
        self.pace.retain(|tenant| file.moves.iter().any(|m| m.tenant == tenant));
        self.held.retain(|tenant| file.moves.iter().any(|m| m.tenant == *tenant));
        self.file = file;
    }

    /// The file that holds.
    pub fn file(&self) -> &CellsFile {
        &self.file
    }

    /// Takes in another version of the file; an error says why it does not hold.
    pub fn replace_file(&mut self, now: Micros, file: CellsFile) -> Result<EngineAssignment, String> {
        if file.version < self.file.version {
            return Err(format!("version {} is older than {}, which holds", file.version, self.file.version));
        }
        if let Some(conflict) = file.conflict(&self.file) {
            return Err(conflict);
        }
        self.set(file);
        Ok(self.reassign(now))
    }

    /// Takes in the list of engines, whole: each with its role and its cell's name.
    pub fn set_engines(
        &mut self,
        now: Micros,
        members: Vec<(Endpoint, Role, Option<CellName>)>,
    ) -> EngineAssignment {
        self.listed |= !members.is_empty();
        self.members = members.into_iter().map(|m| (m.0.engine.clone(), m)).collect();
        let members = &self.members;
        self.engine_health.retain(|e| members.contains_key(e));
        members.values().for_each(|(m, ..)| self.engine_health.set_started(&m.engine, m.started));
        self.reassign(now)
    }

    /// An attempt of a tenant has ended at an engine.
    pub fn record_attempt(
        &mut self,
        now: Micros,
        engine: &EngineId,
        tenant: Option<usize>,
        outcome: Outcome,
        load: Option<&LoadReport>,
    ) {
        self.engine_health.record_attempt(now, engine, tenant, outcome, load);
        let own = self.members.get(engine).and_then(|(.., own)| own.as_ref());
        let cell = self.loans.borrower(engine).or(own);
        if let Some(ladder) = cell.and_then(|c| self.ladders.get_mut(c)) {
            ladder.record_trial(matches!(outcome, Outcome::Served | Outcome::Read));
        }
    }

    /// An engine has answered a probe.
    pub fn record_health_check(&mut self, now: Micros, engine: &EngineId) {
        self.engine_health.record_health_check(now, engine);
    }

    /// A request of a cell has begun to be answered, late or not, or will never be.
    pub fn record_response(&mut self, now: Micros, cell: &CellName, late: bool) {
        self.overload.record_response(now, cell, late);
    }

    /// Where each cell stands.
    pub fn status(&self, now: Micros) -> Vec<CellStatus> {
        let lent =
            |name: &CellName| self.members.keys().filter(|e| self.loans.borrower(e) == Some(name)).count();
        let one = |(name, ladder): (&CellName, &CellHealth)| CellStatus {
            cell: name.clone(),
            level: ladder.level(),
            capacity: ladder.capacity(),
            borrowed: lent(name),
            overloaded: self.overload.is_overloaded(now, name),
            failing: ladder.is_failing(),
        };
        self.ladders.iter().map(one).collect()
    }

    /// How far each move under way has come at this node, as a share of the tenant's sessions.
    pub fn moves(&self, unix_ms: u64) -> Vec<(String, f64)> {
        let come = |m: &crate::Move| self.pace.current_share(&m.tenant).unwrap_or_else(|| m.share(unix_ms));
        self.file.moves.iter().map(|m| (m.tenant.clone(), come(m))).collect()
    }

    /// When time alone may change something.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let climbs = self.ladders.values().any(|l| l.level() != Level::Normal);
        let climb = climbs.then(|| now.saturating_add(1_000_000));
        let uneasy = self.engine_health.needs_tick(now) || self.overload.needs_tick(now);
        let look = uneasy.then(|| now.saturating_add(LOOK_EVERY));
        [self.loans.next_return(), climb, look].into_iter().flatten().min()
    }

    /// Makes loans, takes steps, and says which engines each cell has.
    pub fn reassign(&mut self, now: Micros) -> EngineAssignment {
        let mut spread = EngineAssignment::default();
        if !self.listed {
            return spread;
        }
        self.engine_health.tick(now);
        self.overload.tick(now);
        let known = |cell: &CellName| self.file.cells.iter().any(|c| c.name == *cell);
        // An engine that fails is as good as gone: another may stand in for it, and it for none.
        let serving: Vec<ServingEngine> = self
            .members
            .values()
            .filter(|(m, ..)| m.state == EndpointState::Serving && !self.engine_health.is_failing(&m.engine))
            .map(|(m, role, cell)| ServingEngine {
                engine: m.engine.clone(),
                role: *role,
                cell: cell.clone().filter(&known),
            })
            .collect();
        if self.loans.update(now, &self.file.cells, &serving, |cell| self.overload.requested_pairs(cell)) {
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
            let (mut has, mut weights) = (Composition::default(), Vec::new());
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
                if member.state == EndpointState::Serving {
                    has.add(*role);
                    weights.push((*role, self.engine_health.score(now, &member.engine)));
                }
                members.push(member);
            }
            let Some(ladder) = self.ladders.get_mut(&cell.name) else { continue };
            if ladder.update(now, has.fraction(cell), healthy_fraction(cell, &weights)) {
                let percent = (ladder.capacity() * 100.0).round();
                let fails = if ladder.is_failing() { ", those that are there fail" } else { "" };
                spread.notes.push(format!(
                    "cell {} is {}: {percent}% of its engines{fails}",
                    cell.name,
                    ladder.level().name()
                ));
            }
            spread.cells.insert(cell.name.clone(), members);
        }
        spread
    }

    /// Where a request goes. A place is taken where there is one; [`Cells::give_back`] returns it.
    pub fn admit(&mut self, now: Micros, ask: AdmissionRequest, unix_ms: u64) -> CellAdmission {
        let Some(home) = self.belongs(now, ask, unix_ms) else {
            return CellAdmission::Rejected(None, LOST_MS, "no cell");
        };
        let Some(ladder) = self.ladders.get_mut(&home) else {
            return CellAdmission::Rejected(Some(home), LOST_MS, "no cell");
        };
        ladder.update_admission(now, self.overload.is_overloaded(now, &home));
        let (level, serves, share) = (ladder.level(), ladder.admits(ask.class), ladder.usable_fraction());
        if level == Level::Unavailable {
            let harmless = ask.class.and_then(|c| self.safe.get(c)).copied().unwrap_or(false);
            let room = self.edge.used_slots() < self.places && self.edge.fits_body(&home, ask.bytes);
            if !(harmless && room && ladder.admit_trial(now)) {
                return self.elsewhere(now, &home, ask);
            }
            self.edge.reserve(&home, ask.tenant, ask.bytes);
            return CellAdmission::Into(home);
        }
        if !serves {
            return CellAdmission::Rejected(Some(home), SHED_MS, "shed");
        }
        if !self.edge.fits_body(&home, ask.bytes) {
            return CellAdmission::Rejected(Some(home), SHED_MS, "no room for its body");
        }
        match self.edge.decide(&home, ask.tenant, share) {
            EdgeDecision::Admit => {
                self.edge.reserve(&home, ask.tenant, ask.bytes);
                CellAdmission::Into(home)
            }
            EdgeDecision::Displace(other) => {
                self.edge.reserve(&home, ask.tenant, ask.bytes);
                CellAdmission::InPlaceOf(home, other)
            }
            EdgeDecision::Reject(after) => CellAdmission::Rejected(Some(home), after, "over its part"),
        }
    }

    /// The cell in which a request belongs: by the file, and by how far this node has let a move come.
    fn belongs(&mut self, now: Micros, ask: AdmissionRequest, unix_ms: u64) -> Option<CellName> {
        let Cells { file, pace, ladders, overload, held, .. } = self;
        file.cell_for_share(ask.tenant, ask.session, |one| {
            let level = |c: &CellName| ladders.get(c).map_or(Level::Unavailable, CellHealth::level);
            let worst = |cells: &[CellName]| cells.iter().map(level).max().unwrap_or(Level::Unavailable);
            let full = one.to.iter().any(|c| overload.is_overloaded(now, c));
            // Nobody is kept in a cell that is worse off than the one to which he moves.
            let leaves = worst(&file.home(&one.tenant)) > worst(&one.to);
            let pressed = (full || worst(&one.to) > Level::Normal) && !leaves;
            held.retain(|t| pressed || *t != one.tenant);
            if pressed && !held.contains(&one.tenant) {
                held.push(one.tenant.clone());
            }
            pace.share(one, unix_ms, pressed)
        })
    }

    /// Tenants whose moves this node holds back for now.
    pub fn paused_moves(&self) -> &[String] {
        &self.held
    }

    /// A lost cell's request goes to the cell that stands in, as far as that has room of its own;
    /// what does not fit is refused at home.
    fn elsewhere(&mut self, now: Micros, home: &CellName, ask: AdmissionRequest) -> CellAdmission {
        let lost = CellAdmission::Rejected(Some(home.clone()), LOST_MS, "cell lost");
        let Some(other) = self.file.cell_named(home).and_then(|c| c.fallback.clone()) else { return lost };
        let well = self.ladders.get(&other).is_some_and(|l| l.level() == Level::Normal)
            && !self.overload.is_overloaded(now, &other);
        let usage = self.edge.usage(&other);
        let room = self.edge.fits_body(&other, ask.bytes);
        if !well
            || !room
            || usage.used as f64 >= usage.quota as f64 * STRANGERS
            || self.edge.used_slots() >= self.places
        {
            return lost;
        }
        self.edge.reserve(&other, ask.tenant, ask.bytes);
        CellAdmission::Into(other)
    }

    /// Gives a request's place back.
    pub fn release(&mut self, cell: &CellName, tenant: Option<&str>, bytes: usize) {
        self.edge.release(cell, tenant, bytes);
    }

    /// The tenant that has the most places of a cell.
    pub fn heaviest_tenant(&self, cell: &CellName) -> Option<Option<String>> {
        self.edge.heaviest_tenant(cell)
    }
}
