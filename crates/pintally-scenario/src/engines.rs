//! The mock engines of a scenario: their settings, and running them alone, without nodes, clients or faults.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use pintally::interface::{EndpointState, Role};
use pintally_config::EngineList;
use pintally_mock_engine::{self as mock_engine, EngineSpec, Fleet, Recorder};

use crate::file_writer::FileReplacement;
use crate::publish::entry_of;
use crate::run::RunError;
use crate::spec::{EngineGroup, Scenario};

/// Settings of all engines that a scenario starts with.
pub fn engine_specs(scenario: &Scenario) -> Vec<EngineSpec> {
    let mut specs = Vec::new();
    // Numbering continues across groups of the same kind and cell, so that engine ids are unique.
    let mut next_numbers: BTreeMap<(&str, Option<&str>), usize> = BTreeMap::new();
    for group in &scenario.engines {
        for _ in 0..group.count {
            let next = next_numbers.entry((&group.kind, group.cell.as_deref())).or_default();
            let number = *next;
            *next += 1;
            let rack = specs.len() as u64 % scenario.racks;
            let id = match &group.cell {
                None => format!("{}-{number}", group.kind),
                Some(cell) => format!("{}-{cell}-{number}", group.kind),
            };
            specs.push(spec(scenario, group, id, rack));
        }
    }
    specs
}

fn spec(scenario: &Scenario, group: &EngineGroup, id: String, rack: u64) -> EngineSpec {
    let (core, zones) = (&scenario.settings.core, &scenario.zones);
    EngineSpec {
        id,
        kind: group.kind.clone(),
        role: match group.role {
            Role::Reader => mock_engine::Role::Reader,
            Role::Writer => mock_engine::Role::Writer,
            Role::Mixed => mock_engine::Role::Mixed,
        },
        // Each rack lies in one zone.
        zone: zones[rack as usize % zones.len()].clone(),
        rack,
        cell: group.cell.clone(),
        slots: group.slots,
        queue: group.queue,
        memory_tokens: group.memory_tokens,
        read_tokens_per_s: group.read_tokens_per_s,
        token_gap: group.token_gap,
        link_tokens_per_s: group.link_tokens_per_s,
        initial_capacity: core.slow_start_min_capacity,
        warm_up: Duration::from_micros(core.slow_start_duration),
        overload_factor: core.overload_factor,
        overload_window: Duration::from_micros(core.overload_window),
        report_interval: group.report_interval,
        state_ttl: Duration::from_secs(60),
    }
}

/// The engines of a scenario, running alone. Nothing is recorded.
pub struct Engines {
    fleet: Arc<Fleet>,
}

impl Engines {
    /// Starts all engines warm.
    pub fn start(scenario: &Scenario) -> Result<Engines, RunError> {
        let fleet = Fleet::new(Recorder::disabled());
        for spec in engine_specs(scenario) {
            let id = spec.id.clone();
            fleet.add(spec, false).map_err(|e| RunError(format!("{id} cannot listen: {e}")))?;
        }
        Ok(Engines { fleet })
    }

    /// Writes the endpoint list, as a node watches it.
    pub fn write_list(&self, path: &str) -> io::Result<()> {
        let engines = self.fleet.engines();
        let entries = engines.iter().map(|e| entry_of(e, EndpointState::Serving, None)).collect();
        let text = EngineList { version: 1, engines: entries }.render();
        FileReplacement { file: path.into(), text, events: Vec::new() }.write(&self.fleet.recorder)
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.fleet.engines().len()
    }

    /// Whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Stops all engines.
    pub fn shut_down(&self) {
        self.fleet.shut_down();
    }
}
