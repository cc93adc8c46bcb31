//! The rule that nodes that were notified of an engine's start do not overload it while it is cold.

use std::collections::BTreeMap;

use crate::index::Index;
use crate::record::AuditEvent;

/// The rule is broken if nodes that knew of the start sent at least this share of the work.
const INFORMED_SHARE: f64 = 2.0 / 3.0;

pub(crate) fn check(index: &Index) -> Vec<String> {
    let mut records: Vec<_> = index.record.iter().collect();
    records.sort_by_key(|r| r.at);
    let mut found = Vec::new();
    let mut started: BTreeMap<&str, u64> = BTreeMap::new();
    let mut notified: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for r in records {
        match &r.event {
            AuditEvent::EngineStarted { engine } => {
                started.insert(engine, r.at);
            }
            AuditEvent::EngineListed { node, engine, started: true, .. } => {
                notified.insert((node, engine), r.at);
            }
            AuditEvent::EngineOverloaded { engine, work } => {
                let started_at = started.get(engine.as_str()).copied().unwrap_or(0);
                let total: f64 = work.iter().map(|w| w.1).sum();
                let is_informed =
                    |node: &str| notified.get(&(node, engine)).is_some_and(|at| *at >= started_at);
                let informed: f64 = work.iter().filter(|w| is_informed(&w.0)).map(|w| w.1).sum();
                if informed >= INFORMED_SHARE * total {
                    found.push(format!("{engine} was pushed over while cold by nodes that knew"));
                }
            }
            _ => {}
        }
    }
    found
}
