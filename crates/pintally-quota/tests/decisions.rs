//! How shares follow demand, and what single cases come to.

mod common;

use common::{level, rate, World, MS, ONE};
use pintally_quota::{
    Admission, Enforcement, LeaderGranter, LeaseGrant, LeaseGranter, LeaseRequest, Limit, LimitId,
    QuotaHolder, Settings,
};

/// All of a tenant's load moves from one node to another every 5 s.
#[test]
fn shares_follow_a_load_that_moves() {
    let mut world = World::new(5, 1, rate(100.0, Enforcement::Hard));
    world.run(6_000).unwrap();
    let before = world.admitted;
    for k in 0..10 {
        for (n, node) in world.nodes.iter_mut().enumerate() {
            node.load = if n == k % 5 { 90.0 } else { 0.0 };
        }
        world.run(5_000).unwrap();
    }
    let served = (world.admitted - before) / (50.0 * 90.0);
    // A node can have 84 of 100: its floor, and what is no floor of another.
    println!("{served:.3} of a load of 0.9 of the limit is let in while it moves every 5 s");
    assert!(served > 0.7, "{served}");
}

#[test]
fn shares_do_not_swing_while_demand_is_steady() {
    let mut world = World::new(4, 2, rate(400.0, Enforcement::Hard));
    for node in &mut world.nodes {
        node.load = 80.0;
    }
    world.run(10_000).unwrap();
    let mut seen = vec![(f64::MAX, 0.0f64); 4];
    let before = world.refused;
    for _ in 0..100 {
        world.run(100).unwrap();
        for (k, (low, high)) in seen.iter_mut().enumerate() {
            let share = world.nodes[k].holder.leased(world.clock(k), ONE);
            (*low, *high) = (low.min(share), high.max(share));
        }
    }
    for (low, high) in seen {
        assert!(high < 1.8 * low, "a share swings from {low:.1} to {high:.1}");
    }
    let refused = world.refused - before;
    assert!(refused < 16, "{refused} of 3200 refused though all are within the limit");
}

/// 40 nodes and a limit of one a second: each gets its turn, and the sum is used.
#[test]
fn small_limits_are_shared_among_many_nodes() {
    let mut world = World::new(40, 3, rate(1.0, Enforcement::Hard));
    for node in &mut world.nodes {
        node.load = 0.1;
    }
    world.run(10_000).unwrap();
    let before = world.admitted;
    world.run(200_000).unwrap();
    let got = (world.admitted - before) / 200.0;
    println!("{got:.2} a second of 1.0 are let in");
    assert!((0.7..=1.3).contains(&got), "{got}");
}

#[test]
fn streams_at_once_fewer_than_nodes_go_round() {
    let mut world = World::new(8, 4, level(3.0, Enforcement::Hard));
    for node in &mut world.nodes {
        node.load = 3.0;
    }
    world.run(40_000).unwrap();
    // Three at once, each for half a second: six a second at the most.
    let got = world.admitted / 40.0;
    println!("{got:.2} a second of 6.0 are let in");
    assert!(got > 1.5, "{got}");
}

#[test]
fn a_node_that_is_cut_off_lives_on_its_floor() {
    let limit = rate(100.0, Enforcement::Hard);
    let mut world = World::new(4, 5, limit);
    for node in &mut world.nodes {
        node.load = 24.0;
    }
    world.run(8_000).unwrap();
    world.nodes[0].cut = true;
    world.run(10_000).unwrap();
    let has = world.nodes[0].holder.allocation(world.clock(0), ONE).unwrap();
    assert_eq!(has, world.settings.floor(&limit));
    let status = world.nodes[0].holder.status(world.clock(0));
    assert!(!status[0].leased && status[0].age_ms > Some(4_000), "{status:?}");
    // And a soft one keeps its part beyond.
    let soft = rate(100.0, Enforcement::Soft);
    assert_eq!(world.settings.floor(&soft), 100.0 * world.settings.soft_excess_fraction / 4.0);
}

