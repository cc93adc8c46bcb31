//! Which watches are kept while none is answered, for outages and response times of any length.

use super::*;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const OPEN_INTERVAL: Micros = SECOND / 2;

/// When the first watch is answered: watches are opened at the interval from time 0 on, those opened before the end
/// of the outage stay silent, and the others are answered after the delay.
fn first_response(outage_end: Micros, delay: Micros) -> Micros {
    let mut pending = PendingWatches::default();
    let mut now = 0;
    loop {
        let answered = pending
            .iter()
            .filter(|opened_at| **opened_at >= outage_end)
            .map(|opened_at| opened_at + delay)
            .filter(|answered_at| *answered_at <= now)
            .min();
        if let Some(answered_at) = answered {
            return answered_at;
        }
        pending.insert(now, now);
        assert!(
            now < outage_end + 100 * SECOND,
            "no response after an outage of {outage_end} and a delay of {delay}"
        );
        now += OPEN_INTERVAL;
    }
}

/// Guards against a late response that is lost because its watch was replaced.
#[test]
fn first_watch_is_kept_for_late_response() {
    for delay in (0..=LAST_SLOT_TIMEOUT).step_by(100 * MILLISECOND as usize) {
        assert_eq!(first_response(0, delay), delay);
    }
}

/// Guards against times to the next useful watch that grow with the length of an outage.
#[test]
fn bounded_time_after_outage_of_any_length() {
    for outage in (1..120 * SECOND).step_by(130 * MILLISECOND as usize) {
        let fast = first_response(outage, MILLISECOND) - outage;
        assert!(fast <= OPEN_INTERVAL + MILLISECOND, "outage of {outage}: answered after {fast}");
        for delay in [OPEN_INTERVAL, SECOND, 2 * SECOND, 4 * SECOND] {
            let time = first_response(outage, delay) - outage;
            assert!(time <= 6 * SECOND, "outage of {outage}, delay of {delay}: answered after {time}");
        }
    }
}

/// Every response time up to the timeout of the last slot is survived after any outage.
#[test]
fn slow_response_after_outage_is_received() {
    for outage in (1..60 * SECOND).step_by(370 * MILLISECOND as usize) {
        for delay in (4 * SECOND..=LAST_SLOT_TIMEOUT).step_by(SECOND as usize) {
            first_response(outage, delay);
        }
    }
}

/// Guards against watches that are replaced early because other watches fail at once and are opened again.
#[test]
fn failed_watches_do_not_replace_others() {
    let mut pending = PendingWatches::default();
    pending.insert(0, 0);
    pending.insert(OPEN_INTERVAL, 1);
    for now in 1..1_000 {
        assert_eq!(pending.insert(OPEN_INTERVAL + now, 2), None);
        assert_eq!(pending.remove(|number| *number == 2), Some(2));
    }
    let kept: Vec<i32> = pending.iter().copied().collect();
    assert_eq!(kept, [1, 0]);
}

#[test]
fn number_of_pending_watches_is_bounded() {
    let mut pending = PendingWatches::default();
    for number in 0..1_000 {
        pending.insert(number * OPEN_INTERVAL, number);
        assert!(pending.iter().count() <= SLOTS);
        assert!(pending.iter().any(|kept| *kept == number), "the latest watch is kept");
    }
    pending.clear();
    assert!(pending.is_empty());
}
