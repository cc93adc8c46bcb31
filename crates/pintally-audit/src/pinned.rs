//! Nothing is left pinned: a read state is taken or let go while its node lives.
//!
//! The clock of a state runs while no attempt of its request is at any engine and its own engine can
//! hear. A message to let go counts when it comes to the engine, heard or not.

use std::collections::BTreeMap;

use crate::index::Index;
use crate::record::AuditEvent;

type Span = (u64, u64);

pub(crate) fn check(index: &Index) -> Vec<String> {
    let mut deaf: BTreeMap<&str, Vec<Span>> = BTreeMap::new();
    let mut ends: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut records: Vec<_> = index.record.iter().collect();
    records.sort_by_key(|r| r.at);
    for r in &records {
        match &r.event {
            AuditEvent::EngineUnreachable { engine, unreachable: true } => {
                deaf.entry(engine).or_default().push((r.at, index.end))
            }
            AuditEvent::EngineUnreachable { engine, unreachable: false } => {
                if let Some(last) = deaf.get_mut(engine.as_str()).and_then(|d| d.last_mut()) {
                    last.1 = r.at;
                }
            }
            AuditEvent::ReleaseArrived { engine, state } | AuditEvent::StateFreed { engine, state, .. } => {
                ends.entry((engine, state)).or_insert(r.at);
            }
            _ => {}
        }
    }
    let within = index.figures.release_within_us;
    let mut found = Vec::new();
    for r in &records {
        let AuditEvent::StateHeld { engine, node, request, state } = &r.event else { continue };
        let end = ends.get(&(engine.as_str(), state.as_str())).copied().unwrap_or(index.end);
        // What was read for a node that was killed meanwhile is no longer that node's duty: the time
        // counts from the read's beginning, as it may end just behind the kill.
        let works = index.by_request.get(request.as_str()).into_iter().flatten().map(|i| &index.works[*i]);
        let begun = works.filter(|w| w.attempt == state).map(|w| w.at).min().unwrap_or(r.at);
        if index.went_down(node, begun, end) {
            continue;
        }
        let mut spans: Vec<Span> = deaf.get(engine.as_str()).cloned().unwrap_or_default();
        let works = index.by_request.get(request.as_str()).into_iter().flatten().map(|i| &index.works[*i]);
        spans.extend(works.map(|w| (w.at, w.done.unwrap_or(index.end))));
        let idle = uncovered(r.at, end, &mut spans);
        if idle > within + index.slack(r.at, end) + index.stood(node, r.at, end) {
            found.push(format!("state {state} was pinned at {engine} for {} ms by {node}", idle / 1000));
        }
    }
    found
}

/// The longest time between two times that no span covers.
fn uncovered(from: u64, to: u64, spans: &mut [Span]) -> u64 {
    spans.sort_unstable();
    let (mut at, mut longest) = (from, 0);
    for (begin, end) in spans.iter() {
        longest = longest.max((*begin).min(to).saturating_sub(at));
        at = at.max(*end);
    }
    longest.max(to.saturating_sub(at))
}
