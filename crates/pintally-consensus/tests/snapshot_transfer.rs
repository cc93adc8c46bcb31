//! Snapshot transfer to a replica that lacks compacted entries.

mod common;

use common::{leader, run_for, Cluster, NO_FAULTS};

/// Guards against a follower that installs a snapshot but records fewer applied entries than it covers.
#[test]
fn lagging_replica_receives_snapshot() {
    let mut cluster = Cluster::new(3, 13, NO_FAULTS);
    run_for(&mut cluster, 3_000);
    let lagging = (leader(&cluster).expect("a leader") + 1) % 3;
    cluster.kill(lagging);
    run_for(&mut cluster, 20_000);
    cluster.start(lagging);
    run_for(&mut cluster, 3_000);
    let leader_index = leader(&cluster).expect("a leader");
    let follower = cluster.nodes[lagging].replica.as_ref().unwrap();
    let leader = cluster.nodes[leader_index].replica.as_ref().unwrap();
    assert!(leader.last_applied() > 30, "{}", leader.last_applied());
    assert!(follower.last_applied() + 5 >= leader.last_applied());
    assert_eq!(follower.store().iter().count(), leader.store().iter().count());
}
