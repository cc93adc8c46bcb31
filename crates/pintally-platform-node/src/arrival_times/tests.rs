//! Arrival times of consecutive requests on a connection.

use super::*;

const MS: Micros = 1_000;

#[test]
fn arrival_time_is_that_of_the_last_byte() {
    let mut arrivals = ArrivalTimes::default();
    assert_eq!(arrivals.last_before(0), None);
    arrivals.push(0, 100);
    arrivals.push(50 * MS, 100);
    arrivals.push(90 * MS, 30);
    // The first request is 100 bytes long, with 130 bytes behind it.
    assert_eq!(arrivals.last_before(130), Some(0));
    // The next request ends in the third segment.
    assert_eq!(arrivals.last_before(10), Some(90 * MS));
    arrivals.push(400 * MS, 5);
    assert_eq!(arrivals.last_before(0), Some(400 * MS));
}

#[test]
fn single_bytes_are_coalesced() {
    let mut arrivals = ArrivalTimes::default();
    (0..100_000).for_each(|n| arrivals.push(n * 10, 1));
    assert!(arrivals.segments.len() <= 201, "{}", arrivals.segments.len());
    // The arrival time is that of the first byte of the segment, so never later than the actual one.
    let last = 999_990;
    assert!(arrivals
        .last_before(0)
        .is_some_and(|arrived| (last - COALESCE_WITHIN..=last).contains(&arrived)));
}
