//! Tests of the module `flood`.

use super::*;

#[test]
fn intervals_of_differences() {
    let known = Interval::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert!((known.mean - 3.0).abs() < 1e-9);
    // t(4, 0.975) = 2.776, standard error = 0.7071.
    assert!((known.most - 4.963).abs() < 0.001, "{known:?}");
    assert_eq!(Interval::of(&[1.0]).most, f64::INFINITY);
}
