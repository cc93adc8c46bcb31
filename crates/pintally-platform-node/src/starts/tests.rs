//! Starts under clocks that are right, ahead and behind.

use pintally::interface::{Endpoint, EndpointState};

use super::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
/// The time that all machines share, at each test's beginning.
const TRUE_TIME: Micros = 1_000 * HOUR;

fn listed(id: &str, started: Micros) -> EngineEndpoint {
    EngineEndpoint {
        endpoint: Endpoint {
            engine: EngineId(id.into()),
            zone: "a".into(),
            kind: "m1".into(),
            rack: 0,
            state: EndpointState::Serving,
            weight: 1.0,
            started: Some(started),
        },
        address: ([127, 0, 0, 1], 1).into(),
        cell: None,
        started_unix_ms: None,
    }
}

/// Ages of the engines of a list, in seconds, at a node whose clock is off by so much.
fn ages(starts: &mut Starts, now: Micros, before: Option<Micros>, list: &[(&str, Micros)]) -> Vec<u64> {
    let mut list: Vec<EngineEndpoint> = list.iter().map(|(id, at)| listed(id, *at)).collect();
    starts.take(now, before, &mut list);
    list.iter().map(|one| (now - one.endpoint.started.expect("it is told")) / SECOND).collect()
}

#[test]
fn a_right_clock_changes_nothing() {
    let mut starts = Starts::default();
    let now = TRUE_TIME;
    let first = [("old", now - 100 * SECOND), ("new", now - 3 * SECOND)];
    assert_eq!(ages(&mut starts, now, None, &first), [100, 3]);
    // Told 12 s late, which lists may be.
    let later = now + 20 * SECOND;
    assert_eq!(ages(&mut starts, later, Some(later - 2 * SECOND), &[("next", later - 12 * SECOND)]), [12]);
    // Discovery was down for a minute: a start of meanwhile is believed.
    let back = later + 60 * SECOND;
    assert_eq!(ages(&mut starts, back, Some(later), &[("missed", back - 50 * SECOND)]), [50]);
    assert_eq!(starts.corrections, 0);
}

#[test]
fn a_clock_that_is_ahead_makes_no_engine_warm_that_starts_while_the_list_is_followed() {
    let mut starts = Starts::default();
    let now = TRUE_TIME + HOUR;
    ages(&mut starts, now, None, &[("old", TRUE_TIME - HOUR)]);
    let word = Some(now);
    assert_eq!(ages(&mut starts, now + SECOND, word, &[("new", TRUE_TIME)]), [0]);
    // From then on the clock is known to be off.
    let later = now + 30 * SECOND;
    let told = TRUE_TIME + 27 * SECOND;
    assert_eq!(ages(&mut starts, later, Some(later - SECOND), &[("next", told)]), [2]);
    // What was aged once stays so when it is told again, as with a drain.
    assert_eq!(ages(&mut starts, later, Some(later), &[("new", TRUE_TIME)]), [29]);
    assert_eq!(starts.corrections, 1);
}

#[test]
fn a_clock_that_is_behind_ages_starts_against_the_newest() {
    let mut starts = Starts::default();
    let now = TRUE_TIME - HOUR;
    let first = [("old", TRUE_TIME - 100 * SECOND), ("new", TRUE_TIME - 3 * SECOND)];
    assert_eq!(ages(&mut starts, now, None, &first), [97, 0]);
    // The newest was 3 s old: the next one that is told shows that.
    assert_eq!(ages(&mut starts, now + SECOND, Some(now), &[("next", TRUE_TIME + SECOND)]), [0]);
    assert_eq!(ages(&mut starts, now + 2 * SECOND, Some(now), &[("later", TRUE_TIME)]), [2]);
}

#[test]
fn engines_that_are_gone_are_forgotten() {
    let mut starts = Starts::default();
    ages(&mut starts, TRUE_TIME, None, &[("a", TRUE_TIME), ("b", TRUE_TIME)]);
    starts.retain(|engine| &*engine.0 == "a");
    assert_eq!(starts.known.len(), 1);
}
