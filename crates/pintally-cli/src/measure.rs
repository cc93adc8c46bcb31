//! `pintally measure`: figures of one node beside its baseline.

use std::process::ExitCode;
use std::time::Duration;

use comfy_table::Table;
use pintally_benchmarks::{
    added_latency, deciding, emulated, flood, moves, open_streams, over_sockets, plans, price, recorded,
    saturation, Added, Moves, Price,
};
use pintally_scenario::Day;

use crate::{read, Failure};

#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(clap::Subcommand)]
enum What {
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
    /// What a tenant's move costs it and its neighbours, at its pace and with all sessions at once.
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

/// A tenant's move to be measured.
#[derive(clap::Args)]
pub(crate) struct MoveOf {
    /// A day with cells; its own faults are left out.
    pub(crate) day: String,
    /// Who moves,
    #[arg(long)]
    pub(crate) tenant: String,
    /// and into which cell.
    #[arg(long)]
    pub(crate) to: String,
    /// Groups of seeds for the spread.
    #[arg(long, default_value_t = 5)]
    pub(crate) groups: usize,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    match &args.what {
        What::Latency { rate, blocks, seconds } => {
            let added =
                added_latency(*rate, *blocks, Duration::from_secs_f64(*seconds)).map_err(Failure::failed)?;
            print_added(&[added]);
        }
        What::Rate { rates, seconds } => {
            let limit = Duration::from_millis(10);
            let found =
                saturation(rates, limit, Duration::from_secs_f64(*seconds)).map_err(Failure::failed)?;
            print_added(&found.steps);
            match found.carried {
                Some(rate) => println!("carried: {rate} requests a second with an added p99 under 10 ms"),
                None => println!("carried: none of these rates"),
            }
        }
        What::Deciding { engines, rate } => {
            let mut table = Table::new();
            table.set_header(["engines", "requests/s", "share of time", "us for each request"]);
            for count in engines {
                let d = deciding(*count, *rate, 3, Duration::from_secs(4)).map_err(Failure::failed)?;
                table.add_row([
                    d.engines.to_string(),
                    d.per_second.to_string(),
                    d.share.to_string(),
                    d.per_request_us.to_string(),
                ]);
            }
            println!("{table}");
        }
        What::Flood { day, tenant, times, seeds, seconds, nodes } => {
            let base = Day::parse(day, &read(day)?).map_err(Failure::usage)?;
            let mut table = Table::new();
            table.set_header(["nodes", "", "quiet", "flood", "change, 95% interval", "pairs", "rules"]);
            for nodes in nodes {
                let mut day = base.clone();
                (day.nodes, day.length) = (*nodes, Duration::from_secs_f64(*seconds));
                let first = day.seed;
                for found in flood(&day, tenant, *times, first..first + seeds).map_err(Failure::failed)? {
                    table.add_row([
                        nodes.to_string(),
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
        }
        What::Moves { of, seeds } => {
            let day = Day::parse(&of.day, &read(&of.day)?).map_err(Failure::usage)?;
            let first = day.seed;
            // Two seeds at a time: six runs, which the machine carries without being late itself.
            let found = moves(&day, &of.tenant, &of.to, first..first + seeds, of.groups, (2, &recorded))
                .map_err(Failure::failed)?;
            print_moves(&found);
            if found.broken > 0 {
                return Ok(ExitCode::FAILURE);
            }
        }
        What::Price { day, cells, seeds } => {
            let day = Day::parse(day, &read(day)?).map_err(Failure::usage)?;
            let first = day.seed;
            // Two at a time: more would strain the machine that carries node, engines and clients.
            let found =
                price(&day, cells, first..first + seeds, 2, &over_sockets).map_err(Failure::failed)?;
            print_prices(&found);
        }
        What::Plans { tenants, fleets, tight, seconds } => {
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
                let p = plans(*count, *fleets, *tight, *seconds);
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
        }
        What::Emulator { engines, each, seconds, seeds } => {
            let mut table = Table::new();
            table.set_header(["engines", "requests/s", "virtual s a second", "ns a token", "answered"]);
            for count in engines {
                let span = Duration::from_secs_f64(*seconds);
                let e = emulated(*count, *count as f64 * each, span, *seeds);
                table.add_row([
                    e.engines.to_string(),
                    e.per_second.to_string(),
                    e.speed.to_string(),
                    e.token_ns.to_string(),
                    e.served.to_string(),
                ]);
            }
            println!("{table}");
        }
        What::Streams { count } => {
            let program = std::env::current_exe().map_err(Failure::failed)?;
            let folder = tempfile::tempdir().map_err(Failure::failed)?;
            let s = open_streams(&program, *count, folder.path()).map_err(Failure::failed)?;
            println!(
                "{} of {} streams open; node {} KiB before, {} KiB with them: {:.1} KiB each; open files allowed: {}",
                s.open,
                s.wanted,
                s.before_kib,
                s.with_kib,
                s.kib_each(),
                s.files_most
            );
        }
    }
    println!("simulated engines; median (least to most) over blocks");
    Ok(ExitCode::SUCCESS)
}

/// Moves as a table.
pub(crate) fn print_moves(found: &Moves) {
    let mut table = Table::new();
    table.set_header(["who", "when", "", "requests", "p50, ms", "p99, ms", "late or not served"]);
    for p in &found.parts {
        let (p50, p99) = (p.p50_ms.to_string(), p.p99_ms.to_string());
        let (requests, late) = (p.requests.to_string(), p.late.to_string());
        table.add_row([p.who.into(), p.when.into(), p.how.to_string(), requests, p50, p99, late]);
    }
    println!("{table}");
    println!("{} moves; runs in which a rule was broken: {}", found.moves, found.broken);
    println!("first tokens; a request that was not served counts as endless; over groups of seeds");
}

/// The price of cells as a table.
pub(crate) fn print_prices(prices: &[Price]) {
    let mut table = Table::new();
    table.set_header(["", "served in time", "change against one pool, 95% interval", "rules"]);
    for p in prices {
        let rules = if p.kept { "kept" } else { "broken" }.to_string();
        table.add_row([p.name.clone(), p.in_time.to_string(), p.change.to_string(), rules]);
    }
    println!("{table}");
    println!("share of the worth asked that was served in time; each against the pool of the same engines");
}

fn print_added(steps: &[Added]) {
    let mut table = Table::new();
    table.set_header([
        "requests/s",
        "",
        "direct, us",
        "node, us",
        "added, us",
        "ratio",
        "failed",
        "own lateness, us",
    ]);
    for a in steps {
        let row = |name: &str, values: [String; 4]| -> Vec<String> {
            let [direct, node, added, ratio] = values;
            vec![
                a.per_second.to_string(),
                name.to_string(),
                direct,
                node,
                added,
                ratio,
                a.failed.to_string(),
                a.own_lateness_us.to_string(),
            ]
        };
        let texts = |values: [pintally_benchmarks::Spread; 4]| values.map(|v| v.to_string());
        table.add_row(row("p50", texts([a.direct_p50_us, a.node_p50_us, a.added_p50_us, a.ratio_p50])));
        table.add_row(row("p99", texts([a.direct_p99_us, a.node_p99_us, a.added_p99_us, a.ratio_p99])));
    }
    println!("{table}");
}