/// A node that its peers judge dead goes on using what it has: nobody else has it before it is over.
#[test]
fn a_dead_nodes_share_returns_only_when_its_lease_is_surely_over() {
    let settings = Settings { nodes: 2, ..Settings::default() };
    let limit = rate(100.0, Enforcement::Hard);
    let mut lender = LeaseGranter::new(settings, [(ONE, limit)], 0);
    let mut now = settings.debited_for(&limit) + 1;
    let ask = |number, holds| LeaseRequest { limit: ONE, number, held: holds, wanted: 100.0 };
    let first = lender.grant(now, "a", 1, &ask(1, 0.0)).unwrap();
    assert!(f64::from(first.granted) <= 80.0 && first.granted > 79.0, "{first:?}");
    let died = now;
    // Its next life is another holder.
    now += 10 * MS;
    let next = lender.grant(now, "a", 2, &ask(1, 0.0)).unwrap();
    assert_eq!(next.granted, 0.0, "what the life before holds is not lent again");
    let mut number = 1;
    let mut back = None;
    while back.is_none() {
        now += 100 * MS;
        number += 1;
        let grant = lender.grant(now, "a", 2, &ask(number, 0.0)).unwrap();
        back = (grant.granted > 0.0).then_some(now - died);
    }
    let bound = settings.bounds(&limit).returns_within;
    assert!(back >= Some(settings.lease_duration) && back <= Some(bound + 200 * MS), "{back:?} of {bound}");
}

/// Guards against a late or doubled ask, and a grant for an ask that another has followed.
#[test]
fn what_is_late_or_doubled_changes_nothing() {
    let settings = Settings { nodes: 1, ..Settings::default() };
    let limit = rate(100.0, Enforcement::Hard);
    let mut lender = LeaseGranter::new(settings, [(ONE, limit)], 0);
    let mut holder = QuotaHolder::new(settings, [(ONE, "one".into(), limit)]);
    let mut now = 10_000 * MS;
    for _ in 0..50 {
        holder.admit(now, ONE, 1.0);
    }
    let first = holder.lease_requests(now)[0];
    let grant = lender.grant(now, "a", 1, &first).unwrap();
    assert_eq!(lender.grant(now, "a", 1, &first), None, "doubled");
    holder.apply_grant(now + 1, &grant);
    let held = holder.leased(now + 1, ONE);
    assert!(held > 0.0);
    now += 1_000 * MS;
    let second = holder.lease_requests(now)[0];
    holder.apply_grant(now, &LeaseGrant { granted: 1e9, ..grant });
    assert_eq!(holder.leased(now, ONE), held, "a grant for an earlier ask is void");
    lender.grant(now, "a", 1, &second).unwrap();
    assert_eq!(lender.grant(now, "a", 1, &first), None, "late");
    for bad in [f32::NAN, -1.0, f32::INFINITY] {
        assert_eq!(lender.grant(now, "a", 1, &LeaseRequest { number: 99, held: bad, ..second }), None);
        holder.apply_grant(now, &LeaseGrant { granted: bad, number: second.number, ..grant });
        assert_eq!(holder.leased(now, ONE), held);
    }
    assert_eq!(lender.grant(now, "a", 1, &LeaseRequest { limit: LimitId(77), ..second }), None);
}

/// The limit is changed while traffic flows: all have come down within the time that a lease takes.
#[test]
fn a_limit_that_is_lowered_holds_within_a_lease() {
    let mut world = World::new(4, 6, rate(100.0, Enforcement::Hard));
    for node in &mut world.nodes {
        node.load = 40.0;
    }
    world.run(8_000).unwrap();
    if let Some(lender) = &mut world.lender {
        lender.change(ONE, 40.0);
    }
    let from = world.now;
    while world.sum() > 40.0 * 1.0001 {
        world.run(20).unwrap();
        assert!(world.now - from < world.settings.lease_duration, "it still stands at {}", world.sum());
    }
    println!("lowered from 100 to 40 everywhere after {} ms", (world.now - from) / MS);
}

