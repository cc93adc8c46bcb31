//! Recovery of votes: when a restarted replica may vote and lead again, depending on its disk.

mod common;

use common::{leader, run_for, Cluster, NO_FAULTS};
use pintally_consensus::{Replica, Settings};

/// A replica that lost its disk does not vote until enough of the others have responded.
#[test]
fn lost_disk_cannot_vote_before_recovery() {
    let mut cluster = Cluster::new(3, 9, NO_FAULTS);
    run_for(&mut cluster, 4_000);
    let leader_index = leader(&cluster).expect("a leader");
    let (disk_lost, other) = ((leader_index + 1) % 3, (leader_index + 2) % 3);
    cluster.kill(disk_lost);
    cluster.kill(other);
    cluster.nodes[disk_lost].disk.clear();
    cluster.start(disk_lost);
    run_for(&mut cluster, 15_000);
    assert_eq!(
        leader(&cluster),
        None,
        "an intact replica and one that lost its disk must not form a majority"
    );
    assert!(cluster.nodes[disk_lost].replica.as_ref().unwrap().is_recovering_votes());
    cluster.start(other);
    run_for(&mut cluster, 6_000);
    assert!(leader(&cluster).is_some());
    assert!(!cluster.nodes[disk_lost].replica.as_ref().unwrap().is_recovering_votes());
}

/// With one replica permanently down and another restarted with an intact disk, the store becomes available
/// again after the timeout.
#[test]
fn intact_disk_is_trusted_after_timeout() {
    let mut cluster = Cluster::new(3, 10, NO_FAULTS);
    run_for(&mut cluster, 4_000);
    let leader_index = leader(&cluster).expect("a leader");
    cluster.kill((leader_index + 1) % 3);
    cluster.kill(leader_index);
    cluster.start(leader_index);
    run_for(&mut cluster, 4_000);
    assert_eq!(leader(&cluster), None);
    run_for(&mut cluster, 6_000);
    assert!(leader(&cluster).is_some());
}

#[test]
fn single_survivor_reports_reason_and_does_not_lead() {
    let mut cluster = Cluster::new(3, 11, NO_FAULTS);
    run_for(&mut cluster, 4_000);
    let committed_before = cluster.committed.len();
    (0..3).for_each(|k| cluster.kill(k));
    cluster.start(1);
    run_for(&mut cluster, 20_000);
    assert_eq!(leader(&cluster), None);
    let status = cluster.nodes[1].replica.as_ref().unwrap().status(cluster.clock(1));
    assert!(status.reason.is_some(), "{status:?}");
    assert_eq!(cluster.committed.len(), committed_before);
}

#[test]
fn corrupt_persisted_state_is_discarded() {
    let settings = Settings::new("a", &["a", "b", "c"]);
    let replica = Replica::new(settings, Some(&[1, 2, 3, 255, 255]), true, 1, 0);
    assert!(replica.is_recovering_votes());
    assert_eq!(replica.last_log_position().index, 0);
}
