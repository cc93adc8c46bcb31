//! The rule that no read state stays pinned: each is fetched or released in time unless its node was killed or
//! received SIGTERM.
//!
//! Time counts for a state while no attempt of its request is at any engine and while its own engine
//! receives messages. A release counts when it arrives at the engine or at its network, even if the engine
//! does not receive it.

use std::collections::BTreeMap;

use crate::index::Index;
use crate::record::AuditEvent;

type Span = (u64, u64);

pub(crate) fn check(index: &Index) -> Vec<String> {
    let mut unreachable: BTreeMap<&str, Vec<Span>> = BTreeMap::new();
    let mut state_ends: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut records: Vec<_> = index.record.iter().collect();
    records.sort_by_key(|r| r.at);
    for r in &records {
        match &r.event {
            AuditEvent::EngineUnreachable { engine, unreachable: true } => {
                unreachable.entry(engine).or_default().push((r.at, index.end_us));
            }
            AuditEvent::EngineUnreachable { engine, unreachable: false } => {
                if let Some(last) = unreachable.get_mut(engine.as_str()).and_then(|d| d.last_mut()) {
                    last.1 = r.at;
                }
            }
            AuditEvent::ReleaseArrived { engine, state } | AuditEvent::StateFreed { engine, state, .. } => {
                state_ends.entry((engine, state)).or_insert(r.at);
            }
            _ => {}
        }
    }
    let within_us = index.parameters.release_within_us;
    let mut found = Vec::new();
    for r in &records {
        let AuditEvent::StateHeld { engine, node, request, state } = &r.event else { continue };
        let end = state_ends.get(&(engine.as_str(), state.as_str())).copied().unwrap_or(index.end_us);
        // A node that was killed or received SIGTERM need not release its states. The interval begins with the start of the read,
        // as the read may end just after the node was killed.
        let attempts = index
            .attempts_by_request
            .get(request.as_str())
            .into_iter()
            .flatten()
            .map(|i| &index.attempts[*i]);
        let read_start = attempts.filter(|a| a.name == state).map(|a| a.at).min().unwrap_or(r.at);
        if index.went_down(node, read_start, end) {
            continue;
        }
        let mut spans: Vec<Span> = unreachable.get(engine.as_str()).cloned().unwrap_or_default();
        let attempts = index
            .attempts_by_request
            .get(request.as_str())
            .into_iter()
            .flatten()
            .map(|i| &index.attempts[*i]);
        spans.extend(attempts.map(|a| (a.at, a.done.unwrap_or(index.end_us))));
        let idle_us = longest_gap(r.at, end, &mut spans);
        if idle_us > within_us + index.slack_us(r.at, end) + index.paused_us(node, r.at, end) {
            found.push(format!("state {state} was pinned at {engine} for {} ms by {node}", idle_us / 1000));
        }
    }
    found
}

/// The longest interval between `from` and `to` that no span covers.
fn longest_gap(from: u64, to: u64, spans: &mut [Span]) -> u64 {
    spans.sort_unstable();
    let (mut at, mut longest) = (from, 0);
    for (begin, end) in spans.iter() {
        longest = longest.max((*begin).min(to).saturating_sub(at));
        at = at.max(*end);
    }
    longest.max(to.saturating_sub(at))
}
