//! The node's time against Unix time.

use std::time::{SystemTime, UNIX_EPOCH};

use super::Clock;

#[test]
fn unix_times_before_and_after_the_start() {
    let clock = Clock::new();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let apart = clock.at_unix_ms(unix).abs_diff(clock.now());
    assert!(apart < 5_000_000, "{apart} us apart");
    assert_eq!(clock.at_unix_ms(unix) - clock.at_unix_ms(unix - 60_000), 60_000_000);
    assert_eq!(clock.at_unix_ms(1), 1);
}
