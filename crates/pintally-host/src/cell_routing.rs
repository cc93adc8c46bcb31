//! Routing between cells: assigns engines to cells and selects the cell that admits a request.

use std::collections::BTreeMap;

use pintally::interface::{Endpoint, EngineId, LoadReport, Micros, Outcome, Role};
use pintally_cells::{
    AdmissionRequest, CellAdmission, CellName, CellStatus, Cells, CellsFile, EngineAssignment,
};
use pintally_config::NodeSettings;

use crate::timers::{TimerEvent, TimerKey, Timers};

/// An endpoint, its role and the cell that the endpoint list assigns it to.
pub(crate) type ListedEndpoint = (Endpoint, Role, Option<CellName>);

/// The effect of a new version of the cells file.
pub(crate) enum CellsUpdate {
    /// It is the first version: the endpoints have to be assigned to cells.
    Loaded,
    /// It replaces another version.
    Replaced(EngineAssignment),
    /// It is invalid; the version in force remains.
    Invalid(String),
}

/// The cells of the node. Without a cells file there is one unnamed cell with all engines.
pub(crate) struct CellRouting {
    has_cells_file: bool,
    cells: Option<Cells>,
    /// The engines last announced to each cell's core, with their start times. Without a new list or cells file,
    /// nothing else of an announcement changes over time.
    announced: BTreeMap<CellName, Vec<(EngineId, Option<Micros>)>>,
    /// A fault was recorded since the timer was last set.
    fault_recorded: bool,
    timer: Option<TimerKey>,
}

impl CellRouting {
    /// Creates the routing that the settings define, before any version of the cells file is loaded.
    pub(crate) fn new(settings: &NodeSettings) -> CellRouting {
        CellRouting {
            has_cells_file: settings.cells_file.is_some(),
            cells: None,
            announced: BTreeMap::new(),
            fault_recorded: false,
            timer: None,
        }
    }

    /// Whether the settings name a cells file.
    pub(crate) fn has_cells_file(&self) -> bool {
        self.has_cells_file
    }

    /// Whether a version of the cells file is loaded.
    pub(crate) fn is_loaded(&self) -> bool {
        self.cells.is_some()
    }

    /// The status of each cell.
    pub(crate) fn status(&self, now: Micros) -> Vec<CellStatus> {
        self.cells.as_ref().map(|cells| cells.status(now)).unwrap_or_default()
    }

    /// Tenants that migrate, the share of their sessions that this node has migrated, and whether the migration
    /// of the others is paused.
    pub(crate) fn migrations(&self, unix_ms: u64) -> Vec<(String, f64, bool)> {
        let Some(cells) = &self.cells else { return Vec::new() };
        let status = |(tenant, share)| {
            let is_paused = cells.paused_moves().contains(&tenant);
            (tenant, share, is_paused)
        };
        cells.moves(unix_ms).into_iter().map(status).collect()
    }

    /// Loads a version of the cells file.
    pub(crate) fn update(&mut self, now: Micros, file: CellsFile, settings: &NodeSettings) -> CellsUpdate {
        let Some(cells) = &mut self.cells else {
            let limits = &settings.limits;
            let (max_requests, max_bytes) = (limits.max_open_requests, limits.max_total_body_bytes);
            self.cells = Some(Cells::new(file, max_requests, max_bytes, &settings.core));
            return CellsUpdate::Loaded;
        };
        match cells.replace_file(now, file) {
            Ok(assignment) => CellsUpdate::Replaced(assignment),
            Err(reason) => CellsUpdate::Invalid(reason.to_string()),
        }
    }

    /// Assigns the listed endpoints to cells, if a cells file is loaded.
    pub(crate) fn assign(&mut self, now: Micros, endpoints: Vec<ListedEndpoint>) -> Option<EngineAssignment> {
        self.cells.as_mut().map(|cells| cells.set_engines(now, endpoints))
    }

    /// Handles the expiry of the timer and returns the new assignment.
    pub(crate) fn timer_expired(&mut self, now: Micros) -> Option<EngineAssignment> {
        self.timer = None;
        self.cells.as_mut().map(|cells| cells.reassign(now))
    }

    /// Records the endpoints announced to a cell's core. Returns whether they differ from those announced before.
    pub(crate) fn record_announcement(&mut self, cell: &CellName, endpoints: &[Endpoint]) -> bool {
        let announced: Vec<_> = endpoints.iter().map(|e| (e.engine.clone(), e.started)).collect();
        let has_changed = self.announced.get(cell) != Some(&announced);
        self.announced.insert(cell.clone(), announced);
        has_changed
    }

    /// Sets the timer to the next time at which the assignment may change without an input.
    pub(crate) fn update_timer(&mut self, now: Micros, timers: &mut Timers) {
        let Some(at) = self.cells.as_ref().and_then(|cells| cells.next_change(now)) else { return };
        let at = at.max(now + 1);
        if self.timer.is_some_and(|timer| timer.at() <= at) {
            return;
        }
        self.timer = Some(timers.replace(self.timer, at, TimerEvent::CellAssignment));
    }

    /// Updates the timer as [`Self::update_timer`] does if a fault was recorded since the last call.
    pub(crate) fn update_timer_after_fault(&mut self, now: Micros, timers: &mut Timers) {
        if std::mem::take(&mut self.fault_recorded) {
            self.update_timer(now, timers);
        }
    }

    /// Requests admission of a request; `None` if no cells file is loaded.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        request: AdmissionRequest<'_>,
        unix_ms: u64,
    ) -> Option<CellAdmission> {
        self.cells.as_mut().map(|cells| cells.admit(now, request, unix_ms))
    }

    /// Releases the capacity of a request that has ended.
    pub(crate) fn release(&mut self, cell: &CellName, tenant: Option<&str>, body_bytes: usize) {
        if let Some(cells) = &mut self.cells {
            cells.release(cell, tenant, body_bytes);
        }
    }

    /// The tenant with the most open requests in a cell, where `Some(None)` stands for requests without a tenant.
    /// `None` if the cell has no open requests.
    pub(crate) fn heaviest_tenant(&self, cell: &CellName) -> Option<Option<String>> {
        self.cells.as_ref().and_then(|cells| cells.heaviest_tenant(cell))
    }

    /// Records whether the answer of a request began within its latency objective.
    pub(crate) fn record_latency(&mut self, now: Micros, cell: &CellName, is_late: bool) {
        if let Some(cells) = &mut self.cells {
            cells.record_response(now, cell, is_late);
            self.fault_recorded |= is_late;
        }
    }

    /// Records the outcome of an attempt.
    pub(crate) fn record_outcome(
        &mut self,
        now: Micros,
        engine: &EngineId,
        tenant: Option<usize>,
        outcome: Outcome,
        load: Option<&LoadReport>,
    ) {
        if let Some(cells) = &mut self.cells {
            cells.record_attempt(now, engine, tenant, outcome, load);
            self.fault_recorded |= !matches!(outcome, Outcome::Served | Outcome::Read);
        }
    }

    /// Records that an engine has answered a health check.
    pub(crate) fn record_health_check(&mut self, now: Micros, engine: &EngineId) {
        if let Some(cells) = &mut self.cells {
            cells.record_health_check(now, engine);
        }
    }
}
