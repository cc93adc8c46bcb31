//! How allocations follow demand, disconnection and changes of a limit.

mod common;

use common::{concurrency, rate, Fleet, MS, ONE};
use pintally_quota::Enforcement;

/// All of a tenant's load moves from one node to another every 5 s.
#[test]
fn allocations_follow_moving_load() {
    let mut fleet = Fleet::new(5, 1, rate(100.0, Enforcement::Hard));
    fleet.run(6_000).unwrap();
    let before = fleet.admitted;
    for k in 0..10 {
        for (n, node) in fleet.nodes.iter_mut().enumerate() {
            node.load = if n == k % 5 { 90.0 } else { 0.0 };
        }
        fleet.run(5_000).unwrap();
    }
    let served = (fleet.admitted - before) / (50.0 * 90.0);
    // A node can use 84 of 100: its floor, and what is not the floor of another node.
    println!("{served:.3} of a load of 0.9 of the limit is admitted while it moves every 5 s");
    assert!(served > 0.7, "{served}");
}

#[test]
fn allocations_are_stable_under_steady_demand() {
    let mut fleet = Fleet::new(4, 2, rate(400.0, Enforcement::Hard));
    for node in &mut fleet.nodes {
        node.load = 80.0;
    }
    fleet.run(10_000).unwrap();
    let mut seen = vec![(f64::MAX, 0.0f64); 4];
    let before = fleet.rejected;
    for _ in 0..100 {
        fleet.run(100).unwrap();
        for (k, (low, high)) in seen.iter_mut().enumerate() {
            let leased = fleet.nodes[k].holder.leased(fleet.clock(k), ONE);
            (*low, *high) = (low.min(leased), high.max(leased));
        }
    }
    for (low, high) in seen {
        assert!(high < 1.8 * low, "an allocation varies from {low:.1} to {high:.1}");
    }
    let rejected = fleet.rejected - before;
    assert!(rejected < 16, "{rejected} of 3200 rejected though the load is within the limit");
}

/// 40 nodes and a limit of one a second: each node gets an allocation in turn, and the limit is used.
#[test]
fn small_limit_is_used_by_many_nodes() {
    let mut fleet = Fleet::new(40, 3, rate(1.0, Enforcement::Hard));
    for node in &mut fleet.nodes {
        node.load = 0.1;
    }
    fleet.run(10_000).unwrap();
    let before = fleet.admitted;
    fleet.run(200_000).unwrap();
    let got = (fleet.admitted - before) / 200.0;
    println!("{got:.2} a second of 1.0 are admitted");
    assert!((0.7..=1.3).contains(&got), "{got}");
}

#[test]
fn fewer_streams_than_nodes_are_allocated_in_turn() {
    let mut fleet = Fleet::new(8, 4, concurrency(3.0, Enforcement::Hard));
    for node in &mut fleet.nodes {
        node.load = 3.0;
    }
    fleet.run(40_000).unwrap();
    // Three at the same time, each for half a second: at most six per second.
    let got = fleet.admitted / 40.0;
    println!("{got:.2} a second of 6.0 are admitted");
    assert!(got > 1.5, "{got}");
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
    let allocation = fleet.nodes[0].holder.allocation(fleet.clock(0), ONE).unwrap();
    assert_eq!(allocation, fleet.settings.floor(&limit));
    let status = fleet.nodes[0].holder.status(fleet.clock(0));
    assert!(!status[0].leased && status[0].age_ms > Some(4_000), "{status:?}");
    // The floor of a soft limit is its configured excess.
    let soft = rate(100.0, Enforcement::Soft);
    assert_eq!(fleet.settings.floor(&soft), 100.0 * fleet.settings.soft_excess_fraction / 4.0);
}

/// The limit is lowered under load: all allocations follow within the duration of a lease.
#[test]
fn lowered_limit_takes_effect_within_a_lease() {
    let mut fleet = Fleet::new(4, 6, rate(100.0, Enforcement::Hard));
    for node in &mut fleet.nodes {
        node.load = 40.0;
    }
    fleet.run(8_000).unwrap();
    if let Some(granter) = &mut fleet.granter {
        granter.set_limit_amount(ONE, 40.0);
    }
    let from = fleet.now;
    while fleet.sum() > 40.0 * 1.0001 {
        fleet.run(20).unwrap();
        assert!(fleet.now - from < fleet.settings.lease_duration, "the sum is still {}", fleet.sum());
    }
    println!("lowered from 100 to 40 on all nodes after {} ms", (fleet.now - from) / MS);
}
