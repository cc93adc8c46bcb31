//! The adaptive limit of idle time.

use super::*;

#[test]
fn idle_limit_falls_on_early_closes_and_recovers() {
    let (second, max) = (1_000_000, 7_500_000);
    let mut limit = IdleLimit::new(max);
    assert_eq!(limit.at(second), max);
    limit.record_close(second, 300_000);
    assert_eq!(limit.at(2 * second), 150_000);
    // A close after a longer idle time does not change the limit.
    limit.record_close(2 * second, 900_000);
    assert_eq!(limit.at(3 * second), 150_000);
    limit.record_close(3 * second, 0);
    assert_eq!(limit.at(3 * second), MIN_IDLE_LIMIT);
    assert!(limit.at(30 * second) < 200_000);
    assert_eq!(limit.at(200 * second), max);
}
