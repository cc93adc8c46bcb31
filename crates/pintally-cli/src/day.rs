//! `pintally day`: scripted days on loopback.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::process::ExitCode;

use comfy_table::Table;
use pintally_scenario::{from_bench, run_with as run_scenario, Scale, Scenario, ScenarioResult, ShapeStats};

use crate::audit::print_rules;
use crate::{read, Failure};

#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Run a day with nodes, engines, clients and faults on loopback, and audit its record.
    Run(RunArgs),
    /// Convert a bench day to a day file and print it; list the parts that have no counterpart.
    FromBench(FromBenchArgs),
}

#[derive(clap::Args)]
struct FromBenchArgs {
    /// The bench day, as JSON.
    file: String,
    /// Scale of the numbers of engines, nodes and requests per second.
    #[arg(long, default_value_t = 1.0)]
    scale: f64,
    /// Scale of the numbers of tokens in prompts, answers and memory.
    #[arg(long, default_value_t = 1.0)]
    token_scale: f64,
    /// Scale of the length of the day and of the times of its faults.
    #[arg(long, default_value_t = 1.0)]
    time_scale: f64,
}

#[derive(clap::Args)]
struct RunArgs {
    /// The day's file.
    file: String,
    /// The seed; the file's seed by default.
    #[arg(long)]
    seed: Option<u64>,
    /// The number of consecutive seeds to run, starting with the first.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Write the record to this file, for `pintally audit`.
    #[arg(long)]
    record: Option<String>,
    /// Print one line of JSON for each seed.
    #[arg(long)]
    json: bool,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    match &args.command {
        Command::Run(args) => run_day(args),
        Command::FromBench(args) => convert(args),
    }
}

fn run_day(args: &RunArgs) -> Result<ExitCode, Failure> {
    let day = Scenario::parse(&args.file, &read(&args.file)?).map_err(Failure::usage)?;
    let first_seed = args.seed.unwrap_or(day.seed);
    let mut all_kept = true;
    // Nodes that run as processes are started from this executable.
    let exe = std::env::current_exe().map_err(Failure::failed)?;
    for seed in first_seed..first_seed + args.seeds {
        let result = run_scenario(&day, seed, &exe).map_err(Failure::failed)?;
        all_kept &= result.kept();
        if let Some(path) = &args.record {
            write_record(path, &result).map_err(|e| Failure::failed(format!("{path}: {e}")))?;
        }
        if args.json {
            println!("{}", result.summary());
        } else {
            print(&result);
        }
    }
    Ok(if all_kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn convert(args: &FromBenchArgs) -> Result<ExitCode, Failure> {
    let scale = Scale { fleet: args.scale, tokens: args.token_scale, time: args.time_scale };
    let day =
        from_bench(&read(&args.file)?, scale).map_err(|e| Failure::usage(format!("{}: {e}", args.file)))?;
    print!("{}", day.text);
    day.notes.iter().for_each(|note| eprintln!("pintally: {note}"));
    Ok(ExitCode::SUCCESS)
}

fn write_record(path: &str, result: &ScenarioResult) -> std::io::Result<()> {
    let mut out = BufWriter::new(File::create(path)?);
    for line in &result.record {
        serde_json::to_writer(&mut out, line)?;
        out.write_all(b"\n")?;
    }
    out.flush()
}

fn print(result: &ScenarioResult) {
    let r = &result.report;
    println!("day {}, seed {}, {:.1} s", result.day, result.seed, result.took_s);
    println!("troubles: {}", result.troubles.join(", "));
    let mut table = Table::new();
    table.set_header(["requests", "served", "refused", "failed", "left", "died with node", "no node"]);
    let row = [r.requests, r.served, r.refused, r.failed, r.left, r.died, result.no_node];
    table.add_row(row.map(|n| n.to_string()));
    println!("{table}");
    if let Some(shapes) = &result.shapes {
        for (name, s) in [("old", shapes.old), ("new", shapes.new)] {
            let ShapeStats { nodes, asked, served, in_time, sends } = s;
            println!("{name} shape: {nodes} nodes, {asked} asked, {served} served, {in_time} in time, {sends} sends");
        }
    }
    if result.fell > 0 {
        println!("cold engines that fell over: {}", result.fell);
    }
    print_rules(r);
    println!("verdict: {}", if result.kept() { "kept" } else { "broken" });
}
