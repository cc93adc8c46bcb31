//! `pintally sim`: runs seeded days with overlapping failures in virtual time.

use std::process::ExitCode;

use comfy_table::Table;
use pintally_sim::{mutations, play, run, shrink, Plan, RunReport};

use crate::{read, Failure};

#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Run the days of many seeds and print those that break a rule.
    Run {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Number of seeds.
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        /// Number of threads; the number of cores by default.
        #[arg(long)]
        threads: Option<usize>,
        /// Stop after this many seeds that break a rule.
        #[arg(long, default_value_t = 10)]
        most: usize,
    },
    /// Run the day of one seed again and print its trace.
    Replay {
        /// The seed.
        seed: u64,
        /// Print the trace even if no rule is broken.
        #[arg(long)]
        all: bool,
    },
    /// Reduce the day of a seed that breaks a rule and print it as one line of JSON.
    Shrink {
        /// The seed.
        seed: u64,
    },
    /// Run a day from a file, as printed by `shrink`.
    Play {
        /// The file.
        day: String,
    },
    /// Find for each deliberately broken node the first seed that detects it.
    Mutations {
        /// Maximum number of seeds.
        #[arg(long, default_value_t = 10_000)]
        seeds: u64,
    },
}

pub(crate) fn execute(args: &Args) -> Result<ExitCode, Failure> {
    match &args.command {
        Command::Run { from, seeds, threads, most } => {
            let cores = || std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
            let found = run(*from..from.saturating_add(*seeds), threads.unwrap_or_else(cores), None, *most);
            for (seed, broken) in &found.violations {
                println!("seed {seed}: {broken}");
            }
            println!(
                "{} seeds, {} steps, {} requests, {} served, {} seeds broke a rule",
                found.seeds,
                found.steps,
                found.asked,
                found.served,
                found.violations.len()
            );
            Ok(exit_code(found.violations.is_empty()))
        }
        Command::Replay { seed, all } => Ok(print_run(&play(&Plan::from_seed(*seed), None), *all)),
        Command::Shrink { seed } => {
            let plan = Plan::from_seed(*seed);
            let Some(broken) = play(&plan, None).violation else {
                return Err(Failure::failed(format!("the day of seed {seed} breaks no rule")));
            };
            let small = shrink(&plan, broken.rule, None);
            println!("{}", serde_json::to_string(&small).map_err(Failure::failed)?);
            Ok(ExitCode::SUCCESS)
        }
        Command::Play { day } => {
            let plan: Plan =
                serde_json::from_str(&read(day)?).map_err(|e| Failure::usage(format!("{day}: {e}")))?;
            plan.check().map_err(|e| Failure::usage(format!("{day}: {e}")))?;
            Ok(print_run(&play(&plan, None), true))
        }
        Command::Mutations { seeds } => {
            let mut table = Table::new();
            table.set_header(["broken node", "seed", "found by"]);
            let found = mutations(*seeds);
            for (mutation, found_by) in &found {
                let (seed, broken) =
                    found_by.as_ref().map_or((String::from("none"), String::new()), |(seed, b)| {
                        (seed.to_string(), b.to_string())
                    });
                table.add_row([format!("{mutation:?}"), seed, broken]);
            }
            println!("{table}");
            Ok(exit_code(found.iter().all(|(_, found_by)| found_by.is_some())))
        }
    }
}

fn exit_code(success: bool) -> ExitCode {
    if success {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_run(played: &RunReport, all: bool) -> ExitCode {
    if all || played.violation.is_some() {
        played.trace.iter().for_each(|line| println!("{line}"));
    }
    println!(
        "{} steps, {} requests, {} served, digest {:016x}",
        played.steps, played.asked, played.served, played.digest
    );
    match &played.violation {
        Some(broken) => println!("broken: {broken}"),
        None => println!("all rules kept"),
    }
    exit_code(played.violation.is_none())
}
