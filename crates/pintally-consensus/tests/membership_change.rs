//! Membership changes: one replica at a time, after it has caught up.

mod common;

use common::{leader, run_for, Cluster, NO_FAULTS};
use pintally_consensus::{Output, ReplicaName};

#[test]
fn changes_one_replica_at_a_time_after_catch_up() {
    let mut cluster = Cluster::new(4, 12, NO_FAULTS);
    cluster.settings.replicas.truncate(3);
    for k in 0..4 {
        cluster.nodes[k].disk.clear();
        cluster.start(k);
    }
    run_for(&mut cluster, 12_000);
    let leader_index = leader(&cluster).expect("a leader");
    let names = cluster.names.clone();
    let change = |cluster: &mut Cluster, k: usize, replicas: Vec<ReplicaName>| {
        let (clock, mut out) = (cluster.clock(k), Vec::new());
        cluster.nodes[k].replica.as_mut().unwrap().propose_replicas(clock, 1, replicas, &mut out);
        let rejected = out.iter().any(|output| matches!(output, Output::ProposalRejected(..)));
        cluster.execute(k, out);
        !rejected
    };
    assert!(!change(&mut cluster, leader_index, names[..1].to_vec()), "two changes at once are rejected");
    assert!(!change(&mut cluster, leader_index, names.clone()), "the added replica has to catch up first");
    run_for(&mut cluster, 500);
    assert!(change(&mut cluster, leader_index, names.clone()));
    run_for(&mut cluster, 1_000);
    assert_eq!(cluster.nodes[3].replica.as_ref().unwrap().replicas().len(), 4);
    // The leader removes itself, and another replica becomes the leader.
    let remaining: Vec<ReplicaName> =
        names.iter().filter(|name| **name != names[leader_index]).cloned().collect();
    assert!(change(&mut cluster, leader_index, remaining));
    run_for(&mut cluster, 4_000);
    let next_leader = leader(&cluster).expect("a leader");
    assert_ne!(next_leader, leader_index);
    assert_eq!(cluster.nodes[next_leader].replica.as_ref().unwrap().replicas().len(), 3);
}
