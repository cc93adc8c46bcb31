//! Start times with a wall clock that is correct, ahead and behind.

use pintally::interface::{Endpoint, EndpointState};

use super::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
/// The true time at the start of each test.
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

/// The ages of the engines in a list, in seconds, at the node time `now`.
fn ages(starts: &mut StartTimes, now: Micros, before: Option<Micros>, list: &[(&str, Micros)]) -> Vec<u64> {
    let mut list: Vec<EngineEndpoint> = list.iter().map(|(id, at)| listed(id, *at)).collect();
    starts.adjust(now, before, &mut list);
    list.iter().map(|one| (now - one.endpoint.started.expect("a start time")) / SECOND).collect()
}

#[test]
fn correct_clock() {
    let mut starts = StartTimes::default();
    let now = TRUE_TIME;
    let first = [("old", now - 100 * SECOND), ("new", now - 3 * SECOND)];
    assert_eq!(ages(&mut starts, now, None, &first), [100, 3]);
    // The engine is listed 12 s late, which is within the maximum delay of lists.
    let later = now + 20 * SECOND;
    assert_eq!(ages(&mut starts, later, Some(later - 2 * SECOND), &[("next", later - 12 * SECOND)]), [12]);
    // Discovery was down for a minute: a start within that minute is accepted.
    let back = later + 60 * SECOND;
    assert_eq!(ages(&mut starts, back, Some(later), &[("missed", back - 50 * SECOND)]), [50]);
    assert_eq!(starts.corrections, 0);
}

#[test]
fn clock_ahead_does_not_skip_slow_start() {
    let mut starts = StartTimes::default();
    let now = TRUE_TIME + HOUR;
    ages(&mut starts, now, None, &[("old", TRUE_TIME - HOUR)]);
    let last_message = Some(now);
    assert_eq!(ages(&mut starts, now + SECOND, last_message, &[("new", TRUE_TIME)]), [0]);
    // From then on the error of the clock is known.
    let later = now + 30 * SECOND;
    let received = TRUE_TIME + 27 * SECOND;
    assert_eq!(ages(&mut starts, later, Some(later - SECOND), &[("next", received)]), [2]);
    // The start time of an engine that is listed again, as with a drain, is unchanged.
    assert_eq!(ages(&mut starts, later, Some(later), &[("new", TRUE_TIME)]), [29]);
    assert_eq!(starts.corrections, 1);
}

#[test]
fn clock_behind_is_corrected_by_the_newest_start() {
    let mut starts = StartTimes::default();
    let now = TRUE_TIME - HOUR;
    let first = [("old", TRUE_TIME - 100 * SECOND), ("new", TRUE_TIME - 3 * SECOND)];
    assert_eq!(ages(&mut starts, now, None, &first), [97, 0]);
    // The newest engine was 3 s old when its start was taken for the current time; the next engine that is
    // listed corrects that.
    assert_eq!(ages(&mut starts, now + SECOND, Some(now), &[("next", TRUE_TIME + SECOND)]), [0]);
    assert_eq!(ages(&mut starts, now + 2 * SECOND, Some(now), &[("later", TRUE_TIME)]), [2]);
}

#[test]
fn unlisted_engines_are_forgotten() {
    let mut starts = StartTimes::default();
    ages(&mut starts, TRUE_TIME, None, &[("a", TRUE_TIME), ("b", TRUE_TIME)]);
    starts.retain(|engine| &*engine.0 == "a");
    assert_eq!(starts.by_engine.len(), 1);
}
