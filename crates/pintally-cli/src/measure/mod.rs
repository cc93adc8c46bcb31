//! `pintally measure`: measures one node against a baseline.

use std::process::ExitCode;
use std::time::Duration;

use comfy_table::Table;
use pintally_benchmarks::{
    added_latency, deciding, emulated, flood, moves, open_streams, over_sockets, plans, price, recorded,
    saturation,
};
use pintally_scenario::Scenario;

use crate::{read, Failure};

mod tables;

use tables::print_added;
pub(crate) use tables::{print_moves, print_prices};

#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    measurement: Measurement,
}

#[derive(clap::Subcommand)]
enum Measurement {
    /// Added time to first token, compared with a client that sends directly to the engines.
    Latency {
        /// Requests per second.
        #[arg(long, default_value_t = 1000.0)]
        rate: f64,
        /// Number of pairs of blocks.
        #[arg(long, default_value_t = 5)]
        blocks: usize,
        /// Length of a block in seconds.
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
    },
    /// The largest rate at which the added p99 stays under 10 ms.
    Rate {
        /// Rates to try, in ascending order.
        #[arg(long, value_delimiter = ',', default_values_t = [500.0, 1000.0, 1500.0, 2000.0, 3000.0, 4000.0])]
        rates: Vec<f64>,
        /// Length of a block in seconds.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
    },
    /// The share of time in which the decision thread is busy.
    Deciding {
        /// Numbers of engines, a third of them readers.
        #[arg(long, value_delimiter = ',', default_values_t = [10, 110])]
        engines: Vec<usize>,
        /// Requests per second.
        #[arg(long, default_value_t = 500.0)]
        rate: f64,
    },
    /// The cost of one tenant's flood to tenants of other cells, with cells and with one pool.
    Flood {
        /// A day with cells; its faults are left out.
        day: String,
        /// The tenant that floods.
        #[arg(long)]
        tenant: String,
        /// Factor of its usual share.
        #[arg(long, default_value_t = 10.0)]
        times: f64,
        /// Number of seeds, each a pair of concurrent runs.
        #[arg(long, default_value_t = 6)]
        seeds: u64,
        /// Length of each run in seconds.
        #[arg(long, default_value_t = 12.0)]
        seconds: f64,
        /// Numbers of nodes.
        #[arg(long, value_delimiter = ',', default_values_t = [1, 3])]
        nodes: Vec<usize>,
    },
    /// The cost of a tenant's migration to itself and its neighbours, gradually and with all sessions at once.
    Moves {
        #[command(flatten)]
        migration: MigrationArgs,
        /// Number of seeds, each run concurrently in three variants.
        #[arg(long, default_value_t = 25)]
        seeds: u64,
    },
    /// The cost of cells: one pool compared with each number of cells, with and without lending.
    Price {
        /// A day with tenants and without cells; its faults are left out.
        day: String,
        /// Numbers of cells.
        #[arg(long, value_delimiter = ',', default_values_t = [2, 4, 8])]
        cells: Vec<usize>,
        /// Number of seeds.
        #[arg(long, default_value_t = 4)]
        seeds: u64,
    },
    /// Placements of generated fleets: the solver's compared with greedy ones.
    Plans {
        /// Numbers of tenants.
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000])]
        tenants: Vec<usize>,
        /// Number of fleets of each size.
        #[arg(long, default_value_t = 5)]
        fleets: usize,
        /// Give the fleet hardly more engines than all cells need together, none spare.
        #[arg(long)]
        tight: bool,
        /// Time limit of the solver for each fleet, in seconds.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
    },
    /// The cost of the emulator itself, in virtual time and without sockets.
    Emulator {
        /// Numbers of engines, a third of them readers.
        #[arg(long, value_delimiter = ',', default_values_t = [10, 110])]
        engines: Vec<usize>,
        /// Requests per second for each engine.
        #[arg(long, default_value_t = 4.0)]
        each: f64,
        /// Length of each run in virtual seconds.
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// Number of seeds.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// The number of streams that a node keeps open and the memory of each.
    Streams {
        /// Number of streams to open.
        #[arg(long, default_value_t = 10_000)]
        count: usize,
    },
}

