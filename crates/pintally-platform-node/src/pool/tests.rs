//! For how long idle connections are kept.

use super::*;

#[test]
fn what_ends_early_is_kept_for_less_and_for_longer_again_after_a_while() {
    let (second, most) = (1_000_000, 7_500_000);
    let mut keep = Keep::new(most);
    assert_eq!(keep.limit(second), most);
    keep.ended(second, 300_000);
    assert_eq!(keep.limit(2 * second), 150_000);
    // One that had been idle for longer says nothing new.
    keep.ended(2 * second, 900_000);
    assert_eq!(keep.limit(3 * second), 150_000);
    keep.ended(3 * second, 0);
    assert_eq!(keep.limit(3 * second), MIN_IDLE_LIMIT);
    assert!(keep.limit(30 * second) < 200_000);
    assert_eq!(keep.limit(200 * second), most);
}
