//! `pintally soak`: real processes on loopback under troubles that overlap, judged by invariants.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use pintally_soak::{soak, Options, Report, ViolationKind};

use crate::Failure;

/// More processes than this are too many for one machine.
const NODES_MAX: usize = 300;
const ENGINES_MAX: usize = 64;
const SECONDS_MAX: u64 = 3_600;

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// How many seeds, one after another.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Processes of nodes.
    #[arg(long, default_value_t = 24)]
    nodes: usize,
    /// Engines that read.
    #[arg(long, default_value_t = 5)]
    readers: usize,
    /// Engines that write.
    #[arg(long, default_value_t = 7)]
    writers: usize,
    /// For how long clients ask, in seconds.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Of a thousand system calls on sockets so many fail for a moment, at every second node.
    #[arg(long, default_value_t = 0)]
    faults: u32,
    /// Keeps the nodes' logs of runs that broke an invariant in this folder, by seed.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// The program whose nodes are played; this one by default.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Tells each trouble that was played.
    #[arg(long)]
    troubles: bool,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    check(args)?;
    let program = match &args.program {
        Some(program) => program.clone(),
        None => std::env::current_exe().map_err(Failure::failed)?,
    };
    let mut broken = 0;
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
        broken += u64::from(!report.violations.is_empty());
        if let Some(folder) = options.logs.filter(|_| report.violations.is_empty()) {
            let _ = std::fs::remove_dir_all(folder);
        }
    }
    println!("{broken} of {} seeds broke an invariant", args.seeds);
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn check(args: &Args) -> Result<(), Failure> {
    let within = |what: &str, value: u64, max: u64| match value {
        0 => Err(Failure::usage(format!("{what} must be at least 1"))),
        _ if value > max => Err(Failure::usage(format!("{what} is {value}, {max} at most"))),
        _ => Ok(()),
    };
    within("--nodes", args.nodes as u64, NODES_MAX as u64)?;
    within("--readers", args.readers as u64, ENGINES_MAX as u64)?;
    within("--writers", args.writers as u64, ENGINES_MAX as u64)?;
    within("--seconds", args.seconds, SECONDS_MAX)?;
    within("--seeds", args.seeds, u64::MAX)?;
    if args.faults > 500 {
        return Err(Failure::usage(format!("--faults is {}, 500 of a thousand at most", args.faults)));
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
        report.faults.iter().for_each(|trouble| println!("  {trouble}"));
    }
    let mut kinds: BTreeMap<ViolationKind, usize> = BTreeMap::new();
    report.violations.iter().for_each(|violation| *kinds.entry(violation.kind).or_default() += 1);
    for (kind, count) in kinds {
        println!("  {kind:?}: {count}");
    }
    report.violations.iter().take(20).for_each(|violation| println!("  {violation}"));
}
