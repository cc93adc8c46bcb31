//! `pintally lab`: runs days in virtual time and compares policies.

use std::process::ExitCode;
use std::time::Duration;

use comfy_table::Table;
use pintally_benchmarks::{moves, price, MeasureError};
use pintally_lab::fleet::{self, FleetSpec};
use pintally_lab::{compare, is_supported, play, play_at_size, record, PolicyKind};
use pintally_scenario::Scenario;

use crate::measure::{print_moves, print_prices, MigrationArgs};
use crate::{read, Failure};

#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Compare the router's policy with random, least-loaded and round-robin, paired by seed.
    Policies {
        /// The day; faults that virtual time does not support are reported and left out.
        day: String,
        /// Factors of the day's request rate.
        #[arg(long, value_delimiter = ',', default_values_t = [1.0])]
        loads: Vec<f64>,
        /// Number of seeds.
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        /// Print one line of JSON for each policy and load.
        #[arg(long)]
        json: bool,
    },
    /// Measure the cost of a tenant's migration to itself and its neighbours, gradually and with all sessions at once.
    Moves {
        #[command(flatten)]
        migration: MigrationArgs,
        /// Factor of the day's request rate.
        #[arg(long, default_value_t = 1.0)]
        rate: f64,
        /// Number of seeds, each run in three variants.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
    },
    /// Measure the cost of cells: one pool compared with each number of cells, with and without lending.
    Price {
        /// A day with tenants and without cells; its faults are left out.
        day: String,
        /// Numbers of cells.
        #[arg(long, value_delimiter = ',', default_values_t = [2, 4, 8])]
        cells: Vec<usize>,
        /// Factor of the day's request rate.
        #[arg(long, default_value_t = 1.0)]
        rate: f64,
        /// Length of each run in seconds; the day's length by default.
        #[arg(long)]
        seconds: Option<f64>,
        /// Number of seeds.
        #[arg(long, default_value_t = 20)]
        seeds: u64,
    },
    /// Simulate a fleet's membership, replicas and quotas: traffic of a node, time until a failure is detected,
    /// use of a limit, which must never be exceeded.
    Fleet {
        /// Numbers of nodes.
        #[arg(long, value_delimiter = ',', default_values_t = [47, 214, 300])]
        nodes: Vec<usize>,
        /// Shares of datagrams that are lost.
        #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.05, 0.2])]
        loss: Vec<f64>,
        /// Seconds without faults.
        #[arg(long, default_value_t = 60)]
        calm: u64,
        /// Number of nodes that fail, one after the other.
        #[arg(long, default_value_t = 6)]
        deaths: usize,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of seeds for each combination.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
    },
    /// Measure the speed of the simulation with a number of engines and nodes.
    Size {
        /// The day; its engines and its rate are scaled together.
        day: String,
        /// Number of engines.
        #[arg(long, default_value_t = 110)]
        engines: usize,
        /// Number of nodes.
        #[arg(long, default_value_t = 47)]
        nodes: usize,
        /// Number of seeds.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    match &args.command {
        Command::Policies { day, loads, seeds, json } => {
            let day = load(day)?;
            let results = compare(&day, loads, day.seed..day.seed + seeds).map_err(Failure::failed)?;
            let broken = results.iter().any(|c| c.runs_with_violations > 0);
            if *json {
                for c in &results {
                    let line = serde_json::json!({
                        "policy": c.policy.name(), "load": c.load,
                        "in_time": [c.timely_share.least, c.timely_share.median, c.timely_share.most],
                        "against_module": [c.against_module.least, c.against_module.mean, c.against_module.most],
                        "p99_ms": [c.p99_ms.least, c.p99_ms.median, c.p99_ms.most],
                        "runs_with_broken_rules": c.runs_with_violations, "fell_over": c.overload_crashes,
                    });
                    println!("{line}");
                }
                return Ok(if broken { ExitCode::FAILURE } else { ExitCode::SUCCESS });
            }
            let mut table = Table::new();
            table.set_header([
                "load",
                "policy",
                "served in time",
                "less the module's, 95% interval",
                "p99 to first token, ms",
                "runs with a broken rule",
                "engines that fell over",
            ]);
            for c in &results {
                table.add_row([
                    c.load.to_string(),
                    c.policy.name().to_string(),
                    c.timely_share.to_string(),
                    c.against_module.to_string(),
                    c.p99_ms.to_string(),
                    c.runs_with_violations.to_string(),
                    c.overload_crashes.to_string(),
                ]);
            }
            println!("{table}");
            for c in &results {
                if let Some(first) = &c.first_violation {
                    println!("{} at {}: {first}", c.policy.name(), c.load);
                }
            }
            println!("share of the worth asked that was served in time; emulated engines in virtual time");
            Ok(if broken { ExitCode::FAILURE } else { ExitCode::SUCCESS })
        }
        Command::Moves { migration, rate, seeds } => {
            let mut day = load(&migration.day)?;
            day.traffic.per_second *= rate;
            let run_seed =
                |day: &Scenario, seed: u64| record(day, PolicyKind::Module, seed).map_err(MeasureError);
            let (first_seed, cores) =
                (day.seed, std::thread::available_parallelism().map_or(1, std::num::NonZero::get));
            let results = moves(
                &day,
                &migration.tenant,
                &migration.to,
                first_seed..first_seed + seeds,
                migration.groups,
                (cores, &run_seed),
            )
            .map_err(Failure::failed)?;
            print_moves(&results);
            Ok(if results.broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Command::Price { day, cells, rate, seconds, seeds } => {
            let mut day = load(day)?;
            day.length = seconds.map_or(day.length, Duration::from_secs_f64);
            day.traffic.per_second *= rate;
            let run_seed = |day: &Scenario, seed: u64| {
                let played = play(day, PolicyKind::Module, seed).map_err(MeasureError)?;
                Ok((played.timely_share, played.violations.is_empty()))
            };
            let (first_seed, cores) =
                (day.seed, std::thread::available_parallelism().map_or(1, std::num::NonZero::get));
            let results = price(&day, cells, first_seed..first_seed + seeds, cores, &run_seed)
                .map_err(Failure::failed)?;
            print_prices(&results);
            Ok(if results.iter().all(|p| p.kept) { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Command::Fleet { nodes, loss, calm, deaths, seed, seeds } => {
            for (nodes, loss) in nodes.iter().flat_map(|n| loss.iter().map(move |l| (*n, *l))) {
                if nodes < 4 || !(0.0..=0.9).contains(&loss) {
                    return Err(Failure::usage("--nodes must be at least 4 and --loss between 0 and 0.9"));
                }
                for seed in *seed..seed + seeds {
                    let (calm, deaths) = (*calm, *deaths);
                    let spec = FleetSpec { nodes, loss, calm, deaths, limit: 200.0, seed };
                    let report = fleet::play(&spec);
                    println!("{}", serde_json::to_string(&report).map_err(Failure::failed)?);
                }
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Size { day, engines, nodes, seeds } => {
            let day = load(day)?;
            let s = play_at_size(&day, *engines, *nodes, *seeds).map_err(Failure::failed)?;
            println!(
                "{} engines, {} nodes, {:.0} requests/s: {} simulated seconds per wall-clock second on one core; \
                 served in time {}; runs with a broken rule: {}",
                s.engines, s.nodes, s.per_second, s.speed, s.timely_share, s.runs_with_violations
            );
            if let Some(first) = &s.first_violation {
                println!("{first}");
            }
            Ok(if s.runs_with_violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
    }
}

/// Loads a day and reports the faults that virtual time does not support.
fn load(path: &str) -> Result<Scenario, Failure> {
    let day = Scenario::parse(path, &read(path)?).map_err(Failure::usage)?;
    let mut unsupported: Vec<String> =
        day.faults.iter().filter(|f| !is_supported(f.kind)).map(|f| format!("{:?}", f.kind)).collect();
    unsupported.dedup();
    if !unsupported.is_empty() {
        eprintln!("not played in virtual time: {}", unsupported.join(", "));
    }
    Ok(day)
}
