//! Short soak runs of the built executable: eight processes under overlapping faults, on real sockets.
//!
//! For more seeds, more processes and longer runs see `pintally soak --help`.

use std::path::PathBuf;
use std::time::Duration;

use pintally_soak::{soak, Options};

/// Seeds, and how many of 1000 system calls on sockets fail. The runs of five seconds include stops, kills, reloads, a
/// drain, a pause, bursts of clients, an engine that vanishes, and a discovery service that refuses connections.
const SEEDS: [(u64, u32); 2] = [(1, 0), (2, 15)];
/// With fewer requests the run proves nothing.
const MIN_REQUESTS: usize = 200;

#[test]
fn invariants_hold_under_overlapping_faults() {
    for (seed, faults_permille) in SEEDS {
        let options = Options {
            program: PathBuf::from(env!("CARGO_BIN_EXE_pintally")),
            seed,
            nodes: 8,
            readers: 3,
            writers: 4,
            client_duration: Duration::from_secs(5),
            faults_permille,
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
    }
}
