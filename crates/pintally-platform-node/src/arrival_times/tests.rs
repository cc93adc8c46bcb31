//! Arrival times of requests behind each other.

use super::*;

const MS: Micros = 1_000;

#[test]
fn arrival_time_is_that_of_the_last_byte() {
    let mut arrivals = ArrivalTimes::default();
    assert_eq!(arrivals.last_before(0), None);
    arrivals.push(0, 100);
    arrivals.push(50 * MS, 100);
    arrivals.push(90 * MS, 30);
    // The first 100 bytes were one request; 130 are behind it.
    assert_eq!(arrivals.last_before(130), Some(0));
    // The next one ended with the third run.
    assert_eq!(arrivals.last_before(10), Some(90 * MS));
    arrivals.push(400 * MS, 5);
    assert_eq!(arrivals.last_before(0), Some(400 * MS));
}

#[test]
fn single_bytes_are_coalesced() {
    let mut arrivals = ArrivalTimes::default();
    (0..100_000).for_each(|n| arrivals.push(n * 10, 1));
    assert!(arrivals.runs.len() <= 201, "{}", arrivals.runs.len());
    // With the time of the first: never later than they arrived.
    let last = 999_990;
    assert!(arrivals
        .last_before(0)
        .is_some_and(|arrived| (last - COALESCE_WITHIN..=last).contains(&arrived)));
}
