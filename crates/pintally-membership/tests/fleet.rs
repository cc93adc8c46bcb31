//! Fleets of many nodes in virtual time: joining, deaths, cuts, pauses, disks that went back, twins.

mod common;

use common::{address, settings, Net, SECOND};
use pintally_membership::{MemberState, MembershipEvent, PeerName, ProcessIncarnation, Settings, Topic};

#[test]
fn everybody_knows_everybody_from_two_seeds() {
    for seed in 0..5 {
        let mut net = Net::new(20, seed);
        let at = net.run_until(20 * SECOND, Net::whole);
        assert!(at.is_some(), "seed {seed}: not whole after 20 s");
        net.run(60 * SECOND);
        assert_eq!(net.downs(), 0, "seed {seed}: nobody died");
    }
}

#[test]
fn a_death_is_known_within_the_stated_time_and_nobody_else_is_mourned() {
    for (loss, seed) in [(0.0, 1), (0.0, 2), (0.05, 3), (0.05, 4), (0.2, 5), (0.2, 6)] {
        let mut net = Net::new(20, seed);
        net.loss = loss;
        net.run(40 * SECOND);
        let before = net.downs();
        net.nodes[7].up = false;
        let died = net.now;
        // Loss costs answers, and each costs a round at worst; the bound is for none.
        let bound = settings(0).max_failure_detection_time(20) * if loss > 0.0 { 3 } else { 1 };
        let known = |n: &Net| {
            let dead = |m: &pintally_membership::Member| !m.is_alive();
            let name = PeerName::from("n7");
            n.nodes.iter().filter(|n| n.up).all(|n| n.peers.member(&name).is_none_or(dead))
        };
        let at = net.run_until(died + bound, known);
        assert!(at.is_some(), "seed {seed}, loss {loss}: not known to all after {} s", bound / SECOND);
        if loss < 0.1 {
            assert_eq!(before, 0, "seed {seed}, loss {loss}: false deaths");
        }
    }
}

/// Guards against a paused process that wakes and takes the whole fleet for dead, since all answers are
/// late by its clock.
#[test]
fn a_node_that_stood_still_blames_itself() {
    let mut net = Net::new(12, 9);
    net.run(20 * SECOND);
    assert!(net.whole());
    net.nodes[3].paused_until = 40 * SECOND;
    net.run(39 * SECOND);
    let name = PeerName::from("n3");
    assert!(net.nodes[0].peers.member(&name).is_some_and(|m| m.standing() == MemberState::Dead));
    let back = net.run_until(60 * SECOND, Net::whole);
    assert!(back.is_some(), "the node is not taken back");
    let own = &net.nodes[3].notices;
    assert!(own.iter().any(|n| matches!(n.1, MembershipEvent::StoodStill(late) if late > 15 * SECOND)));
    assert!(!own.iter().any(|n| matches!(n.1, MembershipEvent::MemberDown(_))), "it has mourned: {own:?}");
}

/// Guards against a disk that came back older: the node's numbers would be lower than what peers
/// remember, and nothing that it says would be believed.
#[test]
fn a_disk_that_went_back_is_seen_by_what_peers_remember() {
    let mut net = Net::new(6, 11);
    net.nodes[2].up = false;
    net.restart(2, ProcessIncarnation { boot: 9, mark: 77 });
    net.run(15 * SECOND);
    net.nodes[2].up = false;
    net.run(16 * SECOND);
    net.restart(2, ProcessIncarnation { boot: 4, mark: 5 });
    net.nodes[2].peers.publish(Topic(1), b"after".to_vec()).unwrap();
    net.run(30 * SECOND);
    let went_back = MembershipEvent::StoredIncarnationOutdated { own: 4, now: 10 };
    assert!(net.nodes[2].notices.iter().any(|n| n.1 == went_back), "{:?}", net.nodes[2].notices);
    assert!(net.whole());
    for node in &net.nodes {
        let said: Vec<_> =
            node.peers.facts(Topic(1)).map(|f| (f.origin.0.to_string(), f.life.boot)).collect();
        assert_eq!(said, [("n2".to_string(), 10)], "said again under the number that holds");
    }
}

/// Guards against two processes under one name that take turns in everybody's eyes: one steps back, the
/// fleet goes on with the other, and no third node is harmed.
#[test]
fn of_two_processes_under_one_name_one_steps_back() {
    for seed in 0..6 {
        let mut net = Net::new(6, seed);
        net.run(10 * SECOND);
        let twin = Settings { address: address(50), ..settings(4) };
        let twin = net.add(twin, ProcessIncarnation { boot: 1, mark: 900 + 200 * (seed % 2) });
        net.run(60 * SECOND);
        let back: Vec<bool> = [4, twin].iter().map(|n| net.nodes[*n].peers.has_yielded_name()).collect();
        assert_eq!(back.iter().filter(|b| **b).count(), 1, "seed {seed}: {back:?}");
        let others = [0, 1, 2, 3, 5];
        for n in others {
            assert_eq!(net.nodes[n].peers.alive_count(), 6, "seed {seed}, n{n}");
        }
        let harmed = others.iter().flat_map(|n| &net.nodes[*n].notices);
        let own = PeerName::from("n4");
        let wrong =
            harmed.filter(|n| matches!(&n.1, MembershipEvent::MemberDown(name) if *name != own)).count();
        assert_eq!(wrong, 0, "seed {seed}: others were mourned");
    }
}

