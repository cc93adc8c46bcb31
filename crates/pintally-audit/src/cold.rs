//! A cold engine is not pushed over by nodes that were notified of its start.

use std::collections::BTreeMap;

use crate::index::Index;
use crate::record::AuditEvent;

/// The share of the work that has to come from nodes that knew.
const SHARE: f64 = 2.0 / 3.0;

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
                let since = started.get(engine.as_str()).copied().unwrap_or(0);
                let all: f64 = work.iter().map(|w| w.1).sum();
                let knew = |node: &str| notified.get(&(node, engine)).is_some_and(|at| *at >= since);
                let known: f64 = work.iter().filter(|w| knew(&w.0)).map(|w| w.1).sum();
                if known >= SHARE * all {
                    found.push(format!("{engine} was pushed over while cold by nodes that knew"));
                }
            }
            _ => {}
        }
    }
    found
}
