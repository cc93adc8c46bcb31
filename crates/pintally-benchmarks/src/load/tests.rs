//! Tests of the module `load`.

use super::*;

#[test]
fn large_latencies_are_not_recorded_as_small() {
    let (mut own, mut all) = (new_histogram(), new_histogram());
    [500, 3_000, 40_000, 5_000_000, 90_000_000].iter().for_each(|v| own.saturating_record(*v));
    all.add(&own).expect("the same bounds");
    assert!((39_900..40_100).contains(&all.value_at_quantile(0.5)));
    assert!(all.value_at_quantile(0.2) < 501 && all.max() >= 59_990_000, "{}", all.max());
}
