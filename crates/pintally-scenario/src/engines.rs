//! A day's engines: their figures, and the engines by themselves without nodes, clients or faults.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use pintally::interface::{EndpointState, Role};
use pintally_config::EngineList;
use pintally_mock_engine::{self as standin, EngineSpec, Fleet, Recorder};

use crate::publish::{entry_of, replace};
use crate::run::RunError;
use crate::spec::{EngineGroup, Scenario};

/// The figures of all engines with which a day begins.
pub fn engine_specs(day: &Scenario) -> Vec<EngineSpec> {
    let mut specs = Vec::new();
    // Groups of one kind and cell are numbered on: their engines must not share names.
    let mut named: BTreeMap<(&str, Option<&str>), usize> = BTreeMap::new();
    for group in &day.engines {
        for _ in 0..group.count {
            let next = named.entry((&group.kind, group.cell.as_deref())).or_default();
            let place = *next;
            *next += 1;
            let rack = specs.len() as u64 % day.racks;
            let id = match &group.cell {
                None => format!("{}-{place}", group.kind),
                Some(cell) => format!("{}-{cell}-{place}", group.kind),
            };
            specs.push(spec(day, group, id, rack));
        }
    }
    specs
}

fn spec(day: &Scenario, group: &EngineGroup, id: String, rack: u64) -> EngineSpec {
    let (core, zones) = (&day.settings.core, &day.zones);
    EngineSpec {
        id,
        kind: group.kind.clone(),
        role: match group.role {
            Role::Reader => standin::Role::Reader,
            Role::Writer => standin::Role::Writer,
            Role::Mixed => standin::Role::Mixed,
        },
        // A rack stands in one zone.
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

/// The engines of a day, running by themselves. Nothing is recorded.
pub struct Engines {
    fleet: Arc<Fleet>,
}

impl Engines {
    /// Starts them, warm.
    pub fn start(day: &Scenario) -> Result<Engines, RunError> {
        let fleet = Fleet::new(Recorder::disabled());
        for spec in engine_specs(day) {
            let id = spec.id.clone();
            fleet.add(spec, false).map_err(|e| RunError(format!("{id} cannot listen: {e}")))?;
        }
        Ok(Engines { fleet })
    }

    /// Writes the list of engines for a node to watch.
    pub fn write_list(&self, path: &str) -> io::Result<()> {
        let engines = self.fleet.engines();
        let entries = engines.iter().map(|e| entry_of(e, EndpointState::Serving, None)).collect();
        replace(Path::new(path), &EngineList { version: 1, engines: entries }.render())
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.fleet.engines().len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Ends them.
    pub fn shut_down(&self) {
        self.fleet.shut_down();
    }
}
