//! Tests of the module `fleet`.

use super::*;

/// Guards against clients that time out right after the machine stalled, before the thread that measures
/// lateness has run.
#[test]
fn current_lateness_counts_before_it_is_recorded() {
    let ago = |ms| Instant::now().checked_sub(Duration::from_millis(ms)).unwrap();
    let late = Lateness { due: Some(ago(1000)), largest: None };
    assert!(late.current_us() >= 1_000_000, "{}", late.current_us());
    let awake = Lateness { due: Some(Instant::now() + LATENESS_CHECK_INTERVAL), largest: None };
    assert_eq!(awake.current_us(), 0);
    let noted = Lateness { due: awake.due, largest: Some((40_000, ago(1000))) };
    assert_eq!(noted.current_us(), 40_000);
    let long_ago = Lateness { due: awake.due, largest: Some((40_000, ago(4000))) };
    assert_eq!(long_ago.current_us(), 0);
}
