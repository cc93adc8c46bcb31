//! Applies endpoint lists and cells files, and announces to each core its engines.

use std::collections::HashSet;

use pintally::interface::{Endpoint, EngineId, Event, ListUpdate, Role};
use pintally_cells::{CellName, CellsFile, EngineAssignment};

use super::Host;
use crate::cell_routing::{CellsUpdate, ListedEndpoint};
use crate::command::Command;
use crate::input::EngineEndpoint;

/// The cells whose cores are notified of an assignment of engines.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NotifiedCells {
    All,
    /// Those whose engines, or the start times of these, differ from the previous assignment.
    Changed,
}

impl Host {
    pub(super) fn on_endpoint_list(
        &mut self,
        update: ListUpdate,
        endpoints: Vec<EngineEndpoint>,
        out: &mut Vec<Command>,
    ) {
        self.update_endpoints(update, endpoints, out);
        if let Some(outliers) = &mut self.outliers {
            outliers.set_endpoints(self.endpoints.endpoints());
        }
        self.report_endpoints_to_recovery(out);
        self.release_orphaned(out);
    }

    pub(super) fn on_endpoint_list_confirmed(&mut self, out: &mut Vec<Command>) {
        if self.endpoints.confirm() {
            self.report_endpoints_to_recovery(out);
            self.release_orphaned(out);
        }
    }

    pub(super) fn on_cells_file(&mut self, file: CellsFile, out: &mut Vec<Command>) {
        let version = file.version;
        match self.cells.update(self.now, file, &self.settings) {
            CellsUpdate::Loaded => self.assign_to_cells(out),
            CellsUpdate::Replaced(assignment) => {
                self.announce_assignment(assignment, NotifiedCells::All, out);
            }
            CellsUpdate::Invalid(reason) => {
                out.push(Command::Log(format!("cells file rejected: version={version} reason={reason}")));
            }
        }
    }

    pub(super) fn on_cell_timer(&mut self, out: &mut Vec<Command>) {
        if let Some(assignment) = self.cells.timer_expired(self.now) {
            self.announce_assignment(assignment, NotifiedCells::Changed, out);
        }
    }

    /// Updates the directory of engines and notifies the cores.
    pub(super) fn update_endpoints(
        &mut self,
        update: ListUpdate,
        mut endpoints: Vec<EngineEndpoint>,
        out: &mut Vec<Command>,
    ) {
        self.has_fleet_changed = true;
        if update == ListUpdate::Full {
            self.endpoints.begin_full_list();
        }
        for listed in &mut endpoints {
            if let Some(recovery) = &self.recovery {
                listed.endpoint.started = recovery.effective_start(listed.endpoint.started);
            }
            if let Err(unknown_kind) = self.endpoints.register(listed, &self.settings) {
                out.push(Command::Log(unknown_kind.to_string()));
            }
        }
        if !self.cells.has_cells_file() {
            self.announce_endpoints(update, endpoints, out);
        } else if update != ListUpdate::Failed {
            self.assign_to_cells(out);
        }
        self.forget_gone_engines();
    }

    /// Removes engines that have left the list and are no longer in use. Until then they may still run, with
    /// attempts and reservations of this node.
    fn forget_gone_engines(&mut self) {
        if !self.endpoints.has_gone_engines() {
            return;
        }
        let in_use = self.engines_in_use();
        self.endpoints.forget_gone(&in_use);
        let endpoints = &self.endpoints;
        self.release_scheduler.retain_engines(|engine| endpoints.contains(engine));
    }

    /// Engines with attempts, reservations or pending releases.
    fn engines_in_use(&self) -> HashSet<EngineId> {
        let records = || self.requests.iter().map(|(_, record)| record);
        let in_flight = records().filter_map(|record| record.in_flight.as_ref()).map(|a| &a.engine);
        let reserved =
            records().flat_map(|record| record.reservations.iter()).map(|reservation| &reservation.engine);
        in_flight.chain(reserved).chain(self.release_retries.engines()).cloned().collect()
    }

    /// Announces endpoints if there is no cells file: to the core of each zone if there are zones, otherwise to the
    /// only core.
    fn announce_endpoints(
        &mut self,
        update: ListUpdate,
        endpoints: Vec<EngineEndpoint>,
        out: &mut Vec<Command>,
    ) {
        let with_ejection = |listed: EngineEndpoint| match &self.outliers {
            Some(outliers) => outliers.apply_ejection(listed.endpoint),
            None => listed.endpoint,
        };
        let endpoints: Vec<Endpoint> = endpoints.into_iter().map(with_ejection).collect();
        if self.zones.is_some() {
            return self.announce_to_zones(update, &endpoints, out);
        }
        let only_cell = CellName::default();
        self.cores.ensure(&only_cell);
        self.handle_event(&only_cell, Event::EndpointList(update, endpoints), out);
    }

    fn announce_to_zones(&mut self, update: ListUpdate, endpoints: &[Endpoint], out: &mut Vec<Command>) {
        let Some(zones) = &mut self.zones else { return };
        let assignment = zones.assign(update, endpoints);
        for Endpoint { engine, zone, .. } in &assignment.unassigned {
            let engine = &engine.0;
            out.push(Command::Log(format!(
                "endpoint ignored: engine={engine} reason=unknown_zone zone={zone}"
            )));
        }
        for (cell, endpoints) in assignment.zones {
            self.cores.ensure(&cell);
            if update != ListUpdate::Delta || !endpoints.is_empty() {
                self.handle_event(&cell, Event::EndpointList(update, endpoints), out);
            }
        }
    }

    fn assign_to_cells(&mut self, out: &mut Vec<Command>) {
        let listed = |listed: &EngineEndpoint| -> ListedEndpoint {
            let known = self.endpoints.get(&listed.endpoint.engine);
            let role = known.map_or(Role::Reader, |known| known.role);
            (listed.endpoint.clone(), role, listed.cell.clone())
        };
        let endpoints = self.endpoints.endpoints().map(listed).collect();
        if let Some(assignment) = self.cells.assign(self.now, endpoints) {
            self.announce_assignment(assignment, NotifiedCells::All, out);
        }
    }

    /// Announces to the cells' cores their engines. The core of a removed cell gets none and completes its open
    /// requests.
    fn announce_assignment(
        &mut self,
        assignment: EngineAssignment,
        notified: NotifiedCells,
        out: &mut Vec<Command>,
    ) {
        self.has_fleet_changed = true;
        out.extend(assignment.notes.into_iter().map(Command::Log));
        for cell in assignment.cells.keys() {
            self.cores.ensure(cell);
        }
        for cell in self.cores.cells() {
            let endpoints = assignment.cells.get(&cell).cloned().unwrap_or_default();
            let has_changed = self.cells.record_announcement(&cell, &endpoints);
            if has_changed || notified == NotifiedCells::All {
                self.handle_event(&cell, Event::EndpointList(ListUpdate::Full, endpoints), out);
            }
        }
        self.cells.update_timer(self.now, &mut self.timers);
    }
}
