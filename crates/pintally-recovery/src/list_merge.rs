//! Merging two endpoint lists.

use std::collections::BTreeMap;

use pintally::interface::EndpointState;
use pintally_config::{EngineEntry, EngineList};

/// The result of a merge.
#[derive(Clone, Debug, PartialEq)]
pub enum ListMerge {
    /// The current list stays: the other one is older or the same.
    Unchanged,
    /// The other list is newer and replaces the current one.
    Replaced(EngineList),
    /// The lists have the same version and different contents. The merged list undoes no drain of either.
    Merged(EngineList),
}

/// Merges a list from any source into the current one. A newer list replaces an older one.
///
/// Two lists of the same version can differ, for example after the file was restored and written again. Each
/// engine then gets the later of its two states, so that a drain that any node knew of is never undone:
/// requests must not go to a draining engine, while a serving engine may be left without requests.
pub fn merge_endpoint_lists(current: Option<&EngineList>, other: &EngineList) -> ListMerge {
    let Some(current) = current else { return ListMerge::Replaced(other.clone()) };
    if other.version > current.version {
        return ListMerge::Replaced(other.clone());
    }
    if other.version < current.version {
        return ListMerge::Unchanged;
    }
    let merged = EngineList { version: current.version, engines: merge_engines(current, other) };
    if merged.engines == current.engines {
        return ListMerge::Unchanged;
    }
    ListMerge::Merged(merged)
}

/// Merges the engines of both lists by id. An engine in only one of the lists may have been added or removed:
/// it is draining until a newer list shows which.
fn merge_engines(current: &EngineList, other: &EngineList) -> Vec<EngineEntry> {
    let mut engines: BTreeMap<_, EngineEntry> =
        current.engines.iter().map(|entry| (entry.id.clone(), entry.clone())).collect();
    for entry in &other.engines {
        match engines.get_mut(&entry.id) {
            Some(known) => {
                known.state = later_state(known.state, entry.state);
                known.started_unix_ms = known.started_unix_ms.max(entry.started_unix_ms);
            }
            None => {
                let state = later_state(entry.state, EndpointState::Draining);
                engines.insert(entry.id.clone(), EngineEntry { state, ..entry.clone() });
            }
        }
    }
    for entry in &current.engines {
        let is_in_both = other.engines.iter().any(|other| other.id == entry.id);
        if is_in_both {
            continue;
        }
        if let Some(known) = engines.get_mut(&entry.id) {
            known.state = later_state(known.state, EndpointState::Draining);
        }
    }
    engines.into_values().collect()
}

fn later_state(first: EndpointState, second: EndpointState) -> EndpointState {
    let rank = |state: EndpointState| match state {
        EndpointState::Serving => 0,
        EndpointState::Draining => 1,
        EndpointState::Gone => 2,
    };
    if rank(second) > rank(first) {
        second
    } else {
        first
    }
}

#[cfg(test)]
mod tests;
