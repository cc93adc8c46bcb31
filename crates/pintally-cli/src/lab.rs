//! `pintally lab`: days in virtual time, policies side by side.

use std::process::ExitCode;
use std::time::Duration;

use comfy_table::Table;
use pintally_benchmarks::{moves, price, MeasureError};
use pintally_lab::fleet::{self, FleetSpec};
use pintally_lab::{compare, is_supported, play, play_at_size, record, PolicyKind};
use pintally_scenario::Scenario;

use crate::measure::{print_moves, print_prices, MoveOf};
use crate::{read, Failure};

#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(clap::Subcommand)]
enum What {
    /// The module beside random, least-loaded and round-robin, paired by seed.
    Policies {
        /// The day; faults that virtual time cannot play are named and left out.
        day: String,
        /// Times the day's rate.
        #[arg(long, value_delimiter = ',', default_values_t = [1.0])]
        loads: Vec<f64>,
        /// Seeds.
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        /// One line of JSON for each policy and load.
        #[arg(long)]
        json: bool,
    },
    /// What a tenant's move costs it and its neighbours, at its pace and with all sessions at once.
    Moves {
        #[command(flatten)]
        of: MoveOf,
        /// Times the day's rate.
        #[arg(long, default_value_t = 1.0)]
        rate: f64,
        /// Seeds, each played three ways.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
    },
    /// The price of cells: one pool against so many cells, with and without lending.
    Price {
        /// A day with tenants and without cells; its own faults are left out.
        day: String,
        /// Numbers of cells.
        #[arg(long, value_delimiter = ',', default_values_t = [2, 4, 8])]
        cells: Vec<usize>,
        /// Times the day's rate.
        #[arg(long, default_value_t = 1.0)]
        rate: f64,
        /// Seconds of each day, rather than the day's own.
        #[arg(long)]
        seconds: Option<f64>,
        /// Seeds.
        #[arg(long, default_value_t = 20)]
        seeds: u64,
    },
    /// A whole fleet's membership, replicas and quotas: what a node sends, how soon deaths are known, how far a
    /// limit is used and never exceeded.
    Fleet {
        /// Nodes.
        #[arg(long, value_delimiter = ',', default_values_t = [47, 214, 300])]
        nodes: Vec<usize>,
        /// Parts of datagrams that are lost.
        #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.05, 0.2])]
        loss: Vec<f64>,
        /// Seconds of calm.
        #[arg(long, default_value_t = 60)]
        calm: u64,
        /// Nodes that die, one after the other.
        #[arg(long, default_value_t = 6)]
        deaths: usize,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Seeds of each.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
    },
    /// How fast a day goes with so many engines and nodes.
    Size {
        /// The day; its engines and its rate are scaled together.
        day: String,
        /// Engines.
        #[arg(long, default_value_t = 110)]
        engines: usize,
        /// Nodes.
        #[arg(long, default_value_t = 47)]
        nodes: usize,
        /// Seeds.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    match &args.what {
        What::Policies { day, loads, seeds, json } => {
            let day = load(day)?;
            let found = compare(&day, loads, day.seed..day.seed + seeds).map_err(Failure::failed)?;
            let broken = found.iter().any(|c| c.runs_with_violations > 0);
            if *json {
                for c in &found {
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
            for c in &found {
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
            for c in &found {
                if let Some(first) = &c.first_violation {
                    println!("{} at {}: {first}", c.policy.name(), c.load);
                }
            }
            println!("share of the worth asked that was served in time; emulated engines in virtual time");
            Ok(if broken { ExitCode::FAILURE } else { ExitCode::SUCCESS })
        }
        What::Moves { of, rate, seeds } => {
            let mut day = load(&of.day)?;
            day.traffic.per_second *= rate;
            let own = |day: &Scenario, seed: u64| record(day, PolicyKind::Module, seed).map_err(MeasureError);
            let (first, cores) =
                (day.seed, std::thread::available_parallelism().map_or(1, std::num::NonZero::get));
            let found = moves(&day, &of.tenant, &of.to, first..first + seeds, of.groups, (cores, &own))
                .map_err(Failure::failed)?;
            print_moves(&found);
            Ok(if found.broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        What::Price { day, cells, rate, seconds, seeds } => {
            let mut day = load(day)?;
            day.length = seconds.map_or(day.length, Duration::from_secs_f64);
            day.traffic.per_second *= rate;
            let own = |day: &Scenario, seed: u64| {
                let played = play(day, PolicyKind::Module, seed).map_err(MeasureError)?;
                Ok((played.timely_share, played.violations.is_empty()))
            };
            let (first, cores) =
                (day.seed, std::thread::available_parallelism().map_or(1, std::num::NonZero::get));
            let found = price(&day, cells, first..first + seeds, cores, &own).map_err(Failure::failed)?;
            print_prices(&found);
            Ok(if found.iter().all(|p| p.kept) { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        What::Fleet { nodes, loss, calm, deaths, seed, seeds } => {
            for (nodes, loss) in nodes.iter().flat_map(|n| loss.iter().map(move |l| (*n, *l))) {
                if nodes < 4 || !(0.0..=0.9).contains(&loss) {
                    return Err(Failure::usage("a fleet has four nodes at least, and loses at most 0.9"));
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
        What::Size { day, engines, nodes, seeds } => {
            let day = load(day)?;
            let s = play_at_size(&day, *engines, *nodes, *seeds).map_err(Failure::failed)?;
            println!(
                "{} engines, {} nodes, {:.0} requests/s: {} seconds of the day in one of the wall's, on one core; \
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

/// A day, naming what it cannot play in virtual time.
fn load(path: &str) -> Result<Scenario, Failure> {
    let day = Scenario::parse(path, &read(path)?).map_err(Failure::usage)?;
    let mut left: Vec<String> =
        day.faults.iter().filter(|f| !is_supported(f.kind)).map(|f| format!("{:?}", f.kind)).collect();
    left.dedup();
    if !left.is_empty() {
        eprintln!("not played in virtual time: {}", left.join(", "));
    }
    Ok(day)
}