/// The migration to measure.
#[derive(clap::Args)]
pub(crate) struct MigrationArgs {
    /// A day with cells; its faults are left out.
    pub(crate) day: String,
    /// The tenant that is migrated.
    #[arg(long)]
    pub(crate) tenant: String,
    /// The cell that receives the tenant.
    #[arg(long)]
    pub(crate) to: String,
    /// Number of groups into which seeds are divided to compute the spread.
    #[arg(long, default_value_t = 5)]
    pub(crate) groups: usize,
}

/// Runs one measurement and prints its table.
pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    let outcome = match &args.measurement {
        Measurement::Latency { rate, blocks, seconds } => added_latency_at(*rate, *blocks, *seconds),
        Measurement::Rate { rates, seconds } => carried_rate(rates, *seconds),
        Measurement::Deciding { engines, rate } => decision_time(engines, *rate),
        Measurement::Flood { day, tenant, times, seeds, seconds, nodes } => {
            tenant_flood(day, tenant, *times, *seeds, *seconds, nodes)
        }
        Measurement::Moves { migration, seeds } => migration_cost(migration, *seeds),
        Measurement::Price { day, cells, seeds } => price_of_cells(day, cells, *seeds),
        Measurement::Plans { tenants, fleets, tight, seconds } => {
            placements(tenants, *fleets, *tight, *seconds)
        }
        Measurement::Emulator { engines, each, seconds, seeds } => {
            emulator_cost(engines, *each, *seconds, *seeds)
        }
        Measurement::Streams { count } => open_stream_memory(*count),
    }?;
    if outcome == Outcome::RuleBroken {
        return Ok(ExitCode::FAILURE);
    }
    println!("simulated engines; median (least to most) over blocks");
    Ok(ExitCode::SUCCESS)
}

/// How a measurement ended.
#[derive(PartialEq, Eq)]
enum Outcome {
    Measured,
    RuleBroken,
}

fn parse_day(path: &str) -> Result<Scenario, Failure> {
    Scenario::parse(path, &read(path)?).map_err(Failure::usage)
}

/// Measures the time to first token that the node adds.
fn added_latency_at(rate: f64, blocks: usize, seconds: f64) -> Result<Outcome, Failure> {
    let added = added_latency(rate, blocks, Duration::from_secs_f64(seconds)).map_err(Failure::failed)?;
    print_added(&[added]);
    Ok(Outcome::Measured)
}

/// Measures the largest rate that the node sustains, with the steps on the way to it.
fn carried_rate(rates: &[f64], seconds: f64) -> Result<Outcome, Failure> {
    let limit = Duration::from_millis(10);
    let result = saturation(rates, limit, Duration::from_secs_f64(seconds)).map_err(Failure::failed)?;
    print_added(&result.steps);
    match result.carried {
        Some(rate) => println!("carried: {rate} requests a second with an added p99 under 10 ms"),
        None => println!("carried: none of these rates"),
    }
    Ok(Outcome::Measured)
}

/// Measures the share of time in which the decision thread is busy.
fn decision_time(engines: &[usize], rate: f64) -> Result<Outcome, Failure> {
    let mut table = Table::new();
    table.set_header(["engines", "requests/s", "share of time", "us for each request"]);
    for count in engines {
        let d = deciding(*count, rate, 3, Duration::from_secs(4)).map_err(Failure::failed)?;
        table.add_row([
            d.engines.to_string(),
            d.per_second.to_string(),
            d.share.to_string(),
            d.per_request_us.to_string(),
        ]);
    }
    println!("{table}");
    Ok(Outcome::Measured)
}

