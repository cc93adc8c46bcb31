//! Assignment of engines to cells: the engines that belong to a cell, and those that it borrows.

use std::collections::BTreeMap;

use pintally::interface::{Endpoint, EndpointState, Micros, Role};

use crate::cells::{Cells, ListedEngine};
use crate::composition::{healthy_fraction, Composition};
use crate::file::CellSpec;
use crate::loans::ServingEngine;
use crate::CellName;

/// The engines of each cell.
#[derive(Clone, Debug, Default)]
pub struct EngineAssignment {
    /// The engines of each cell, including borrowed ones. The start time of a borrowed engine is not earlier than
    /// the time of the loan.
    pub cells: BTreeMap<CellName, Vec<Endpoint>>,
    /// Log messages about the changes.
    pub notes: Vec<String>,
}

/// The engines of one cell.
#[derive(Default)]
struct CellEngines {
    endpoints: Vec<Endpoint>,
    /// The number of serving engines by role.
    serving: Composition,
    /// The roles and health scores of the serving engines.
    scores: Vec<(Role, f64)>,
}

impl Cells {
    /// Makes and ends loans, updates the service levels of cells, and returns the engines of each cell.
    pub fn reassign(&mut self, now: Micros) -> EngineAssignment {
        let mut assignment = EngineAssignment::default();
        if !self.has_endpoints {
            return assignment;
        }
        self.engine_health.tick(now);
        self.overload.tick(now);
        self.update_loans(now, &mut assignment.notes);
        for cell in &self.file.cells {
            let engines = self.engines_of(now, cell);
            let Some(health) = self.health.get_mut(&cell.name) else { continue };
            let listed = engines.serving.fraction(cell);
            if health.update(now, listed, healthy_fraction(cell, &engines.scores)) {
                let percent = (health.capacity() * 100.0).round();
                let failing = if health.is_failing() { ", the listed engines fail" } else { "" };
                let level = health.level().name();
                assignment.notes.push(format!(
                    "cell {} is {level}: {percent}% of its required engines{failing}",
                    cell.name
                ));
            }
            assignment.cells.insert(cell.name.clone(), engines.endpoints);
        }
        assignment
    }

    fn update_loans(&mut self, now: Micros, notes: &mut Vec<String>) {
        let serving = self.serving_engines();
        let overload = &self.overload;
        let changed =
            self.loans.update(now, &self.file.cells, &serving, |cell| overload.requested_pairs(cell));
        if !changed {
            return;
        }
        for ServingEngine { engine, .. } in &serving {
            match self.loans.borrower(engine) {
                Some(cell) if !self.borrowed_at.contains_key(engine) => {
                    notes.push(format!("engine {} is lent to cell {cell}", engine.0));
                    self.borrowed_at.insert(engine.clone(), now);
                }
                None if self.borrowed_at.contains_key(engine) => {
                    notes.push(format!("engine {} is no longer lent", engine.0));
                    self.borrowed_at.remove(engine);
                }
                _ => {}
            }
        }
        self.borrowed_at.retain(|engine, _| self.loans.borrower(engine).is_some());
    }

    /// The engines that are considered for loans. A failing engine is left out: another engine may replace it, and it
    /// is not lent. An engine whose cell is not in the file is spare.
    fn serving_engines(&self) -> Vec<ServingEngine> {
        let is_known = |cell: &CellName| self.file.cells.iter().any(|known| known.name == *cell);
        self.engines
            .iter()
            .filter(|(_, listed)| listed.endpoint.state == EndpointState::Serving)
            .filter(|(engine, _)| !self.engine_health.is_failing(engine))
            .map(|(engine, listed)| ServingEngine {
                engine: engine.clone(),
                role: listed.role,
                cell: listed.cell.clone().filter(is_known),
            })
            .collect()
    }

    fn engines_of(&self, now: Micros, cell: &CellSpec) -> CellEngines {
        let mut engines = CellEngines::default();
        for (engine, listed) in &self.engines {
            let borrowed = self.loans.borrower(engine) == Some(&cell.name);
            if !borrowed && listed.cell.as_ref() != Some(&cell.name) {
                continue;
            }
            let ListedEngine { endpoint, role, .. } = listed;
            let mut endpoint = endpoint.clone();
            if borrowed {
                // The engine caches no prefixes of this cell, so it goes through slow start like a cold one.
                endpoint.started = endpoint.started.max(self.borrowed_at.get(engine).copied());
            }
            if endpoint.state == EndpointState::Serving {
                engines.serving.add(*role);
                engines.scores.push((*role, self.engine_health.score(now, engine)));
            }
            engines.endpoints.push(endpoint);
        }
        engines
    }
}
