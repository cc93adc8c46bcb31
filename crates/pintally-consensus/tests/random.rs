//! Random runs in virtual time. `ACCORD_RUNS` says how many; the seeds are in the messages.

mod common;

use common::{Weather, World, MS};

fn runs(usual: u64) -> u64 {
    std::env::var("ACCORD_RUNS").ok().and_then(|r| r.parse().ok()).unwrap_or(usual)
}

/// Keepers agree, one leads at a time, and when troubles end somebody leads within the stated time and
/// all know the same, whatever one lying disk did.
#[test]
fn they_agree_whatever_happens_and_go_on_when_it_ends() {
    let mut done = 0;
    for seed in 0..runs(1_500) {
        let n = if seed.is_multiple_of(4) { 5 } else { 3 };
        let lying = usize::from(seed % 3 == 1);
        let trouble = if seed.is_multiple_of(2) { 700 * MS } else { 2_500 * MS };
        let weather = Weather { loss: 0.05, double: 0.05, late: 0.03, trouble, lying };
        let mut world = World::new(n, seed, weather);
        world.run(20_000 * MS);
        world.heal();
        let bound = 8_000 * MS;
        let until = world.now + bound;
        world.run(until);
        assert!((0..n).any(|k| world.leads(k)), "seed {seed}: nobody leads after the troubles");
        let before = world.done;
        let until = world.now + 3_000 * MS;
        world.run(until);
        assert!(world.done > before, "seed {seed}: nothing is agreed on after the troubles");
        let leader = (0..n).find(|k| world.leads(*k)).expect("it leads");
        let register = world.nodes[leader].keeper.as_ref().unwrap().store().clone();
        let known = register.iter().count();
        assert!(known > 0, "seed {seed}: the register is empty");
        done += world.done;
    }
    println!("{done} changes agreed on");
    assert!(done > runs(1_500) * 8, "too little was agreed on to show anything: {done}");
}

/// A majority that comes back on older images may forget what was agreed on, but no two ever lead at
/// one time: what rests on the lease of the lead alone stays safe.
#[test]
fn with_most_disks_lying_still_one_leads_at_a_time() {
    for seed in 0..runs(1_500) / 3 {
        let weather = Weather { loss: 0.05, double: 0.05, late: 0.03, trouble: 900 * MS, lying: 3 };
        let mut world = World::new(3, seed, weather);
        world.run(25_000 * MS);
    }
}