#[test]
fn a_refusal_says_when_asking_again_may_help() {
    let settings = Settings { nodes: 1, ..Settings::default() };
    let limit = Limit { amount: 10.0, ..rate(10.0, Enforcement::Hard) };
    let mut holder = QuotaHolder::new(settings, [(ONE, "one".into(), limit)]);
    assert!(matches!(holder.admit(1_000, ONE, 1.0), Admission::Reject(_)), "a new life has saved nothing");
    assert_eq!(holder.admit(1_000 * MS, ONE, 1.0), Admission::Admit);
    (0..4).for_each(|_| holder.consume(1_000 * MS, ONE, 1.0));
    let Admission::Reject(after) = holder.admit(1_000 * MS, ONE, 1.0) else { panic!("it owes") };
    let then = 1_000 * MS + after + 1_000;
    assert_eq!(holder.admit(then, ONE, 1.0), Admission::Admit);
}

#[test]
fn figures_that_do_not_go_together_are_told() {
    assert!(Settings::default().check().is_ok());
    assert!(Settings { lease_duration: 1_000, ..Settings::default() }.check().is_err());
    assert!(Settings { reserved_fraction: 0.95, ..Settings::default() }.check().is_err());
    assert!(Settings { nodes: 0, ..Settings::default() }.check().is_err());
}

/// What a request costs at a node with 10,000 limits of which it uses one; printed, and bounded loosely.
#[test]
fn a_decision_costs_little_whatever_the_number_of_limits() {
    let settings = Settings { nodes: 40, ..Settings::default() };
    let limits = (0..10_000u32).map(|n| (LimitId(n), format!("limit-{n}"), rate(1_000.0, Enforcement::Hard)));
    let mut holder = QuotaHolder::new(settings, limits);
    let mut now = 1_000 * MS;
    let began = std::time::Instant::now();
    let mut admitted = 0u32;
    for n in 0..200_000u32 {
        now += 50;
        let id = LimitId(n % 16);
        if holder.admit(now, id, 1.0) == Admission::Admit {
            holder.consume(now, id, 1.0);
            admitted += 1;
        }
    }
    let each = began.elapsed().as_nanos() / 200_000;
    let began = std::time::Instant::now();
    let asks = holder.lease_requests(now).len();
    println!("{each} ns a request, {:?} for {asks} asks, {admitted} let in", began.elapsed());
    assert_eq!(asks, 16, "limits that nobody uses are not asked for");
    assert!(each < 20_000, "{each} ns");
}

/// The same guard without a network: a lapse within a term forgets nothing, a new term waits.
#[test]
fn a_lapse_of_the_lead_lends_nothing_twice() {
    let settings = Settings { nodes: 2, ..Settings::default() };
    let limit = rate(100.0, Enforcement::Hard);
    let mut lending = LeaderGranter::new(settings, vec![(ONE, limit)]);
    assert!(lending.set_leadership(0, Some(3)));
    let mut now = settings.debited_for(&limit) + 1;
    let ask = |number| [LeaseRequest { limit: ONE, number, held: 0.0, wanted: 100.0 }];
    assert!(lending.grant(now, "a", 1, &ask(1))[0].granted > 79.0);
    now += 100 * MS;
    assert!(!lending.set_leadership(now, None));
    assert!(lending.grant(now, "b", 2, &ask(1)).is_empty(), "it does not lead");
    assert!(!lending.set_leadership(now + 1, Some(3)), "the same term, the same lender");
    assert_eq!(lending.grant(now + 2, "b", 2, &ask(2))[0].granted, 0.0, "all is lent to another");
    assert!(lending.set_leadership(now + 3, Some(5)));
    assert_eq!(
        lending.grant(now + 4, "b", 2, &ask(3))[0].granted,
        0.0,
        "a new lender waits for leases to end"
    );
}
