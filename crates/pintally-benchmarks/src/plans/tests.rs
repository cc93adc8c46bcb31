//! Tests of the module `plans`.

use super::*;

#[test]
fn apportioned_parts_add_up_and_follow_weights() {
    assert_eq!(apportion(10, &[1.0, 2.0, 2.0]), [2, 4, 4]);
    assert_eq!(apportion(7, &[1.0, 1.0, 1.0]).iter().sum::<usize>(), 7);
}
