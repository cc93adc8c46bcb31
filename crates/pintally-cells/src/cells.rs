//! The state of all cells at one node.

use std::collections::BTreeMap;

use pintally::interface::{Endpoint, EngineId, Idempotency, LoadReport, Micros, Outcome, Role, Settings};

use crate::assignment::EngineAssignment;
use crate::cell_health::{CellHealth, ServiceLevel};
use crate::edge::EdgeAdmission;
use crate::engine_health::EngineHealth;
use crate::file::{CellsFile, VersionError};
use crate::loans::Loans;
use crate::move_rate::MoveRateController;
use crate::overload::OverloadTracker;
use crate::CellName;

/// The fraction of the memory for request bodies that is divided over cells. The rest is for requests that are still
/// being received, whose cell is not known yet.
const DIVIDED_BODY_FRACTION: f64 = 0.75;

/// Time between two reassignments while a cell is below the normal level, in microseconds.
const RECOVERY_INTERVAL_MICROS: Micros = 1_000_000;

/// Time between two reassignments while an engine or a cell has recent failures, in microseconds.
const OBSERVATION_INTERVAL_MICROS: Micros = 250_000;

/// The state of one cell.
#[derive(Clone, Debug, PartialEq)]
pub struct CellStatus {
    /// The cell.
    pub cell: CellName,
    /// Its level of service.
    pub level: ServiceLevel,
    /// The fraction of the needed engines that it has.
    pub capacity: f64,
    /// How many engines it has borrowed.
    pub borrowed: usize,
    /// Whether too many of its responses begin late, or never.
    pub overloaded: bool,
    /// Whether it is unavailable because its listed engines fail.
    pub failing: bool,
}

/// An engine of the endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct ListedEngine {
    pub(crate) endpoint: Endpoint,
    pub(crate) role: Role,
    /// The cell that it belongs to; `None` if it is spare.
    pub(crate) cell: Option<CellName>,
}

/// All cells of the fleet, with the state that one node keeps of them.
pub struct Cells {
    pub(crate) file: CellsFile,
    pub(crate) edge: EdgeAdmission,
    /// The node's slots for open requests.
    pub(crate) slots: usize,
    /// Bytes for request bodies that are divided over cells.
    body_capacity: usize,
    /// Priority weights by the index of the class.
    priority_weights: Vec<f64>,
    /// Whether requests of a class are idempotent, by the index of the class.
    pub(crate) idempotent: Vec<bool>,
    pub(crate) engine_health: EngineHealth,
    pub(crate) overload: OverloadTracker,
    pub(crate) move_rate: MoveRateController,
    /// Tenants whose moves this node has paused.
    pub(crate) paused_moves: Vec<String>,
    pub(crate) health: BTreeMap<CellName, CellHealth>,
    pub(crate) loans: Loans,
    /// Whether an endpoint list with engines has been received. A node that starts knows the cells before their
    /// engines; without this flag it would regard all cells as unavailable, and then recover for many seconds
    /// although no engine was lost.
    pub(crate) has_endpoints: bool,
    pub(crate) engines: BTreeMap<EngineId, ListedEngine>,
    /// When each loan was made.
    pub(crate) borrowed_at: BTreeMap<EngineId, Micros>,
}

impl Cells {
    /// The cells at a node with `slots` for open requests and `body_capacity` bytes for their bodies.
    pub fn new(file: CellsFile, slots: usize, body_capacity: usize, core: &Settings) -> Cells {
        let mut cells = Cells {
            file: CellsFile::default(),
            edge: EdgeAdmission::default(),
            slots,
            body_capacity: (body_capacity as f64 * DIVIDED_BODY_FRACTION) as usize,
            priority_weights: core.classes.iter().map(|class| class.priority_weight).collect(),
            idempotent: core
                .classes
                .iter()
                .map(|class| class.idempotency == Idempotency::Idempotent)
                .collect(),
            engine_health: EngineHealth::default(),
            overload: OverloadTracker::default(),
            move_rate: MoveRateController::default(),
            paused_moves: Vec::new(),
            health: BTreeMap::new(),
            loans: Loans::default(),
            has_endpoints: false,
            engines: BTreeMap::new(),
            borrowed_at: BTreeMap::new(),
        };
        cells.set_file(file);
        cells
    }

