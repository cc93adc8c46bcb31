//! Following the list of engines: changes only, nothing from a bad text, never back in time.

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
        ListChange::Changes(form, changes) => {
            let mut changes: Vec<_> =
                changes.into_iter().map(|l| (l.endpoint.engine.0.to_string(), l.endpoint.state)).collect();
            changes.sort_by(|a, b| a.0.cmp(&b.0));
            Some((form, changes))
        }
        _ => None,
    }
}

#[test]
fn the_first_list_is_whole_and_later_ones_are_changes() {
    let mut follower = ListFollower::default();
    let first = apply(&mut follower, &list(1, &[("a", "serving"), ("b", "serving")])).unwrap();
    assert_eq!(first.0, ListUpdate::Full);
    assert_eq!(first.1.len(), 2);
    assert!(apply(&mut follower, &list(1, &[("a", "serving"), ("b", "serving")])).is_none());
    let next = apply(&mut follower, &list(2, &[("a", "draining"), ("c", "serving")])).unwrap();
    let want = [("a", EndpointState::Draining), ("b", EndpointState::Gone), ("c", EndpointState::Serving)];
    assert_eq!(next, (ListUpdate::Delta, want.map(|(e, l)| (e.to_string(), l)).to_vec()));
    // One that is gone is told once.
    assert!(apply(&mut follower, &list(3, &[("a", "draining"), ("c", "serving")])).is_none());
    assert_eq!(follower.len(), 2);
}

#[test]
fn a_bad_text_changes_nothing_and_is_told_once() {
    let mut follower = ListFollower::default();
    apply(&mut follower, &list(1, &[("a", "serving")]));
    let told =
        |f: &mut ListFollower, text: &str| matches!(f.apply("list", text, |ms| ms), ListChange::Bad(Some(_)));
    assert!(told(&mut follower, "(engines"));
    assert!(!told(&mut follower, "(engines"));
    assert!(told(&mut follower, "(other)"));
    assert_eq!(follower.len(), 1);
    assert!(apply(&mut follower, &list(2, &[("a", "draining")])).is_some());
    assert!(told(&mut follower, "(engines"), "the same mistake after a sound list is a new one");
}

/// Guards against a restored file that takes a drain back.
#[test]
fn an_older_list_does_not_undo_a_younger_one() {
    let mut follower = ListFollower::default();
    apply(&mut follower, &list(5, &[("a", "draining")]));
    let old = list(4, &[("a", "serving")]);
    assert!(matches!(follower.apply("list", &old, |ms| ms), ListChange::Older(Some(4))));
    assert!(matches!(follower.apply("list", &old, |ms| ms), ListChange::Older(None)));
    // What is kept over a restart holds the same way.
    let kept = follower.kept().unwrap();
    let mut again = ListFollower::default();
    assert_eq!(apply(&mut again, &kept).unwrap().1, vec![("a".to_string(), EndpointState::Draining)]);
    assert!(apply(&mut again, &old).is_none());
}
