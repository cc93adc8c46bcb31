//! `pintally measure`: figures of one node beside its baseline.

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
    /// Time to a first token that the node adds, against a client that talks to the engines itself.
    Latency {
        /// Requests a second.
        #[arg(long, default_value_t = 1000.0)]
        rate: f64,
        /// Pairs of blocks.
        #[arg(long, default_value_t = 5)]
        blocks: usize,
        /// Seconds of a block.
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
    },
    /// The largest rate at which the added p99 stays under 10 ms.
    Rate {
        /// Rates to be tried, in rising order.
        #[arg(long, value_delimiter = ',', default_values_t = [500.0, 1000.0, 1500.0, 2000.0, 3000.0, 4000.0])]
        rates: Vec<f64>,
        /// Seconds of a block.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
    },
    /// The deciding thread's share of time.
    Deciding {
        /// Engines, a third of them readers.
        #[arg(long, value_delimiter = ',', default_values_t = [10, 110])]
        engines: Vec<usize>,
        /// Requests a second.
        #[arg(long, default_value_t = 500.0)]
        rate: f64,
    },
    /// What one tenant's flood costs tenants of other cells, with cells and with one pool.
    Flood {
        /// A day with cells; its own faults are left out.
        day: String,
        /// Who floods.
        #[arg(long)]
        tenant: String,
        /// Times its usual share.
        #[arg(long, default_value_t = 10.0)]
        times: f64,
        /// Seeds, each a pair of runs at the same time.
        #[arg(long, default_value_t = 6)]
        seeds: u64,
        /// Seconds of each run.
        #[arg(long, default_value_t = 12.0)]
        seconds: f64,
        /// Nodes.
        #[arg(long, value_delimiter = ',', default_values_t = [1, 3])]
        nodes: Vec<usize>,
    },
    /// What a tenant's migration costs it and its neighbours, at its rate and with all sessions at once.
    Moves {
        #[command(flatten)]
        of: MoveOf,
        /// Seeds, each played three ways at the same time.
        #[arg(long, default_value_t = 25)]
        seeds: u64,
    },
    /// The price of cells: one pool against so many cells, with and without lending.
    Price {
        /// A day with tenants and without cells; its own faults are left out.
        day: String,
        /// Numbers of cells.
        #[arg(long, value_delimiter = ',', default_values_t = [2, 4, 8])]
        cells: Vec<usize>,
        /// Seeds.
        #[arg(long, default_value_t = 4)]
        seeds: u64,
    },
    /// Plans of generated fleets: the model's against greedy ones.
    Plans {
        /// Tenants.
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000])]
        tenants: Vec<usize>,
        /// Fleets of each size.
        #[arg(long, default_value_t = 5)]
        fleets: usize,
        /// Hardly more engines than all cells need together, none spare.
        #[arg(long)]
        tight: bool,
        /// Seconds that the solver may take for each.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
    },
    /// What the emulator itself costs, in virtual time and without sockets.
    Emulator {
        /// Engines, a third of them readers.
        #[arg(long, value_delimiter = ',', default_values_t = [10, 110])]
        engines: Vec<usize>,
        /// Requests a second for each engine.
        #[arg(long, default_value_t = 4.0)]
        each: f64,
        /// Virtual seconds.
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// Seeds.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Streams that a node holds open, and the memory of each.
    Streams {
        /// Streams wanted.
        #[arg(long, default_value_t = 10_000)]
        count: usize,
    },
}

/// A migration to be measured.
#[derive(clap::Args)]
pub(crate) struct MoveOf {
    /// A day with cells; its own faults are left out.
    pub(crate) day: String,
    /// The tenant that is migrated,
    #[arg(long)]
    pub(crate) tenant: String,
    /// and the cell that receives it.
    #[arg(long)]
    pub(crate) to: String,
    /// Groups of seeds for the spread.
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
        Measurement::Moves { of, seeds } => migration(of, *seeds),
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

/// Time to a first token that the node adds.
fn added_latency_at(rate: f64, blocks: usize, seconds: f64) -> Result<Outcome, Failure> {
    let added = added_latency(rate, blocks, Duration::from_secs_f64(seconds)).map_err(Failure::failed)?;
    print_added(&[added]);
    Ok(Outcome::Measured)
}

/// The largest rate that is carried, with the steps on the way to it.
fn carried_rate(rates: &[f64], seconds: f64) -> Result<Outcome, Failure> {
    let limit = Duration::from_millis(10);
    let found = saturation(rates, limit, Duration::from_secs_f64(seconds)).map_err(Failure::failed)?;
    print_added(&found.steps);
    match found.carried {
        Some(rate) => println!("carried: {rate} requests a second with an added p99 under 10 ms"),
        None => println!("carried: none of these rates"),
    }
    Ok(Outcome::Measured)
}

/// The share of time of the deciding thread.
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

/// What a flood of one tenant costs tenants of other cells.
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
        let first = day.seed;
        for found in flood(&day, tenant, times, first..first + seeds).map_err(Failure::failed)? {
            table.add_row([
                node_count.to_string(),
                found.name.to_string(),
                found.quiet.to_string(),
                found.flood.to_string(),
                found.change.to_string(),
                found.pairs.to_string(),
                if found.kept { "kept".to_string() } else { "broken".to_string() },
            ]);
        }
    }
    println!("{table}");
    println!("share of the worth asked by tenants of other cells that was served in time");
    Ok(Outcome::Measured)
}

/// What a migration costs; fails if a run broke a rule.
fn migration(of: &MoveOf, seeds: u64) -> Result<Outcome, Failure> {
    let day = parse_day(&of.day)?;
    let first = day.seed;
    // Two seeds at a time: six runs, which the machine carries without being late itself.
    let found = moves(&day, &of.tenant, &of.to, first..first + seeds, of.groups, (2, &recorded))
        .map_err(Failure::failed)?;
    print_moves(&found);
    if found.broken > 0 {
        return Ok(Outcome::RuleBroken);
    }
    Ok(Outcome::Measured)
}

/// The price of cells.
fn price_of_cells(day: &str, cells: &[usize], seeds: u64) -> Result<Outcome, Failure> {
    let day = parse_day(day)?;
    let first = day.seed;
    // Two at a time: more would overload the machine that carries node, engines and clients.
    let found = price(&day, cells, first..first + seeds, 2, &over_sockets).map_err(Failure::failed)?;
    print_prices(&found);
    Ok(Outcome::Measured)
}

/// Placements of generated fleets, by the solver and by the greedy rule.
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

/// What the emulator itself costs.
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

/// Streams that a node holds open, and the memory of each.
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
