//! Arrival times of consecutive requests on a connection.

use super::*;

const MS: Micros = 1_000;

#[test]
fn arrival_time_is_that_of_the_last_byte() {
    let mut arrivals = ArrivalTimes::default();
    assert_eq!(arrivals.last_before(0), None);
    arrivals.push(0, 100, false);
    arrivals.push(50 * MS, 100, false);
    arrivals.push(90 * MS, 30, false);
    // The first request is 100 bytes long, with 130 bytes behind it.
    assert_eq!(arrivals.last_before(130), Some(0));
    // The next request ends in the third segment.
    assert_eq!(arrivals.last_before(10), Some(90 * MS));
    arrivals.push(400 * MS, 5, false);
    assert_eq!(arrivals.last_before(0), Some(400 * MS));
}

#[test]
fn single_bytes_are_coalesced() {
    let mut arrivals = ArrivalTimes::default();
    (0..100_000).for_each(|n| arrivals.push(n * 10, 1, false));
    assert!(arrivals.segments.len() <= 201, "{}", arrivals.segments.len());
    // The arrival time is that of the first byte of the segment, so never later than the actual one.
    let last = 999_990;
    assert!(arrivals
        .last_before(0)
        .is_some_and(|arrived| (last - COALESCE_WITHIN..=last).contains(&arrived)));
}

/// Guards against requests that are taken as new although they arrived during a pause of reading.
#[test]
fn bytes_of_a_pause_arrive_at_its_start() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.push(0, 100, false);
    arrivals.pause(100 * MS);
    arrivals.pause(200 * MS);
    arrivals.push(900 * MS, 100, true);
    assert_eq!(arrivals.last_before(0), Some(100 * MS));
    // All that has arrived is read; the rest was in the buffer of the client's system.
    arrivals.push(901 * MS, 50, false);
    arrivals.push(902 * MS, 50, false);
    assert_eq!(arrivals.last_before(0), Some(100 * MS));
    assert!(arrivals.is_paused(1_001 * MS) && !arrivals.is_paused(1_002 * MS));
    arrivals.push(1_002 * MS, 50, false);
    assert_eq!(arrivals.last_before(0), Some(1_002 * MS));
}

#[test]
fn pause_in_which_nothing_arrived_does_not_count() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.pause(1_000 * MS);
    arrivals.record_drained(1_500 * MS);
    arrivals.push(2_000 * MS, 50, false);
    assert_eq!(arrivals.last_before(0), Some(2_000 * MS));
}

/// Guards against a second pause that hides that bytes of the first one are unread.
#[test]
fn pause_that_is_repeated_counts_from_its_first_start() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.pause(100 * MS);
    arrivals.push(500 * MS, 50, false);
    arrivals.pause(510 * MS);
    arrivals.record_drained(510 * MS);
    arrivals.push(600 * MS, 50, false);
    assert_eq!(arrivals.last_before(0), Some(100 * MS));
}

/// Guards against a pause that goes on until the next read because the last one filled its buffer exactly.
#[test]
fn pause_ends_without_a_further_read() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.pause(100 * MS);
    arrivals.push(500 * MS, 50, true);
    arrivals.record_drained(510 * MS);
    arrivals.record_drained(600 * MS);
    assert!(arrivals.has_backlog(609 * MS));
    assert!(!arrivals.is_paused(610 * MS));
    arrivals.push(610 * MS, 50, false);
    assert_eq!(arrivals.last_before(0), Some(610 * MS));
}
