//! Fleets of many nodes in virtual time: joins, deaths, partitions, pauses, restored disks, and two
//! processes under one name.

mod common;

use common::{address, settings, Network, SECOND};
use pintally_membership::{MemberState, MembershipEvent, PeerName, ProcessIncarnation, Settings, Topic};

#[test]
fn all_members_join_through_two_seeds() {
    for seed in 0..5 {
        let mut network = Network::new(20, seed);
        let converged_at = network.run_until(20 * SECOND, Network::is_converged);
        assert!(converged_at.is_some(), "seed {seed}: not converged after 20 s");
        network.run(60 * SECOND);
        assert_eq!(network.member_down_count(), 0, "seed {seed}: no member died");
    }
}

#[test]
fn death_is_detected_within_the_bound_without_false_positives() {
    for (loss, seed) in [(0.0, 1), (0.0, 2), (0.05, 3), (0.05, 4), (0.2, 5), (0.2, 6)] {
        let mut network = Network::new(20, seed);
        network.loss = loss;
        network.run(40 * SECOND);
        let false_deaths = network.member_down_count();
        network.nodes[7].up = false;
        let died_at = network.now;
        // The bound holds without loss. A lost answer delays detection by a round at worst.
        let bound = settings(0).max_failure_detection_time(20) * if loss > 0.0 { 3 } else { 1 };
        let is_detected_by_all = |network: &Network| {
            let is_dead = |m: &pintally_membership::Member| !m.is_alive();
            let name = PeerName::from("n7");
            network.nodes.iter().filter(|n| n.up).all(|n| n.membership.member(&name).is_none_or(is_dead))
        };
        let detected_at = network.run_until(died_at + bound, is_detected_by_all);
        assert!(
            detected_at.is_some(),
            "seed {seed}, loss {loss}: not detected by all after {} s",
            bound / SECOND
        );
        if loss < 0.1 {
            assert_eq!(false_deaths, 0, "seed {seed}, loss {loss}: false deaths");
        }
    }
}

/// Guards against a process that resumes after a pause and declares the whole fleet dead, because by its
/// clock all answers are late.
#[test]
fn paused_node_declares_nobody_dead() {
    let mut network = Network::new(12, 9);
    network.run(20 * SECOND);
    assert!(network.is_converged());
    network.nodes[3].paused_until = 40 * SECOND;
    network.run(39 * SECOND);
    let name = PeerName::from("n3");
    assert!(network.nodes[0].membership.member(&name).is_some_and(|m| m.state() == MemberState::Dead));
    let rejoined_at = network.run_until(60 * SECOND, Network::is_converged);
    assert!(rejoined_at.is_some(), "the node has not rejoined");
    let events = &network.nodes[3].events;
    assert!(events
        .iter()
        .any(|e| matches!(e.1, MembershipEvent::PauseDetected(pause) if pause > 15 * SECOND)));
    assert!(
        !events.iter().any(|e| matches!(e.1, MembershipEvent::MemberDown(_))),
        "false positives: {events:?}"
    );
}

/// Guards against a disk that was restored from an older image: the node's boot number would be lower than
/// the one that peers know, and they would ignore its updates.
#[test]
fn outdated_stored_incarnation_is_corrected_by_peers() {
    let mut network = Network::new(6, 11);
    network.nodes[2].up = false;
    network.restart(2, ProcessIncarnation { boot: 9, nonce: 77 });
    network.run(15 * SECOND);
    network.nodes[2].up = false;
    network.run(16 * SECOND);
    network.restart(2, ProcessIncarnation { boot: 4, nonce: 5 });
    network.nodes[2].membership.publish(Topic(1), b"after".to_vec()).unwrap();
    network.run(30 * SECOND);
    let outdated = MembershipEvent::StoredIncarnationOutdated { previous_boot: 4, new_boot: 10 };
    assert!(network.nodes[2].events.iter().any(|e| e.1 == outdated), "{:?}", network.nodes[2].events);
    assert!(network.is_converged());
    for node in &network.nodes {
        let facts: Vec<_> = node
            .membership
            .facts(Topic(1))
            .map(|f| (f.origin.0.to_string(), f.process_incarnation.boot))
            .collect();
        assert_eq!(facts, [("n2".to_string(), 10)], "published again under the corrected boot number");
    }
}

/// Guards against two processes under one name that replace each other in their peers' tables without end.
/// One process yields, the fleet continues with the other, and no other node is affected.
#[test]
fn one_of_two_processes_with_one_name_yields() {
    for seed in 0..6 {
        let mut network = Network::new(6, seed);
        network.run(10 * SECOND);
        let duplicate = Settings { address: address(50), ..settings(4) };
        let duplicate = network.add(duplicate, ProcessIncarnation { boot: 1, nonce: 900 + 200 * (seed % 2) });
        network.run(60 * SECOND);
        let yielded: Vec<bool> =
            [4, duplicate].iter().map(|n| network.nodes[*n].membership.has_stopped()).collect();
        assert_eq!(yielded.iter().filter(|b| **b).count(), 1, "seed {seed}: {yielded:?}");
        let others = [0, 1, 2, 3, 5];
        for n in others {
            assert_eq!(network.nodes[n].membership.alive_count(), 6, "seed {seed}, n{n}");
        }
        let events = others.iter().flat_map(|n| &network.nodes[*n].events);
        let duplicated_name = PeerName::from("n4");
        let false_positives = events
            .filter(|e| matches!(&e.1, MembershipEvent::MemberDown(name) if *name != duplicated_name))
            .count();
        assert_eq!(false_positives, 0, "seed {seed}: others were declared dead");
    }
}

