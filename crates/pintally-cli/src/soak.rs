//! `pintally soak`: runs real processes on loopback under overlapping faults and checks invariants.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use pintally_soak::{soak, Options, Report, ViolationKind};

use crate::Failure;

/// Upper bounds of what one machine can run.
const NODES_MAX: usize = 300;
const ENGINES_MAX: usize = 64;
const SECONDS_MAX: u64 = 3_600;

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of nodes, each a process.
    #[arg(long, default_value_t = 24)]
    nodes: usize,
    /// Number of readers.
    #[arg(long, default_value_t = 5)]
    readers: usize,
    /// Number of writers.
    #[arg(long, default_value_t = 7)]
    writers: usize,
    /// How long clients send requests, in seconds.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// How many of 1000 system calls on sockets fail temporarily, at every second node.
    #[arg(long, default_value_t = 0)]
    faults: u32,
    /// Keep the nodes' logs of runs that broke an invariant in this folder, by seed.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// The executable of the nodes; this one by default.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Print each fault that was injected.
    #[arg(long)]
    troubles: bool,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    check_args(args)?;
    let program = match &args.program {
        Some(program) => program.clone(),
        None => std::env::current_exe().map_err(Failure::failed)?,
    };
    let mut failed_seeds = 0;
    for seed in args.from..args.from.saturating_add(args.seeds) {
        let options = Options {
            program: program.clone(),
            seed,
            nodes: args.nodes,
            readers: args.readers,
            writers: args.writers,
            client_duration: Duration::from_secs(args.seconds),
            faults_permille: args.faults,
            logs: args.logs.as_ref().map(|folder| folder.join(format!("seed-{seed}"))),
        };
        let report = soak(&options).map_err(|e| Failure::failed(format!("seed {seed}: {e}")))?;
        print_report(seed, &report, args.troubles);
        failed_seeds += u64::from(!report.violations.is_empty());
        if let Some(folder) = options.logs.filter(|_| report.violations.is_empty()) {
            let _ = std::fs::remove_dir_all(folder);
        }
    }
    println!("{failed_seeds} of {} seeds broke an invariant", args.seeds);
    Ok(if failed_seeds == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn check_args(args: &Args) -> Result<(), Failure> {
    let check_range = |flag: &str, value: u64, max: u64| match value {
        0 => Err(Failure::usage(format!("{flag} must be at least 1"))),
        _ if value > max => Err(Failure::usage(format!("{flag} is {value}, but must be at most {max}"))),
        _ => Ok(()),
    };
    check_range("--nodes", args.nodes as u64, NODES_MAX as u64)?;
    check_range("--readers", args.readers as u64, ENGINES_MAX as u64)?;
    check_range("--writers", args.writers as u64, ENGINES_MAX as u64)?;
    check_range("--seconds", args.seconds, SECONDS_MAX)?;
    check_range("--seeds", args.seeds, u64::MAX)?;
    if args.faults > 500 {
        return Err(Failure::usage(format!(
            "--faults is {}, but must be at most 500 (per 1000 calls)",
            args.faults
        )));
    }
    Ok(())
}

fn print_report(seed: u64, report: &Report, troubles: bool) {
    println!(
        "seed {seed}: {} asked, {} served, {} attempts, {} restarts, {} troubles, late {} ms: {} violations",
        report.requests_sent,
        report.requests_served,
        report.attempts,
        report.restarts,
        report.faults.len(),
        report.max_wake_delay.as_millis(),
        report.violations.len()
    );
    if troubles {
        report.faults.iter().for_each(|fault| println!("  {fault}"));
    }
    let mut kinds: BTreeMap<ViolationKind, usize> = BTreeMap::new();
    report.violations.iter().for_each(|violation| *kinds.entry(violation.kind).or_default() += 1);
    for (kind, count) in kinds {
        println!("  {kind:?}: {count}");
    }
    report.violations.iter().take(20).for_each(|violation| println!("  {violation}"));
}