#[test]
fn another_fleet_under_the_same_addresses_is_told_apart() {
    let mut net = Net::new(4, 3);
    let foreign = Settings { fleet: "other".into(), ..settings(4) };
    let foreign = net.add(foreign, ProcessIncarnation { boot: 5, mark: 1 });
    net.run(30 * SECOND);
    assert_eq!(net.nodes[foreign].peers.alive_count(), 1);
    for n in 0..4 {
        assert_eq!(net.nodes[n].peers.alive_count(), 4);
    }
    assert!(net.nodes[0].peers.counters().foreign > 0);
}

#[test]
fn halves_find_each_other_again() {
    for seed in 0..3 {
        let mut net = Net::new(10, 20 + seed);
        net.run(20 * SECOND);
        net.cut_halves(5);
        net.run(80 * SECOND);
        for (n, node) in net.nodes.iter().enumerate() {
            assert_eq!(node.peers.alive_count(), 5, "seed {seed}, n{n}: the other half is out of reach");
        }
        net.cut.clear();
        let at = net.run_until(140 * SECOND, Net::whole);
        assert!(at.is_some(), "seed {seed}: still apart 60 s after the cut was healed");
    }
}

/// A side of a triangle is missing: who cannot be reached directly is probed through the third.
#[test]
fn a_missing_side_of_a_triangle_kills_nobody() {
    let mut net = Net::new(3, 31);
    net.run(15 * SECOND);
    net.cut.extend([(1, 2), (2, 1)]);
    net.run(75 * SECOND);
    assert_eq!(net.downs(), 0);
    assert!(net.nodes.iter().all(|n| n.peers.alive_count() == 3));
}

/// Facts reach everyone though most packets are lost: comparing digests repairs what spread has missed.
#[test]
fn facts_reach_everyone_through_heavy_loss() {
    let mut net = Net::new(15, 41);
    net.run(20 * SECOND);
    net.loss = 0.5;
    net.doubled = 0.1;
    for n in 0..15 {
        net.nodes[n].peers.publish(Topic(2), vec![n as u8; 300]).unwrap();
    }
    let all = |net: &Net| net.nodes.iter().all(|n| n.peers.facts(Topic(2)).count() == 15);
    let at = net.run_until(80 * SECOND, all);
    assert!(at.is_some(), "not everywhere after 60 s at 50% loss");
    // Taken back, it is gone everywhere.
    net.nodes[3].peers.publish(Topic(2), Vec::new()).unwrap();
    let gone = |net: &Net| net.nodes.iter().all(|n| n.peers.facts(Topic(2)).count() == 14);
    assert!(net.run_until(140 * SECOND, gone).is_some());
}

/// What a node sends in calm does not grow with the fleet, but for the comparison of digests.
#[test]
fn the_cost_of_a_node_is_flat() {
    let cost = |n: usize| {
        let mut net = Net::new(n, 51);
        net.run_until(120 * SECOND, Net::whole).expect("whole");
        net.run(net.now + 60 * SECOND);
        let sum = |net: &Net| {
            net.nodes.iter().map(|n| n.peers.counters()).fold((0, 0), |a, c| (a.0 + c.sent, a.1 + c.bytes))
        };
        let (before, from) = (sum(&net), net.now);
        net.run(from + 30 * SECOND);
        let after = sum(&net);
        let per = |a: u64, b: u64| (b - a) as f64 / n as f64 / 30.0;
        (per(before.0, after.0), per(before.1, after.1))
    };
    let (small, large) = (cost(10), cost(60));
    println!("packets and bytes a node and second: {small:?} with 10 nodes, {large:?} with 60");
    // A digest of 60 nodes is sent every 2 s: 61 entries of some 14 bytes.
    assert!(large.0 < small.0 * 1.5, "packets: {small:?} {large:?}");
    assert!(large.1 < small.1 * 3.0, "bytes: {small:?} {large:?}");
}

#[test]
fn who_leaves_is_not_suspected() {
    let mut net = Net::new(5, 61);
    net.run(10 * SECOND);
    let mut out = Vec::new();
    net.nodes[1].peers.leave(&mut out);
    for one in out {
        if let pintally_membership::Output::Datagram(to, bytes) = one {
            let target = (0..5).find(|n| address(*n) == to).unwrap();
            net.nodes[target].peers.receive(net.now, address(1), &bytes, &mut Vec::new());
        }
    }
    net.nodes[1].up = false;
    net.run(40 * SECOND);
    let suspected = |n: &&(u64, MembershipEvent)| {
        matches!(n.1, MembershipEvent::MemberSuspected(_) | MembershipEvent::MemberDown(_))
    };
    for n in [0, 2, 3, 4] {
        assert_eq!(net.nodes[n].notices.iter().filter(suspected).count(), 0);
        assert_eq!(net.nodes[n].peers.alive_count(), 4);
    }
}
