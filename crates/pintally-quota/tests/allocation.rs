//! Allocations under changes of demand, disconnection and changes of a limit.

mod common;

use common::{concurrency, rate, Fleet, LIMIT_ID, MS};
use pintally_quota::Enforcement;

/// All of a tenant's load moves from one node to another every 5 s.
#[test]
fn allocations_follow_moving_load() {
    let mut fleet = Fleet::new(5, 1, rate(100.0, Enforcement::Hard));
    fleet.run(6_000).unwrap();
    let admitted_before = fleet.admitted;
    for k in 0..10 {
        for (n, node) in fleet.nodes.iter_mut().enumerate() {
            node.load = if n == k % 5 { 90.0 } else { 0.0 };
        }
        fleet.run(5_000).unwrap();
    }
    let admitted_fraction = (fleet.admitted - admitted_before) / (50.0 * 90.0);
    // A node can use 84 of 100: its own floor and everything that is not the floor of another node.
    println!("{admitted_fraction:.3} of a load of 0.9 of the limit is admitted while it moves every 5 s");
    assert!(admitted_fraction > 0.7, "{admitted_fraction}");
}

#[test]
fn allocations_are_stable_under_steady_demand() {
    let mut fleet = Fleet::new(4, 2, rate(400.0, Enforcement::Hard));
    for node in &mut fleet.nodes {
        node.load = 80.0;
    }
    fleet.run(10_000).unwrap();
    let mut ranges = vec![(f64::MAX, 0.0f64); 4];
    let rejected_before = fleet.rejected;
    for _ in 0..100 {
        fleet.run(100).unwrap();
        for (k, (low, high)) in ranges.iter_mut().enumerate() {
            let leased = fleet.nodes[k].holder.leased(fleet.clock(k), LIMIT_ID);
            (*low, *high) = (low.min(leased), high.max(leased));
        }
    }
    for (low, high) in ranges {
        assert!(high < 1.8 * low, "an allocation varies from {low:.1} to {high:.1}");
    }
    let rejected = fleet.rejected - rejected_before;
    assert!(rejected < 16, "{rejected} of 3200 rejected though the load is within the limit");
}

/// 40 nodes share a limit of one per second: each node gets an allocation in turn, and the limit is used.
#[test]
fn small_limit_is_used_by_many_nodes() {
    let mut fleet = Fleet::new(40, 3, rate(1.0, Enforcement::Hard));
    for node in &mut fleet.nodes {
        node.load = 0.1;
    }
    fleet.run(10_000).unwrap();
    let admitted_before = fleet.admitted;
    fleet.run(200_000).unwrap();
    let admitted_per_second = (fleet.admitted - admitted_before) / 200.0;
    println!("{admitted_per_second:.2} per second of 1.0 are admitted");
    assert!((0.7..=1.3).contains(&admitted_per_second), "{admitted_per_second}");
}

#[test]
fn allocates_fewer_streams_than_nodes_in_turn() {
    let mut fleet = Fleet::new(8, 4, concurrency(3.0, Enforcement::Hard));
    for node in &mut fleet.nodes {
        node.load = 3.0;
    }
    fleet.run(40_000).unwrap();
    // Three at the same time, each for half a second: at most six per second.
    let admitted_per_second = fleet.admitted / 40.0;
    println!("{admitted_per_second:.2} per second of 6.0 are admitted");
    assert!(admitted_per_second > 1.5, "{admitted_per_second}");
}

#[test]
fn disconnected_node_uses_its_floor() {
    let limit = rate(100.0, Enforcement::Hard);
    let mut fleet = Fleet::new(4, 5, limit);
    for node in &mut fleet.nodes {
        node.load = 24.0;
    }
    fleet.run(8_000).unwrap();
    fleet.nodes[0].disconnected = true;
    fleet.run(10_000).unwrap();
    let allocation = fleet.nodes[0].holder.allocation(fleet.clock(0), LIMIT_ID).unwrap();
    assert_eq!(allocation, fleet.settings.floor(&limit));
    let status = fleet.nodes[0].holder.status(fleet.clock(0));
    assert!(!status[0].leased && status[0].age_ms > Some(4_000), "{status:?}");
    // The floors of a soft limit together are its configured excess.
    let soft_limit = rate(100.0, Enforcement::Soft);
    assert_eq!(fleet.settings.floor(&soft_limit), 100.0 * fleet.settings.soft_excess_fraction / 4.0);
}

/// When a limit is lowered under load, all allocations follow within the duration of a lease.
#[test]
fn lowered_limit_takes_effect_within_a_lease() {
    let mut fleet = Fleet::new(4, 6, rate(100.0, Enforcement::Hard));
    for node in &mut fleet.nodes {
        node.load = 40.0;
    }
    fleet.run(8_000).unwrap();
    if let Some(granter) = &mut fleet.granter {
        granter.set_limit_amount(LIMIT_ID, 40.0);
    }
    let lowered_at = fleet.now;
    while fleet.total_allocation() > 40.0 * 1.0001 {
        fleet.run(20).unwrap();
        assert!(
            fleet.now - lowered_at < fleet.settings.lease_duration,
            "the sum is still {}",
            fleet.total_allocation()
        );
    }
    println!("lowered from 100 to 40 on all nodes after {} ms", (fleet.now - lowered_at) / MS);
}
