//! Short soak runs of the built program: eight processes under troubles that overlap, on real sockets.
//!
//! More seeds, more processes and longer runs: `pintally soak --help`.

use std::path::PathBuf;
use std::time::Duration;

use pintally_soak::{soak, Options};

/// Seeds, and of a thousand calls on sockets how many fail. Their five seconds hold stops, kills, reloads, a drain, a pause,
/// crowds, an engine that vanishes, and discovery that refuses.
const SEEDS: [(u64, u32); 2] = [(1, 0), (2, 15)];
/// Fewer requests than these tell nothing.
const ASKED_MIN: usize = 200;

#[test]
fn processes_under_overlapping_troubles_keep_every_invariant() {
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
        let report = soak(&options).expect("it can be played");
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
            report.requests_sent > ASKED_MIN && report.requests_served > ASKED_MIN / 2,
            "seed {seed}: too little to tell"
        );
        assert!(report.faults.len() >= 5, "seed {seed}: {:?}", report.faults);
    }
}
