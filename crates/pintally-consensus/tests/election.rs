//! Elections: their duration, and the end of leadership with the lease.

mod common;

use common::{leader, run_for, Cluster, MS, NO_FAULTS};

#[test]
fn elects_leader_within_max_election_duration() {
    let mut max_duration = 0;
    for seed in 0..40 {
        let mut cluster = Cluster::new(5, seed, NO_FAULTS);
        run_for(&mut cluster, 4_000);
        let first_leader = leader(&cluster).expect("a leader");
        cluster.kill(first_leader);
        let (killed_at, bound) = (cluster.now, cluster.settings.max_election_duration());
        while leader(&cluster).is_none() {
            run_for(&mut cluster, 10);
            // Two simultaneous candidates can split the vote; another round is needed then.
            assert!(cluster.now < killed_at + 2 * bound, "seed {seed}: no leader");
        }
        max_duration = max_duration.max(cluster.now - killed_at);
    }
    println!("new leader after at most {} ms", max_duration / MS);
}

/// Guards against a leader that was paused and continues to grant leases when it resumes.
#[test]
fn paused_leader_detects_expired_lease() {
    let mut cluster = Cluster::new(3, 5, NO_FAULTS);
    run_for(&mut cluster, 4_000);
    let first_leader = leader(&cluster).expect("a leader");
    cluster.nodes[first_leader].paused_until = cluster.now + 5_000 * MS;
    run_for(&mut cluster, 4_900);
    let next_leader = leader(&cluster).expect("another leader");
    assert_ne!(next_leader, first_leader);
    cluster.nodes[first_leader].paused_until = 0;
    assert!(!cluster.is_leader(first_leader), "its clock shows the expiry before any message arrives");
    cluster.end_faults();
    run_for(&mut cluster, 1_000);
    assert_eq!(leader(&cluster), Some(next_leader));
}
