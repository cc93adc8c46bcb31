//! Elections: how long they take, and that leadership ends with the lease.

mod common;

use common::{leader, run_for, Cluster, MS, NO_FAULTS};

#[test]
fn new_leader_within_max_election_duration() {
    let mut worst = 0;
    for seed in 0..40 {
        let mut cluster = Cluster::new(5, seed, NO_FAULTS);
        run_for(&mut cluster, 4_000);
        let first = leader(&cluster).expect("a leader");
        cluster.kill(first);
        let (killed, bound) = (cluster.now, cluster.settings.max_election_duration());
        while leader(&cluster).is_none() {
            run_for(&mut cluster, 10);
            // Two candidates at once split the vote; then one more round is needed.
            assert!(cluster.now < killed + 2 * bound, "seed {seed}: no leader");
        }
        worst = worst.max(cluster.now - killed);
    }
    println!("new leader after {} ms at worst", worst / MS);
}

/// Guards against a paused leader that resumes and goes on granting leases.
#[test]
fn paused_leader_knows_that_its_lease_expired() {
    let mut cluster = Cluster::new(3, 5, NO_FAULTS);
    run_for(&mut cluster, 4_000);
    let first = leader(&cluster).expect("a leader");
    cluster.nodes[first].paused_until = cluster.now + 5_000 * MS;
    run_for(&mut cluster, 4_900);
    let next = leader(&cluster).expect("another leader");
    assert_ne!(next, first);
    cluster.nodes[first].paused_until = 0;
    assert!(!cluster.is_leader(first), "it knows by its clock, before any message");
    cluster.end_faults();
    run_for(&mut cluster, 1_000);
    assert_eq!(leader(&cluster), Some(next));
}