#[test]
fn packets_of_another_fleet_are_rejected() {
    let mut network = Network::new(4, 3);
    let foreign = Settings { fleet: "other".into(), ..settings(4) };
    let foreign = network.add(foreign, ProcessIncarnation { boot: 5, nonce: 1 });
    network.run(30 * SECOND);
    assert_eq!(network.nodes[foreign].membership.alive_count(), 1);
    for n in 0..4 {
        assert_eq!(network.nodes[n].membership.alive_count(), 4);
    }
    assert!(network.nodes[0].membership.counters().foreign > 0);
}

#[test]
fn partition_heals() {
    for seed in 0..3 {
        let mut network = Network::new(10, 20 + seed);
        network.run(20 * SECOND);
        network.partition_at(5);
        network.run(80 * SECOND);
        for (n, node) in network.nodes.iter().enumerate() {
            assert_eq!(node.membership.alive_count(), 5, "seed {seed}, n{n}: the other half is unreachable");
        }
        network.cut_links.clear();
        let converged_at = network.run_until(140 * SECOND, Network::is_converged);
        assert!(converged_at.is_some(), "seed {seed}: still partitioned 60 s after the links were restored");
    }
}

/// The link between two of three nodes is cut: they probe each other through the third.
#[test]
fn indirect_probe_prevents_false_positive_on_a_cut_link() {
    let mut network = Network::new(3, 31);
    network.run(15 * SECOND);
    network.cut_links.extend([(1, 2), (2, 1)]);
    network.run(75 * SECOND);
    assert_eq!(network.member_down_count(), 0);
    assert!(network.nodes.iter().all(|n| n.membership.alive_count() == 3));
}

/// Anti-entropy repairs the updates that gossip does not deliver under heavy loss.
#[test]
fn facts_reach_all_members_under_heavy_loss() {
    let mut network = Network::new(15, 41);
    network.run(20 * SECOND);
    network.loss = 0.5;
    network.duplication = 0.1;
    for n in 0..15 {
        network.nodes[n].membership.publish(Topic(2), vec![n as u8; 300]).unwrap();
    }
    let is_complete =
        |network: &Network| network.nodes.iter().all(|n| n.membership.facts(Topic(2)).count() == 15);
    let complete_at = network.run_until(80 * SECOND, is_complete);
    assert!(complete_at.is_some(), "not complete after 60 s at 50% loss");
    // A withdrawn fact disappears everywhere.
    network.nodes[3].membership.publish(Topic(2), Vec::new()).unwrap();
    let is_withdrawn =
        |network: &Network| network.nodes.iter().all(|n| n.membership.facts(Topic(2)).count() == 14);
    assert!(network.run_until(140 * SECOND, is_withdrawn).is_some());
}

/// The traffic of a node in steady state does not grow with the fleet, except for anti-entropy.
#[test]
fn traffic_per_node_is_independent_of_fleet_size() {
    let traffic = |n: usize| {
        let mut network = Network::new(n, 51);
        network.run_until(120 * SECOND, Network::is_converged).expect("converged");
        network.run(network.now + 60 * SECOND);
        let totals = |network: &Network| {
            network
                .nodes
                .iter()
                .map(|n| n.membership.counters())
                .fold((0, 0), |a, c| (a.0 + c.packets_sent, a.1 + c.bytes_sent))
        };
        let (before, started_at) = (totals(&network), network.now);
        network.run(started_at + 30 * SECOND);
        let after = totals(&network);
        let per_node_and_second = |a: u64, b: u64| (b - a) as f64 / n as f64 / 30.0;
        (per_node_and_second(before.0, after.0), per_node_and_second(before.1, after.1))
    };
    let (small, large) = (traffic(10), traffic(60));
    println!("packets and bytes per node and second: {small:?} with 10 nodes, {large:?} with 60");
    // Every 2 s a digest of 60 nodes is sent: 61 entries of about 14 bytes.
    assert!(large.0 < small.0 * 1.5, "packets: {small:?} {large:?}");
    assert!(large.1 < small.1 * 3.0, "bytes: {small:?} {large:?}");
}

#[test]
fn member_that_leaves_is_not_suspected() {
    let mut network = Network::new(5, 61);
    network.run(10 * SECOND);
    let mut outputs = Vec::new();
    network.nodes[1].membership.leave(&mut outputs);
    for output in outputs {
        if let pintally_membership::Output::Datagram(to, bytes) = output {
            let target = (0..5).find(|n| address(*n) == to).unwrap();
            network.nodes[target].membership.receive(network.now, address(1), &bytes, &mut Vec::new());
        }
    }
    network.nodes[1].up = false;
    network.run(40 * SECOND);
    let is_suspicion_or_death = |e: &&(u64, MembershipEvent)| {
        matches!(e.1, MembershipEvent::MemberSuspected(_) | MembershipEvent::MemberDown(_))
    };
    for n in [0, 2, 3, 4] {
        assert_eq!(network.nodes[n].events.iter().filter(is_suspicion_or_death).count(), 0);
        assert_eq!(network.nodes[n].membership.alive_count(), 4);
    }
}
