use super::*;
use pintally::interface::EngineId;

fn entry(id: &str, state: EndpointState) -> EngineEntry {
    EngineEntry {
        id: EngineId(id.into()),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        kind: "k".into(),
        rack: 0,
        cell: None,
        state,
        weight: 1.0,
        started_unix_ms: None,
    }
}

fn list(version: u64, engines: &[(&str, EndpointState)]) -> EngineList {
    EngineList { version, engines: engines.iter().map(|(id, state)| entry(id, *state)).collect() }
}

#[test]
fn newer_list_replaces_older_list() {
    let old = list(4, &[("a", EndpointState::Serving)]);
    let new = list(5, &[("a", EndpointState::Draining)]);
    assert_eq!(merge_endpoint_lists(Some(&old), &new), ListMerge::Replaced(new.clone()));
    assert_eq!(merge_endpoint_lists(Some(&new), &old), ListMerge::Unchanged);
    assert_eq!(merge_endpoint_lists(None, &old), ListMerge::Replaced(old));
}

/// Guards against a drain that is undone by a different list of the same version.
#[test]
fn conflicting_list_never_undoes_a_drain() {
    use EndpointState::{Draining, Gone, Serving};
    let first = list(7, &[("a", Draining), ("b", Serving), ("c", Serving)]);
    let second = list(7, &[("a", Serving), ("b", Gone), ("d", Serving)]);
    for (current, other) in [(&first, &second), (&second, &first)] {
        let ListMerge::Merged(list) = merge_endpoint_lists(Some(current), other) else {
            panic!("the lists differ")
        };
        let states: Vec<(&str, EndpointState)> =
            list.engines.iter().map(|e| (e.id.0.as_ref(), e.state)).collect();
        assert_eq!(states, [("a", Draining), ("b", Gone), ("c", Draining), ("d", Draining)]);
        assert_eq!(merge_endpoint_lists(Some(&list), other), ListMerge::Unchanged, "a merge is idempotent");
    }
}
