//! Tests of the module `cpus`.

use super::*;

#[test]
fn cpu_limit_is_inherited_by_new_threads() {
    limit_cpus();
    let current = sched_getaffinity(None).unwrap();
    assert!((1..=MAX_CPUS as u32).contains(&current.count()), "{}", current.count());
    let started = std::thread::spawn(|| sched_getaffinity(None).unwrap()).join().unwrap();
    assert_eq!(started, current);
}
