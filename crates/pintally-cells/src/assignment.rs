//! Assignment of engines to cells: their own and borrowed ones.

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
    /// The engines of each cell, borrowed ones among them. A borrowed engine counts as started when it was
    /// borrowed.
    pub cells: BTreeMap<CellName, Vec<Endpoint>>,
    /// Changes for the log.
    pub notes: Vec<String>,
}

/// The engines of one cell.
#[derive(Default)]
struct CellEngines {
    endpoints: Vec<Endpoint>,
    /// Engines that serve, by role.
    serving: Composition,
    /// The health scores of engines that serve.
    scores: Vec<(Role, f64)>,
}

impl Cells {
    /// Makes and ends loans, updates the levels of cells, and returns the engines of each cell.
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
                let fails = if health.is_failing() { ", those that are there fail" } else { "" };
                let level = health.level().name();
                assignment
                    .notes
                    .push(format!("cell {} is {level}: {percent}% of its engines{fails}", cell.name));
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
                    notes.push(format!("engine {} is given back", engine.0));
                    self.borrowed_at.remove(engine);
                }
                _ => {}
            }
        }
        self.borrowed_at.retain(|engine, _| self.loans.borrower(engine).is_some());
    }

    /// The engines that count for loans. A failing engine counts as gone: another may replace it, and it replaces
    /// none. An engine of a cell that the file does not know is spare.
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
                // It caches no prefix of this cell: it starts slowly as a cold engine does.
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
