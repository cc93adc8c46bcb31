//! Tests of the module `report`.

use super::*;

#[test]
fn spreads_of_odd_even_and_no_values() {
    assert_eq!(Spread::of([3.0, 1.0, 2.0]), Spread { least: 1.0, median: 2.0, most: 3.0 });
    assert_eq!(Spread::of([4.0, 1.0]).median, 2.5);
    assert_eq!(Spread::of([]), Spread::default());
}
