//! Following the endpoint list: only changes are reported, and invalid and older versions are ignored.

use pintally::interface::{EndpointState, ListUpdate};
use pintally_host::{ListChange, ListFollower};

fn list(version: u64, engines: &[(&str, &str)]) -> String {
    let mut text = format!("(engines (version {version})");
    for (id, state) in engines {
        text += &format!(" (engine \"{id}\" (address \"127.0.0.1:1\") (kind \"r\") (state {state}))");
    }
    text + ")"
}

fn apply(follower: &mut ListFollower, text: &str) -> Option<(ListUpdate, Vec<(String, EndpointState)>)> {
    match follower.apply("list", text, |ms| ms) {
        ListChange::Changes(update, changes) => {
            let mut changes: Vec<_> =
                changes.into_iter().map(|l| (l.endpoint.engine.0.to_string(), l.endpoint.state)).collect();
            changes.sort_by(|a, b| a.0.cmp(&b.0));
            Some((update, changes))
        }
        _ => None,
    }
}

#[test]
fn first_list_is_full_and_later_lists_are_deltas() {
    let mut follower = ListFollower::default();
    let first = apply(&mut follower, &list(1, &[("a", "serving"), ("b", "serving")])).unwrap();
    assert_eq!(first.0, ListUpdate::Full);
    assert_eq!(first.1.len(), 2);
    assert!(apply(&mut follower, &list(1, &[("a", "serving"), ("b", "serving")])).is_none());
    let next = apply(&mut follower, &list(2, &[("a", "draining"), ("c", "serving")])).unwrap();
    let expected =
        [("a", EndpointState::Draining), ("b", EndpointState::Gone), ("c", EndpointState::Serving)];
    assert_eq!(next, (ListUpdate::Delta, expected.map(|(e, l)| (e.to_string(), l)).to_vec()));
    // An engine that is gone is reported once.
    assert!(apply(&mut follower, &list(3, &[("a", "draining"), ("c", "serving")])).is_none());
    assert_eq!(follower.len(), 2);
}

#[test]
fn invalid_list_changes_nothing_and_is_reported_once() {
    let mut follower = ListFollower::default();
    apply(&mut follower, &list(1, &[("a", "serving")]));
    let is_reported = |f: &mut ListFollower, text: &str| {
        matches!(f.apply("list", text, |ms| ms), ListChange::Invalid(Some(_)))
    };
    assert!(is_reported(&mut follower, "(engines"));
    assert!(!is_reported(&mut follower, "(engines"));
    assert!(is_reported(&mut follower, "(other)"));
    assert_eq!(follower.len(), 1);
    assert!(apply(&mut follower, &list(2, &[("a", "draining")])).is_some());
    assert!(is_reported(&mut follower, "(engines"), "the same error after a valid list is a new one");
}

/// Guards against a restored file that undoes a drain.
#[test]
fn older_list_is_ignored() {
    let mut follower = ListFollower::default();
    apply(&mut follower, &list(5, &[("a", "draining")]));
    let old = list(4, &[("a", "serving")]);
    assert!(matches!(follower.apply("list", &old, |ms| ms), ListChange::Stale(Some(4))));
    assert!(matches!(follower.apply("list", &old, |ms| ms), ListChange::Stale(None)));
    // The cached list has the same version after a restart.
    let cached = follower.render().unwrap();
    let mut restarted = ListFollower::default();
    assert_eq!(apply(&mut restarted, &cached).unwrap().1, vec![("a".to_string(), EndpointState::Draining)]);
    assert!(apply(&mut restarted, &old).is_none());
}
