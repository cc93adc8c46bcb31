//! Start times with a wall clock that is correct, ahead and behind.

use pintally::interface::{Endpoint, EndpointState};

use super::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
/// How long engines warm up: a clock that is ahead by a sixth of it counts as right.
const SLOW_START: Micros = 18 * SECOND;
const MAX_CONFIRMED_ERROR: Micros = 3 * SECOND;
/// Errors of the node's clock, in milliseconds.
const CLOCK_ERRORS_MS: [i64; 21] = [
    -36_000_000,
    -3_600_000,
    -60_000,
    -14_400,
    -5_000,
    -500,
    0,
    200,
    1_000,
    2_900,
    3_100,
    5_000,
    10_000,
    13_500,
    14_400,
    15_000,
    15_700,
    30_000,
    60_000,
    3_600_000,
    36_000_000,
];
/// Time between the start of an engine and the list that contains it.
const LIST_DELAYS: [Micros; 4] = [0, SECOND / 10, SECOND * 6 / 10, 5 * SECOND];
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

/// The ages of the engines in a list, in microseconds, at the node time `now`.
fn exact_ages(
    starts: &mut StartTimes,
    now: Micros,
    before: Option<Micros>,
    list: &[(&str, Micros)],
) -> Vec<Micros> {
    let mut list: Vec<EngineEndpoint> = list.iter().map(|(id, at)| listed(id, *at)).collect();
    starts.adjust(now, before, &mut list);
    list.iter().map(|one| now - one.endpoint.started.expect("a start time")).collect()
}

/// The same in seconds.
fn ages(starts: &mut StartTimes, now: Micros, before: Option<Micros>, list: &[(&str, Micros)]) -> Vec<u64> {
    exact_ages(starts, now, before, list).iter().map(|age| age / SECOND).collect()
}

#[test]
fn correct_clock() {
    let mut starts = StartTimes::new(SLOW_START);
    let now = TRUE_TIME;
    let first = [("old", now - 100 * SECOND), ("new", now - 3 * SECOND)];
    assert_eq!(ages(&mut starts, now, None, &first), [100, 3]);
    // The engine is listed 12 s late, which is within the maximum delay of lists.
    let later = now + 20 * SECOND;
    assert_eq!(ages(&mut starts, later, Some(later - 2 * SECOND), &[("next", later - 12 * SECOND)]), [12]);
    // Discovery was down for a minute: a start within that minute is accepted.
    let back = later + 60 * SECOND;
    assert_eq!(ages(&mut starts, back, Some(later), &[("missed", back - 50 * SECOND)]), [50]);
    assert_eq!(starts.corrections(), 0);
}

#[test]
fn clock_ahead_does_not_skip_slow_start() {
    let mut starts = StartTimes::new(SLOW_START);
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
    assert_eq!(starts.corrections(), 1);
}

#[test]
fn clock_behind_is_corrected_by_the_newest_start() {
    let mut starts = StartTimes::new(SLOW_START);
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
    let mut starts = StartTimes::new(SLOW_START);
    ages(&mut starts, TRUE_TIME, None, &[("a", TRUE_TIME), ("b", TRUE_TIME)]);
    starts.retain(|engine| &*engine.0 == "a");
    assert_eq!(starts.by_engine.len(), 1);
}

/// The time of a node whose clock is wrong by `error_ms`.
fn node_time(true_time: Micros, error_ms: i64) -> Micros {
    true_time.saturating_add_signed(error_ms * 1_000)
}

/// Guards against a clock that makes an engine look warm when it starts while the node watches the list, whatever the
/// error of the clock.
#[test]
fn new_engines_on_a_watch_are_never_older_than_they_are() {
    for error_ms in CLOCK_ERRORS_MS {
        for delay in LIST_DELAYS {
            let mut starts = StartTimes::new(SLOW_START);
            let mut now = TRUE_TIME;
            ages(&mut starts, node_time(now, error_ms), None, &[("old", TRUE_TIME - 100 * HOUR)]);
            for engine in ["a", "b", "c", "d"] {
                now += 7 * SECOND;
                let before = Some(node_time(now - 2 * SECOND, error_ms));
                let list = [(engine, now - delay)];
                let age = exact_ages(&mut starts, node_time(now, error_ms), before, &list)[0];
                assert!(age <= delay + MAX_CONFIRMED_ERROR, "{error_ms} ms, {delay}: {engine} is {age}");
            }
        }
    }
}

/// Guards against the same with an engine that starts before the node does: the list in the configuration does not
/// contain it, or contains its start before that.
#[test]
fn new_engines_of_the_first_list_are_never_older_than_they_are() {
    for error_ms in CLOCK_ERRORS_MS {
        for age in LIST_DELAYS {
            for other in [("other", TRUE_TIME - HOUR), ("new", TRUE_TIME - 100 * SECOND)] {
                let mut starts = StartTimes::new(SLOW_START);
                let now = node_time(TRUE_TIME, error_ms);
                let last_known = [("old", TRUE_TIME - HOUR), other];
                ages(&mut starts, now, None, &last_known);
                let list =
                    [("old", TRUE_TIME - HOUR), ("earlier", TRUE_TIME - HOUR / 2), ("new", TRUE_TIME - age)];
                let seen = exact_ages(&mut starts, now, None, &list);
                assert!(seen[2] <= age + MAX_CONFIRMED_ERROR, "{error_ms} ms, {age}: {}", seen[2]);
                assert!(seen[1] >= SLOW_START, "{error_ms} ms, {age}: an engine that is warm is {}", seen[1]);
            }
        }
    }
}

/// With a clock that is right, engines of the first list that started long ago are warm, with and without a list in
/// the configuration; and once a start has confirmed the clock, an outage of discovery makes no engine look new.
#[test]
fn correct_clock_keeps_warm_engines_warm() {
    for last_known in [vec![], vec![("a", TRUE_TIME - 60 * SECOND)]] {
        let mut starts = StartTimes::new(SLOW_START);
        ages(&mut starts, TRUE_TIME, None, &last_known);
        let first = [("a", TRUE_TIME - 60 * SECOND)];
        assert_eq!(ages(&mut starts, TRUE_TIME, None, &first), [60]);
        let now = TRUE_TIME + SECOND;
        assert_eq!(ages(&mut starts, now, Some(TRUE_TIME), &[("b", TRUE_TIME)]), [1]);
        let back = now + 60 * SECOND;
        assert_eq!(ages(&mut starts, back, Some(now), &[("missed", back - 50 * SECOND)]), [50]);
        assert_eq!(starts.corrections(), 0);
    }
}

/// An engine that looked warm by a clock that was ahead is cold again once a list names it after the clock is
/// corrected.
#[test]
fn correction_applies_to_engines_that_are_listed_again() {
    let mut starts = StartTimes::new(SLOW_START);
    let (true_time, now) = (TRUE_TIME, TRUE_TIME + HOUR);
    let young = ("young", true_time - 2 * SECOND);
    assert_eq!(ages(&mut starts, now, None, &[young]), [3_602]);
    let new = ("new", true_time - SECOND);
    assert_eq!(ages(&mut starts, now, None, &[young, new]), [4, 3]);
}
