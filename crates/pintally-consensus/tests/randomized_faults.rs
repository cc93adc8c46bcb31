//! Randomised fault injection in virtual time. The environment variable `ACCORD_RUNS` sets the number of
//! runs. Failure messages contain the seed.

mod common;

use common::{Cluster, FaultSettings, MS};

fn run_count(default: u64) -> u64 {
    std::env::var("ACCORD_RUNS").ok().and_then(|count| count.parse().ok()).unwrap_or(default)
}

/// Under faults, including one faulty disk, the replicas' logs agree and at most one replica leads at a
/// time. After the faults end, a leader is elected within 8 s and entries are committed.
#[test]
fn logs_agree_under_faults_and_progress_resumes() {
    let mut completed = 0;
    for seed in 0..run_count(1_500) {
        let n = if seed.is_multiple_of(4) { 5 } else { 3 };
        let faulty_disks = usize::from(seed % 3 == 1);
        let fault_interval = if seed.is_multiple_of(2) { 700 * MS } else { 2_500 * MS };
        let faults = FaultSettings { loss: 0.05, duplicate: 0.05, delay: 0.03, fault_interval, faulty_disks };
        let mut cluster = Cluster::new(n, seed, faults);
        cluster.run(20_000 * MS);
        cluster.end_faults();
        let bound = 8_000 * MS;
        let until = cluster.now + bound;
        cluster.run(until);
        assert!((0..n).any(|k| cluster.is_leader(k)), "seed {seed}: no leader after the faults");
        let completed_before = cluster.completed;
        let until = cluster.now + 3_000 * MS;
        cluster.run(until);
        assert!(cluster.completed > completed_before, "seed {seed}: nothing is committed after the faults");
        let leader = (0..n).find(|k| cluster.is_leader(*k)).expect("a leader was found above");
        let store = cluster.nodes[leader].replica.as_ref().unwrap().store().clone();
        let value_count = store.iter().count();
        assert!(value_count > 0, "seed {seed}: the store is empty");
        completed += cluster.completed;
    }
    println!("{completed} entries committed");
    assert!(completed > run_count(1_500) * 8, "too few entries were committed to show anything: {completed}");
}

/// A majority that restarts from older disk images may lose committed entries, but no two replicas lead at
/// the same time, so everything that depends only on the leader's lease stays safe.
#[test]
fn leaders_never_overlap_with_all_disks_faulty() {
    for seed in 0..run_count(1_500) / 3 {
        let faults = FaultSettings {
            loss: 0.05,
            duplicate: 0.05,
            delay: 0.03,
            fault_interval: 900 * MS,
            faulty_disks: 3,
        };
        let mut cluster = Cluster::new(3, seed, faults);
        cluster.run(25_000 * MS);
    }
}
