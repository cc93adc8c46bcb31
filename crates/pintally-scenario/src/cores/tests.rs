//! Tests of the module `cores`.

use super::*;

#[test]
fn what_is_started_afterwards_stays_on_few_cores_too() {
    on_few_cores();
    let own = sched_getaffinity(None).unwrap();
    assert!((1..=FEW as u32).contains(&own.count()), "{}", own.count());
    let started = std::thread::spawn(|| sched_getaffinity(None).unwrap()).join().unwrap();
    assert_eq!(started, own);
}
