//! Random runs in virtual time. `SHARES_RUNS` says how many; seeds are in the messages.

mod common;

use common::{level, rate, Broken, World};
use pintally_quota::Enforcement;

fn runs(usual: u64) -> u64 {
    std::env::var("SHARES_RUNS").ok().and_then(|r| r.parse().ok()).unwrap_or(usual)
}

fn world(seed: u64, broken: Broken) -> World {
    let n = [2, 3, 5, 8][(seed % 4) as usize];
    let limit = match seed % 3 {
        0 => rate(50.0, Enforcement::Hard),
        1 => rate(3.0, Enforcement::Soft),
        _ => level(24.0, Enforcement::Hard),
    };
    let mut world = World::new(n, seed, limit);
    world.broken = broken;
    world.loss = [0.0, 0.05, 0.3][(seed / 4 % 3) as usize];
    world.troubles = true;
    world
}

#[test]
fn sums_stay_within_their_bound_whatever_happens() {
    let (mut admitted, mut refused) = (0.0, 0);
    for seed in 0..runs(400) {
        let mut world = world(seed, Broken::Nothing);
        world.run(20_000).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        admitted += world.admitted;
        refused += world.refused;
    }
    println!("{admitted} admitted, {refused} refused");
    assert!(admitted > 50.0 * runs(400) as f64);
}

/// A process that runs twice under one name adds its floor and nothing else.
#[test]
fn a_node_that_is_counted_twice_adds_its_floor() {
    for seed in 0..runs(120) / 3 {
        let mut world = world(seed, Broken::Nothing);
        world.add(world.limit.amount);
        world.run(15_000).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
    }
}

fn found(broken: Broken) -> Option<(u64, String)> {
    (0..300).find_map(|seed| world(seed, broken).run(20_000).err().map(|why| (seed, why)))
}

/// The audit can fail: three builds that are broken on purpose are caught.
#[test]
fn broken_builds_are_caught() {
    for (broken, what) in [
        (Broken::SharesFromDisk, "a share counted twice after a restart"),
        (Broken::WallClock, "a lease by wall clock"),
        (Broken::NoWait, "a new lender that lends at once"),
    ] {
        let (seed, why) = found(broken).unwrap_or_else(|| panic!("{what} was not caught"));
        println!("{what}: seed {seed}: {why}");
    }
}
