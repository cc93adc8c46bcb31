//! Membership changes.

mod common;

use common::{leader, run_for, Cluster, NO_FAULTS};
use pintally_consensus::{Output, ReplicaName};

#[test]
fn replicas_change_one_at_a_time_after_catching_up() {
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
        let rejected = out.iter().any(|o| matches!(o, Output::ProposalRejected(..)));
        cluster.execute(k, out);
        !rejected
    };
    assert!(!change(&mut cluster, leader_index, names[..1].to_vec()), "two changes at once are rejected");
    assert!(!change(&mut cluster, leader_index, names.clone()), "it has to catch up first");
    run_for(&mut cluster, 500);
    assert!(change(&mut cluster, leader_index, names.clone()));
    run_for(&mut cluster, 1_000);
    assert_eq!(cluster.nodes[3].replica.as_ref().unwrap().replicas().len(), 4);
    // The leader removes itself, and another replica becomes the leader.
    let remaining: Vec<ReplicaName> = names.iter().filter(|n| **n != names[leader_index]).cloned().collect();
    assert!(change(&mut cluster, leader_index, remaining));
    run_for(&mut cluster, 4_000);
    let next = leader(&cluster).expect("a leader");
    assert_ne!(next, leader_index);
    assert_eq!(cluster.nodes[next].replica.as_ref().unwrap().replicas().len(), 3);
}
