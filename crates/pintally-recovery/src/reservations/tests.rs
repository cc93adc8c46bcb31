use std::collections::HashMap;

use pintally::interface::{EngineId, RequestId};

use super::backup::{MAX_RESERVATIONS, MAX_RESERVATIONS_PER_NODE};
use super::publisher::{BACKUP_NODES, MAX_MESSAGES_AT_ONCE};
use super::*;

const MS: Micros = 1_000;

fn reservations(n: usize) -> Vec<Reservation> {
    (0..n).map(|i| (EngineId("r1".into()), RequestId(format!("n0-1-{i}.0").as_str().into()))).collect()
}

/// Publishes every 50 ms from `from` to `to`; every `loss_interval`-th message is lost.
fn publish_for(
    publisher: &mut ReservationPublisher,
    backup: &mut BackupNode,
    from: Micros,
    to: Micros,
    all: &[Reservation],
    loss_interval: usize,
) {
    let mut messages = 0;
    for now in (from..to).step_by(50 * MS as usize) {
        for message in publisher.publish_due(now, 7, all, &["g".into()]) {
            messages += 1;
            if messages % loss_interval != 0 {
                backup.receive_reservations(now, "n0", &message);
            }
        }
    }
}

/// Guards against reservations that are held until their engines expire them because their node never
/// returns.
#[test]
fn reservations_of_dead_node_are_released_after_delay() {
    let (mut publisher, mut backup) = (ReservationPublisher::default(), BackupNode::new(3_000 * MS));
    let all = reservations(200);
    publish_for(&mut publisher, &mut backup, 0, 2_000 * MS, &all, 3);
    assert_eq!(backup.stored, 200);
    backup.node_down(2_500 * MS, "n0");
    backup.node_down(4_000 * MS, "n0");
    assert!(backup.take_due_reservations(5_400 * MS).is_empty(), "too early");
    let due = backup.take_due_reservations(5_500 * MS);
    assert_eq!((due.len(), &*due[0].0, due[0].1.len()), (1, "n0", 200));
    assert!(backup.take_due_reservations(9_000 * MS).is_empty() && backup.stored == 0);
}

/// Guards against releasing the reservations of a node that was only partitioned or paused.
#[test]
fn returning_node_keeps_its_reservations() {
    for by_message in [true, false] {
        let (mut publisher, mut backup) = (ReservationPublisher::default(), BackupNode::new(3_000 * MS));
        publish_for(&mut publisher, &mut backup, 0, 1_000 * MS, &reservations(3), 100);
        backup.node_down(1_000 * MS, "n0");
        if by_message {
            publish_for(&mut publisher, &mut backup, 2_000 * MS, 2_600 * MS, &reservations(3), 100);
        } else {
            backup.node_up("n0", 7);
        }
        assert!(backup.take_due_reservations(60_000 * MS).is_empty());
    }
    // Another process of the node does not keep the reservations, and a node that has left holds none.
    let (mut publisher, mut backup) = (ReservationPublisher::default(), BackupNode::new(3_000 * MS));
    publish_for(&mut publisher, &mut backup, 0, 1_000 * MS, &reservations(3), 100);
    backup.node_down(1_000 * MS, "n0");
    backup.node_up("n0", 8);
    assert_eq!(backup.take_due_reservations(4_000 * MS).len(), 1);
    publish_for(&mut publisher, &mut backup, 5_000 * MS, 6_000 * MS, &reservations(3), 100);
    backup.node_left("n0");
    backup.node_down(6_000 * MS, "n0");
    assert!(backup.take_due_reservations(60_000 * MS).is_empty() && backup.stored == 0);
}

/// Guards against unbounded messages and tables: short reservations are not published, and reservations that
/// are no longer published are dropped.
#[test]
fn messages_and_stored_reservations_are_bounded() {
    let (mut publisher, mut backup) = (ReservationPublisher::default(), BackupNode::new(3_000 * MS));
    assert!(
        publisher.publish_due(0, 7, &reservations(10), &["g".into()]).is_empty(),
        "not held for long enough"
    );
    assert!(publisher.publish_due(50 * MS, 7, &reservations(10), &[]).is_empty(), "no backup nodes");
    let many = reservations(5_000);
    publisher.publish_due(60 * MS, 7, &many, &["g".into()]);
    let messages = publisher.publish_due(200 * MS, 7, &many, &["g".into()]);
    assert_eq!(messages.len(), MAX_MESSAGES_AT_ONCE);
    assert!(
        messages.iter().all(|message| message.len() <= 1_100),
        "{:?}",
        messages.iter().map(Vec::len).max()
    );
    for round in 0..80 {
        let now = 250 * MS + round * 20 * MS;
        publisher
            .publish_due(now, 7, &many, &["g".into()])
            .iter()
            .for_each(|message| backup.receive_reservations(now, "n0", message));
    }
    assert!(backup.stored <= MAX_RESERVATIONS_PER_NODE);
    for other in 0..40 {
        let name = format!("n{other}");
        let reservations = (0..2_000).map(|n| ("r".into(), format!("{name}-{n}"))).collect();
        let message = serde_json::to_vec(&ReservationMessage { process: 1, reservations }).unwrap();
        backup.receive_reservations(10_000 * MS, &name, &message);
    }
    assert_eq!(backup.stored, MAX_RESERVATIONS);
    // A malformed message is ignored.
    backup.receive_reservations(10_000 * MS, "n0", b"{\"life\":");
    for other in 0..40 {
        let message =
            serde_json::to_vec(&ReservationMessage { process: 1, reservations: Vec::new() }).unwrap();
        backup.receive_reservations(20_000 * MS, &format!("n{other}"), &message);
    }
    assert_eq!(backup.stored, 0);
}

#[test]
fn backup_nodes_are_balanced_and_stable() {
    let names: Vec<String> = (0..30).map(|n| format!("n{n}")).collect();
    let backup_nodes_of = |own: usize, gone: usize| {
        let alive = names.iter().enumerate().filter(|(n, _)| *n != own && *n != gone);
        ReservationPublisher::backup_nodes(&names[own], alive.map(|(_, n)| n.as_str()))
    };
    let mut counts: HashMap<String, usize> = HashMap::new();
    for own in 0..30 {
        let backup_nodes = backup_nodes_of(own, 99);
        assert_eq!(backup_nodes.len(), BACKUP_NODES);
        backup_nodes.iter().for_each(|name| *counts.entry(name.clone()).or_default() += 1);
        // If one of the two backup nodes is gone, the other one stays the same.
        let gone = names.iter().position(|n| *n == backup_nodes[0]).unwrap();
        assert_eq!(backup_nodes_of(own, gone)[0], backup_nodes[1]);
    }
    assert!(counts.values().all(|n| *n <= 8), "{counts:?}");
    assert!(ReservationPublisher::backup_nodes("n0", std::iter::empty()).is_empty());
}
