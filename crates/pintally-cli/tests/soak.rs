//! Short soak runs of the built executable: eight processes under overlapping faults, on real sockets.
//!
//! For more seeds, more processes and longer runs see `pintally soak --help`.

use std::path::PathBuf;
use std::time::Duration;

use pintally_soak::{soak, Options};

/// A soak run: its seed, how many of 1000 system calls on sockets fail, and how long clients send requests.
struct Run {
    seed: u64,
    faults_permille: u32,
    client_duration: Duration,
}

/// The runs of five seconds include stops, kills, reloads, a drain, a pause, bursts of clients, an engine that vanishes,
/// and a discovery service that refuses connections.
const SHORT_RUNS: [Run; 2] = [
    Run { seed: 1, faults_permille: 0, client_duration: Duration::from_secs(5) },
    Run { seed: 2, faults_permille: 15, client_duration: Duration::from_secs(5) },
];
/// In these runs discovery is down for 3.5 and 3.9 s, and engines drain in that time and after it.
const RUNS_WITH_LONG_OUTAGE: [Run; 2] = [
    Run { seed: 101, faults_permille: 0, client_duration: Duration::from_secs(9) },
    Run { seed: 103, faults_permille: 0, client_duration: Duration::from_secs(9) },
];
/// With fewer requests the run proves nothing.
const MIN_REQUESTS: usize = 200;

/// Plays a run, checks its invariants, and returns the faults that were injected.
fn check_invariants(run: &Run) -> Vec<String> {
    let seed = run.seed;
    let options = Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_pintally")),
        seed,
        nodes: 8,
        readers: 3,
        writers: 4,
        client_duration: run.client_duration,
        faults_permille: run.faults_permille,
        logs: None,
    };
    let report = soak(&options).expect("the run starts");
    println!(
        "seed {seed}: {} asked, {} served, {} restarts, late {} ms; {:?}",
        report.requests_sent,
        report.requests_served,
        report.restarts,
        report.max_wake_delay.as_millis(),
        report.faults
    );
    let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    assert!(
        report.requests_sent > MIN_REQUESTS && report.requests_served > MIN_REQUESTS / 2,
        "seed {seed}: too few requests"
    );
    assert!(report.faults.len() >= 5, "seed {seed}: {:?}", report.faults);
    report.faults
}

#[test]
fn invariants_hold_under_overlapping_faults() {
    for run in &SHORT_RUNS {
        check_invariants(run);
    }
}

/// Guards against drains that are noticed late after an outage of discovery whose calls are never answered, while other
/// faults overlap with it.
#[test]
fn invariants_hold_after_long_outage_of_discovery() {
    for run in &RUNS_WITH_LONG_OUTAGE {
        let faults = check_invariants(run);
        assert!(faults.iter().any(|fault| fault.contains("DiscoveryOutage")), "{faults:?}");
    }
}