    /// Puts a cells file in force: divides the node's slots and body capacity over its cells, and drops the state of
    /// cells and moves that it does not list.
    fn set_file(&mut self, file: CellsFile) {
        let weights = file.cells.iter().map(|cell| (&cell.name, cell.weight));
        self.edge.divide(self.slots, self.body_capacity, weights);
        for cell in &file.cells {
            let priority_weights = self.priority_weights.iter().copied();
            self.health.entry(cell.name.clone()).or_insert_with(|| CellHealth::new(priority_weights));
        }
        let is_known = |name: &CellName| file.cells.iter().any(|cell| cell.name == *name);
        let is_moving = |tenant: &str| file.moves.iter().any(|tenant_move| tenant_move.tenant == tenant);
        self.health.retain(|name, _| is_known(name));
        self.overload.retain(is_known);
        self.move_rate.retain(is_moving);
        self.paused_moves.retain(|tenant| is_moving(tenant));
        self.file = file;
    }

    /// The cells file in force.
    pub fn file(&self) -> &CellsFile {
        &self.file
    }

    /// Replaces the cells file by another version and returns the new assignment of engines.
    ///
    /// # Errors
    ///
    /// [`VersionError`] if the version is older than the one in force, or may not follow it.
    pub fn replace_file(&mut self, now: Micros, file: CellsFile) -> Result<EngineAssignment, VersionError> {
        if file.version < self.file.version {
            return Err(VersionError::Older { version: file.version, current: self.file.version });
        }
        file.check_follows(&self.file)?;
        self.set_file(file);
        Ok(self.reassign(now))
    }

    /// Replaces the endpoint list (each engine with its role and the cell that it belongs to, if any) and returns the
    /// new assignment of engines.
    pub fn set_engines(
        &mut self,
        now: Micros,
        engines: Vec<(Endpoint, Role, Option<CellName>)>,
    ) -> EngineAssignment {
        self.has_endpoints |= !engines.is_empty();
        self.engines = engines
            .into_iter()
            .map(|(endpoint, role, cell)| (endpoint.engine.clone(), ListedEngine { endpoint, role, cell }))
            .collect();
        let engines = &self.engines;
        self.engine_health.retain(|engine| engines.contains_key(engine));
        for (engine, listed) in engines {
            self.engine_health.set_started(engine, listed.endpoint.started);
        }
        self.reassign(now)
    }

    /// Records the outcome of a tenant's attempt at an engine, and the load report that came with it.
    pub fn record_attempt(
        &mut self,
        now: Micros,
        engine: &EngineId,
        tenant: Option<usize>,
        outcome: Outcome,
        load: Option<&LoadReport>,
    ) {
        self.engine_health.record_attempt(now, engine, tenant, outcome, load);
        let own_cell = self.engines.get(engine).and_then(|listed| listed.cell.as_ref());
        let cell = self.loans.borrower(engine).or(own_cell);
        if let Some(health) = cell.and_then(|cell| self.health.get_mut(cell)) {
            health.record_trial(matches!(outcome, Outcome::Served | Outcome::Read));
        }
    }

    /// Records a successful health check of an engine.
    pub fn record_health_check(&mut self, now: Micros, engine: &EngineId) {
        self.engine_health.record_health_check(now, engine);
    }

    /// Records whether the response to a request of a cell began late; a response that never begins counts as late.
    pub fn record_response(&mut self, now: Micros, cell: &CellName, late: bool) {
        self.overload.record_response(now, cell, late);
    }

    /// The state of each cell.
    pub fn status(&self, now: Micros) -> Vec<CellStatus> {
        let borrowed_count = |name: &CellName| {
            self.engines.keys().filter(|engine| self.loans.borrower(engine) == Some(name)).count()
        };
        let status = |(name, health): (&CellName, &CellHealth)| CellStatus {
            cell: name.clone(),
            level: health.level(),
            capacity: health.capacity(),
            borrowed: borrowed_count(name),
            overloaded: self.overload.is_overloaded(now, name),
            failing: health.is_failing(),
        };
        self.health.iter().map(status).collect()
    }

    /// Each tenant with a move, and the share of its sessions that have moved at this node.
    pub fn moves(&self, unix_ms: u64) -> Vec<(String, f64)> {
        let share = |tenant_move: &crate::TenantMove| {
            let current = self.move_rate.current_share(&tenant_move.tenant);
            current.unwrap_or_else(|| tenant_move.moved_share(unix_ms))
        };
        self.file.moves.iter().map(|tenant_move| (tenant_move.tenant.clone(), share(tenant_move))).collect()
    }

    /// When [`Cells::reassign`] must be called next, even if neither the cells file nor the engines change until then;
    /// `None` if it need not be.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let is_recovering = self.health.values().any(|health| health.level() != ServiceLevel::Normal);
        let recovery = is_recovering.then(|| now.saturating_add(RECOVERY_INTERVAL_MICROS));
        let needs_tick = self.engine_health.needs_tick(now) || self.overload.needs_tick(now);
        let observation = needs_tick.then(|| now.saturating_add(OBSERVATION_INTERVAL_MICROS));
        [self.loans.next_return(), recovery, observation].into_iter().flatten().min()
    }
}
