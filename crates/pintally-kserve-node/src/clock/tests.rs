//! Conversion of Unix time to the node's time.

use std::time::{SystemTime, UNIX_EPOCH};

use super::Clock;

#[test]
fn converts_unix_times_before_and_after_start() {
    let clock = Clock::new();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let difference_us = clock.at_unix_ms(unix).abs_diff(clock.now());
    assert!(difference_us < 5_000_000, "{difference_us} us apart");
    assert_eq!(clock.at_unix_ms(unix) - clock.at_unix_ms(unix - 60_000), 60_000_000);
    assert_eq!(clock.at_unix_ms(1), 1);
}
