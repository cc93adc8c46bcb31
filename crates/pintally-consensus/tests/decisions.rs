//! What the keepers do in cases that have a name.

mod common;

use common::{Weather, World, MS};
use pintally_consensus::{Output, Replica, ReplicaName, Settings};

const CALM: Weather = Weather { loss: 0.0, double: 0.0, late: 0.0, trouble: 0, lying: 0 };

fn leader(world: &World) -> Option<usize> {
    (0..world.nodes.len()).find(|k| world.leads(*k))
}

fn run_for(world: &mut World, ms: u64) {
    let until = world.now + ms * MS;
    world.run(until);
}

#[test]
fn a_dead_leader_is_followed_within_the_stated_time() {
    let mut worst = 0;
    for seed in 0..40 {
        let mut world = World::new(5, seed, CALM);
        run_for(&mut world, 4_000);
        let first = leader(&world).expect("somebody leads");
        world.kill(first);
        let (killed, bound) = (world.now, world.settings.max_election_duration());
        while leader(&world).is_none() {
            run_for(&mut world, 10);
            // Two that stand at once share the votes; then one more round is needed.
            assert!(world.now < killed + 2 * bound, "seed {seed}: nobody leads");
        }
        worst = worst.max(world.now - killed);
    }
    println!("led again after {} ms at worst", worst / MS);
}

/// Guards against a paused leader that wakes and goes on lending.
#[test]
fn a_leader_that_wakes_knows_that_its_lead_is_over() {
    let mut world = World::new(3, 5, CALM);
    run_for(&mut world, 4_000);
    let first = leader(&world).expect("somebody leads");
    world.nodes[first].paused_until = world.now + 5_000 * MS;
    run_for(&mut world, 4_900);
    let next = leader(&world).expect("another leads");
    assert_ne!(next, first);
    world.nodes[first].paused_until = 0;
    assert!(!world.leads(first), "before it has heard a word it knows by its clock");
    world.heal();
    run_for(&mut world, 1_000);
    assert_eq!(leader(&world), Some(next));
}

/// A keeper that lost its disk has no vote until it has asked enough of the others.
#[test]
fn a_lost_disk_has_no_vote_before_it_has_asked() {
    let mut world = World::new(3, 9, CALM);
    run_for(&mut world, 4_000);
    let lead = leader(&world).expect("somebody leads");
    let (lost, other) = ((lead + 1) % 3, (lead + 2) % 3);
    world.kill(lost);
    world.kill(other);
    world.nodes[lost].disk.clear();
    world.start(lost);
    run_for(&mut world, 15_000);
    assert_eq!(leader(&world), None, "one that knows and one that lost all are no majority");
    assert!(world.nodes[lost].keeper.as_ref().unwrap().is_recovering_votes());
    world.start(other);
    run_for(&mut world, 6_000);
    assert!(leader(&world).is_some());
    assert!(!world.nodes[lost].keeper.as_ref().unwrap().is_recovering_votes());
}

/// One keeper dead for good and another restarted with its disk well: the register comes back.
#[test]
fn a_sound_disk_is_believed_in_the_end() {
    let mut world = World::new(3, 10, CALM);
    run_for(&mut world, 4_000);
    let lead = leader(&world).expect("somebody leads");
    world.kill((lead + 1) % 3);
    world.kill(lead);
    world.start(lead);
    run_for(&mut world, 4_000);
    assert_eq!(leader(&world), None);
    run_for(&mut world, 6_000);
    assert!(leader(&world).is_some());
}

#[test]
fn all_lost_but_one_is_told_and_not_guessed() {
    let mut world = World::new(3, 11, CALM);
    run_for(&mut world, 4_000);
    let before = world.agreed.len();
    (0..3).for_each(|k| world.kill(k));
    world.start(1);
    run_for(&mut world, 20_000);
    assert_eq!(leader(&world), None);
    let status = world.nodes[1].keeper.as_ref().unwrap().status(world.clock(1));
    assert!(status.reason.is_some(), "{status:?}");
    assert_eq!(world.agreed.len(), before);
}

#[test]
fn keepers_change_one_at_a_time_and_a_new_one_catches_up_first() {
    let mut world = World::new(4, 12, CALM);
    world.settings.replicas.truncate(3);
    for k in 0..4 {
        world.nodes[k].disk.clear();
        world.start(k);
    }
    run_for(&mut world, 12_000);
    let lead = leader(&world).expect("somebody leads");
    let names = world.names.clone();
    let change = |world: &mut World, k: usize, keepers: Vec<ReplicaName>| {
        let (clock, mut out) = (world.clock(k), Vec::new());
        world.nodes[k].keeper.as_mut().unwrap().propose_replicas(clock, 1, keepers, &mut out);
        let refused = out.iter().any(|o| matches!(o, Output::Refused(..)));
        world.carry_out(k, out);
        !refused
    };
    assert!(!change(&mut world, lead, names[..1].to_vec()), "two at once are refused");
    assert!(!change(&mut world, lead, names.clone()), "it has to catch up first");
    run_for(&mut world, 500);
    assert!(change(&mut world, lead, names.clone()));
    run_for(&mut world, 1_000);
    assert_eq!(world.nodes[3].keeper.as_ref().unwrap().replicas().len(), 4);
    // The leader makes itself leave, and another leads.
    let rest: Vec<ReplicaName> = names.iter().filter(|n| **n != names[lead]).cloned().collect();
    assert!(change(&mut world, lead, rest));
    run_for(&mut world, 4_000);
    let next = leader(&world).expect("somebody leads");
    assert_ne!(next, lead);
    assert_eq!(world.nodes[next].keeper.as_ref().unwrap().replicas().len(), 3);
}

/// Guards against a snapshot that is taken for less than it covers.
#[test]
fn who_was_away_for_long_takes_a_snapshot() {
    let mut world = World::new(3, 13, CALM);
    run_for(&mut world, 3_000);
    let away = (leader(&world).expect("somebody leads") + 1) % 3;
    world.kill(away);
    run_for(&mut world, 20_000);
    world.start(away);
    run_for(&mut world, 3_000);
    let lead = leader(&world).expect("somebody leads");
    let (a, b) = (world.nodes[away].keeper.as_ref().unwrap(), world.nodes[lead].keeper.as_ref().unwrap());
    assert!(b.applied() > 30, "{}", b.applied());
    assert!(a.applied() + 5 >= b.applied());
    assert_eq!(a.store().iter().count(), b.store().iter().count());
}

#[test]
fn garbled_state_of_a_disk_is_no_state() {
    let settings = Settings::new("a", &["a", "b", "c"]);
    let keeper = Replica::new(settings, Some(&[1, 2, 3, 255, 255]), true, 1, 0);
    assert!(keeper.is_recovering_votes());
    assert_eq!(keeper.last_position().index, 0);
}

#[test]
fn figures_that_do_not_go_together_are_told() {
    let good = Settings::new("a", &["a", "b", "c"]);
    assert!(good.check().is_ok());
    assert!(Settings { election_timeout: good.heartbeat_interval, ..good.clone() }.check().is_err());
    assert!(Settings { replicas: vec!["a".into(), "a".into()], ..good.clone() }.check().is_err());
    assert!(Settings { max_clock_drift: 0.5, ..good }.check().is_err());
}