/// Measures the cost of one tenant's flood to tenants of other cells.
fn tenant_flood(
    day: &str,
    tenant: &str,
    times: f64,
    seeds: u64,
    seconds: f64,
    nodes: &[usize],
) -> Result<Outcome, Failure> {
    let base = parse_day(day)?;
    let mut table = Table::new();
    table.set_header(["nodes", "", "quiet", "flood", "change, 95% interval", "pairs", "rules"]);
    for node_count in nodes {
        let mut day = base.clone();
        day.nodes = *node_count;
        day.length = Duration::from_secs_f64(seconds);
        let first_seed = day.seed;
        for result in flood(&day, tenant, times, first_seed..first_seed + seeds).map_err(Failure::failed)? {
            table.add_row([
                node_count.to_string(),
                result.name.to_string(),
                result.quiet.to_string(),
                result.flood.to_string(),
                result.change.to_string(),
                result.pairs.to_string(),
                if result.kept { "kept".to_string() } else { "broken".to_string() },
            ]);
        }
    }
    println!("{table}");
    println!("share of the worth asked by tenants of other cells that was served in time");
    Ok(Outcome::Measured)
}

/// Measures the cost of a migration; fails if a run broke a rule.
fn migration_cost(migration: &MigrationArgs, seeds: u64) -> Result<Outcome, Failure> {
    let day = parse_day(&migration.day)?;
    let first_seed = day.seed;
    // Two seeds at a time are six runs, which the machine can run without delaying them.
    let result = moves(
        &day,
        &migration.tenant,
        &migration.to,
        first_seed..first_seed + seeds,
        migration.groups,
        (2, &recorded),
    )
    .map_err(Failure::failed)?;
    print_moves(&result);
    if result.broken > 0 {
        return Ok(Outcome::RuleBroken);
    }
    Ok(Outcome::Measured)
}

/// Measures the cost of cells.
fn price_of_cells(day: &str, cells: &[usize], seeds: u64) -> Result<Outcome, Failure> {
    let day = parse_day(day)?;
    let first_seed = day.seed;
    // Two at a time: more would overload the machine, which runs the node, the engines and the clients.
    let result =
        price(&day, cells, first_seed..first_seed + seeds, 2, &over_sockets).map_err(Failure::failed)?;
    print_prices(&result);
    Ok(Outcome::Measured)
}

/// Compares placements of generated fleets by the solver and by the greedy rule.
fn placements(tenants: &[usize], fleets: usize, tight: bool, seconds: f64) -> Result<Outcome, Failure> {
    let mut table = Table::new();
    table.set_header([
        "tenants",
        "cells",
        "fleets",
        "planned",
        "gave up",
        "greedy planned",
        "solver, s",
        "greedy, s",
        "greedy's cost over the model's",
        "reached by safe steps",
    ]);
    for count in tenants {
        let p = plans(*count, fleets, tight, seconds);
        table.add_row([
            p.tenants.to_string(),
            p.cells.to_string(),
            p.fleets.to_string(),
            p.planned.to_string(),
            p.gave_up.to_string(),
            p.greedy_planned.to_string(),
            p.seconds.to_string(),
            p.greedy_seconds.to_string(),
            p.ratio.to_string(),
            p.reachable.to_string(),
        ]);
    }
    println!("{table}");
    Ok(Outcome::Measured)
}

/// Measures the cost of the emulator itself.
fn emulator_cost(engines: &[usize], each: f64, seconds: f64, seeds: u64) -> Result<Outcome, Failure> {
    let mut table = Table::new();
    table.set_header(["engines", "requests/s", "virtual s a second", "ns a token", "answered"]);
    for count in engines {
        let span = Duration::from_secs_f64(seconds);
        let e = emulated(*count, *count as f64 * each, span, seeds);
        table.add_row([
            e.engines.to_string(),
            e.per_second.to_string(),
            e.speed.to_string(),
            e.token_ns.to_string(),
            e.served.to_string(),
        ]);
    }
    println!("{table}");
    Ok(Outcome::Measured)
}

/// Measures how many streams a node keeps open and the memory of each.
fn open_stream_memory(count: usize) -> Result<Outcome, Failure> {
    let program = std::env::current_exe().map_err(Failure::failed)?;
    let folder = tempfile::tempdir().map_err(Failure::failed)?;
    let s = open_streams(&program, count, folder.path()).map_err(Failure::failed)?;
    println!(
        "{} of {} streams open; node {} KiB before, {} KiB with them: {:.1} KiB each; open files allowed: {}",
        s.open,
        s.wanted,
        s.before_kib,
        s.with_kib,
        s.kib_each(),
        s.files_most
    );
    Ok(Outcome::Measured)
}
