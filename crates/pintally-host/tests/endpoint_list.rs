//! Following the endpoint list: only changes are reported, and invalid and older versions are ignored.

use pintally::interface::{EndpointState, ListUpdate, Micros};
use pintally_host::{ListChange, ListFollower};

const SLOW_START: Micros = 14_000_000;
/// The clock may hide a sixth of the warm-up.
const MAX_AGE_OF_NEW_ENGINE: Micros = SLOW_START / 6;
/// The node's time.
const NOW: Micros = 1_800_000_000_000_000;

/// The node's time at a Unix time: its clock is right.
fn at_unix_ms(ms: u64) -> Micros {
    ms * 1_000
}

fn list(version: u64, engines: &[(&str, &str)]) -> String {
    let mut text = format!("(engines (version {version})");
    for (id, state) in engines {
        text += &format!(" (engine \"{id}\" (address \"127.0.0.1:1\") (kind \"r\") (state {state}))");
    }
    text + ")"
}

fn apply(follower: &mut ListFollower, text: &str) -> Option<(ListUpdate, Vec<(String, EndpointState)>)> {
    match follower.apply("list", text, NOW, at_unix_ms) {
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
    let mut follower = ListFollower::new(SLOW_START);
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
    let mut follower = ListFollower::new(SLOW_START);
    apply(&mut follower, &list(1, &[("a", "serving")]));
    let is_reported = |f: &mut ListFollower, text: &str| {
        matches!(f.apply("list", text, NOW, at_unix_ms), ListChange::Invalid(Some(_)))
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
    let mut follower = ListFollower::new(SLOW_START);
    apply(&mut follower, &list(5, &[("a", "draining")]));
    let old = list(4, &[("a", "serving")]);
    assert!(matches!(follower.apply("list", &old, NOW, at_unix_ms), ListChange::Stale(Some(4))));
    assert!(matches!(follower.apply("list", &old, NOW, at_unix_ms), ListChange::Stale(None)));
    // The cached list has the same version after a restart.
    let cached = follower.render().unwrap();
    let mut restarted = ListFollower::new(SLOW_START);
    assert_eq!(apply(&mut restarted, &cached).unwrap().1, vec![("a".to_string(), EndpointState::Draining)]);
    assert!(apply(&mut restarted, &old).is_none());
}

/// The age that an engine is given when a list names it for the first time 0.5 s after its start, by a node whose clock
/// is ahead by `error_s`.
fn age_of_new_engine(error_s: u64) -> Micros {
    let now = NOW + error_s * 1_000_000;
    let mut follower = ListFollower::new(SLOW_START);
    let first = list(1, &[("a", "serving")]);
    follower.apply("list", &first, now, at_unix_ms);
    let started_ms = NOW / 1_000 - 500;
    let new =
        format!("(engine \"b\" (address \"127.0.0.1:1\") (kind \"r\") (started-unix-ms {started_ms})))");
    let next = list(2, &[("a", "serving")]).trim_end_matches(')').to_string() + ")) " + &new;
    match follower.apply("list", &next, now, at_unix_ms) {
        ListChange::Changes(_, changes) => now - changes[0].endpoint.started.expect("a start time"),
        other => panic!("{other:?}"),
    }
}

/// Guards against a cold engine that looks warm because the node's clock is ahead.
#[test]
fn new_engine_warms_up_with_any_clock_ahead() {
    assert_eq!(age_of_new_engine(0), 500_000);
    for error_s in [1, 3, 13, 14, 60, 3_600] {
        let age = age_of_new_engine(error_s);
        assert!(age <= MAX_AGE_OF_NEW_ENGINE, "{error_s} s ahead: {age} us");
    }
}
