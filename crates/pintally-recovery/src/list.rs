//! Two lists of engines: which holds.

use std::collections::BTreeMap;

use pintally::interface::EndpointState;
use pintally_config::{EngineEntry, EngineList};

/// What came of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ListMerge {
    /// What was held holds: the claim is older, or the same.
    Kept,
    /// The claim is newer and holds from here on.
    Took(EngineList),
    /// Both have one version and say different things: no drain of either is undone.
    United(EngineList),
}

/// A newer list wins over an older one, wherever it was. Two texts of one version contradict each other,
/// as after a file that was restored and written again: then each engine is what the graver of them
/// says, since a drain that any node knew is never undone, and work sent to a draining engine breaks a
/// rule where work kept from a sound one does not.
pub fn merge(held: Option<&EngineList>, claim: &EngineList) -> ListMerge {
    let Some(held) = held else { return ListMerge::Took(claim.clone()) };
    if claim.version > held.version {
        return ListMerge::Took(claim.clone());
    }
    if claim.version < held.version {
        return ListMerge::Kept;
    }
    let mut all: BTreeMap<_, EngineEntry> = held.engines.iter().map(|e| (e.id.clone(), e.clone())).collect();
    for entry in &claim.engines {
        match all.get_mut(&entry.id) {
            // An engine that only one of them names may be new or gone: it gets no work until a newer
            // list says which.
            None => {
                let engine =
                    EngineEntry { state: graver(entry.state, EndpointState::Draining), ..entry.clone() };
                all.insert(entry.id.clone(), engine);
            }
            Some(known) => {
                known.state = graver(known.state, entry.state);
                known.started_unix_ms = known.started_unix_ms.max(entry.started_unix_ms);
            }
        }
    }
    for entry in &held.engines {
        if !claim.engines.iter().any(|e| e.id == entry.id) {
            if let Some(known) = all.get_mut(&entry.id) {
                known.state = graver(known.state, EndpointState::Draining);
            }
        }
    }
    let united = EngineList { version: held.version, engines: all.into_values().collect() };
    match united.engines == held.engines {
        true => ListMerge::Kept,
        false => ListMerge::United(united),
    }
}

fn graver(one: EndpointState, other: EndpointState) -> EndpointState {
    let weight = |l: EndpointState| match l {
        EndpointState::Serving => 0,
        EndpointState::Draining => 1,
        EndpointState::Gone => 2,
    };
    if weight(other) > weight(one) {
        other
    } else {
        one
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use pintally::interface::EngineId;

    fn entry(id: &str, listing: EndpointState) -> EngineEntry {
        EngineEntry {
            id: EngineId(id.into()),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "a".into(),
            kind: "k".into(),
            rack: 0,
            cell: None,
            state: listing,
            weight: 1.0,
            started_unix_ms: None,
        }
    }

    fn list(version: u64, engines: &[(&str, EndpointState)]) -> EngineList {
        EngineList { version, engines: engines.iter().map(|(id, l)| entry(id, *l)).collect() }
    }

    #[test]
    fn the_newer_list_wins_wherever_it_was() {
        let old = list(4, &[("a", EndpointState::Serving)]);
        let new = list(5, &[("a", EndpointState::Draining)]);
        assert_eq!(merge(Some(&old), &new), ListMerge::Took(new.clone()));
        assert_eq!(merge(Some(&new), &old), ListMerge::Kept);
        assert_eq!(merge(None, &old), ListMerge::Took(old));
    }

    /// Guards against a drain that is undone by another text of the same version.
    #[test]
    fn a_drain_that_anybody_knew_is_never_undone() {
        use EndpointState::{Draining, Gone, Serving};
        let one = list(7, &[("a", Draining), ("b", Serving), ("c", Serving)]);
        let two = list(7, &[("a", Serving), ("b", Gone), ("d", Serving)]);
        for (held, claim) in [(&one, &two), (&two, &one)] {
            let ListMerge::United(list) = merge(Some(held), claim) else { panic!("they differ") };
            let said: Vec<(&str, EndpointState)> =
                list.engines.iter().map(|e| (e.id.0.as_ref(), e.state)).collect();
            assert_eq!(said, [("a", Draining), ("b", Gone), ("c", Draining), ("d", Draining)]);
            assert_eq!(merge(Some(&list), claim), ListMerge::Kept, "the union is where it ends");
        }
    }
}
