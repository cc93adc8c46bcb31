//! Tests of the module `fleet`.

use super::*;

/// Guards against clients that give up the moment a machine that stood still goes on, before the
/// thread that looks for lateness has run.
#[test]
fn a_machine_that_is_late_by_now_is_late_before_anybody_has_noted_it() {
    let ago = |ms| Instant::now().checked_sub(Duration::from_millis(ms)).unwrap();
    let late = Late { due: Some(ago(1000)), largest: None };
    assert!(late.now() >= 1_000_000, "{}", late.now());
    let awake = Late { due: Some(Instant::now() + BEAT), largest: None };
    assert_eq!(awake.now(), 0);
    let noted = Late { due: awake.due, largest: Some((40_000, ago(1000))) };
    assert_eq!(noted.now(), 40_000);
    let long_ago = Late { due: awake.due, largest: Some((40_000, ago(4000))) };
    assert_eq!(long_ago.now(), 0);
}
