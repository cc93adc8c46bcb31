//! Randomised fault injection in virtual time. The environment variable `SHARES_RUNS` sets the number of
//! runs. Failure messages contain the seed.

mod common;

use common::{concurrency, rate, Fleet, SeededDefect};
use pintally_quota::Enforcement;

fn run_count(default: u64) -> u64 {
    std::env::var("SHARES_RUNS").ok().and_then(|count| count.parse().ok()).unwrap_or(default)
}

fn fleet(seed: u64, defect: SeededDefect) -> Fleet {
    let n = [2, 3, 5, 8][(seed % 4) as usize];
    let limit = match seed % 3 {
        0 => rate(50.0, Enforcement::Hard),
        1 => rate(3.0, Enforcement::Soft),
        _ => concurrency(24.0, Enforcement::Hard),
    };
    let mut fleet = Fleet::new(n, seed, limit);
    fleet.defect = defect;
    fleet.loss = [0.0, 0.05, 0.3][(seed / 4 % 3) as usize];
    fleet.inject_faults = true;
    fleet
}

#[test]
fn allocations_stay_within_bounds_under_faults() {
    let (mut admitted, mut rejected) = (0.0, 0);
    for seed in 0..run_count(400) {
        let mut fleet = fleet(seed, SeededDefect::None);
        fleet.run(20_000).unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        admitted += fleet.admitted;
        rejected += fleet.rejected;
    }
    println!("{admitted} admitted, {rejected} rejected");
    assert!(admitted > 50.0 * run_count(400) as f64);
}

/// A second process under the same name adds only its floor to the sum of allocations.
#[test]
fn duplicate_process_adds_only_its_floor() {
    for seed in 0..run_count(120) / 3 {
        let mut fleet = fleet(seed, SeededDefect::None);
        fleet.add(fleet.limit.amount);
        fleet.run(15_000).unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
    }
}

fn find_violation(defect: SeededDefect) -> Option<(u64, String)> {
    (0..300).find_map(|seed| fleet(seed, defect).run(20_000).err().map(|violation| (seed, violation)))
}

/// Guards against checks that cannot fail: they detect three seeded defects.
#[test]
fn seeded_defects_are_detected() {
    for (defect, description) in [
        (SeededDefect::AllocationsFromDisk, "an allocation counted twice after a restart"),
        (SeededDefect::WallClock, "a lease measured by the wall clock"),
        (SeededDefect::NoLeaseWait, "a new granter that grants before leases have expired"),
    ] {
        let (seed, violation) =
            find_violation(defect).unwrap_or_else(|| panic!("{description} was not detected"));
        println!("{description}: seed {seed}: {violation}");
    }
}
