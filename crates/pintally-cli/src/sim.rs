//! `pintally sim`: seeded days of failures that overlap, in virtual time.

use std::process::ExitCode;

use comfy_table::Table;
use pintally_sim::{mutations, play, run, shrink, Plan, RunReport};

use crate::{read, Failure};

#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(clap::Subcommand)]
enum What {
    /// Plays the days of many seeds and names those that break a rule.
    Run {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// How many.
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        /// Threads; as many as there are cores by default.
        #[arg(long)]
        threads: Option<usize>,
        /// Ends after so many that break a rule.
        #[arg(long, default_value_t = 10)]
        most: usize,
    },
    /// Plays one seed's day again and says what happened.
    Replay {
        /// The seed.
        seed: u64,
        /// Every step, not only those of the request at stake.
        #[arg(long)]
        all: bool,
    },
    /// Cuts the day of a seed that breaks a rule down, and writes it as one line of JSON.
    Shrink {
        /// The seed.
        seed: u64,
    },
    /// Plays a day that was written down.
    Play {
        /// Its file.
        day: String,
    },
    /// How many seeds it takes to find each node that is broken on purpose.
    Mutations {
        /// Seeds at the most.
        #[arg(long, default_value_t = 10_000)]
        seeds: u64,
    },
}

pub(crate) fn execute(args: &Args) -> Result<ExitCode, Failure> {
    match &args.what {
        What::Run { from, seeds, threads, most } => {
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
            Ok(verdict(found.violations.is_empty()))
        }
        What::Replay { seed, all } => Ok(tell(&play(&Plan::from_seed(*seed), None), *all)),
        What::Shrink { seed } => {
            let plan = Plan::from_seed(*seed);
            let Some(broken) = play(&plan, None).violation else {
                return Err(Failure::failed(format!("the day of seed {seed} breaks no rule")));
            };
            let small = shrink(&plan, broken.rule, None);
            println!("{}", serde_json::to_string(&small).map_err(Failure::failed)?);
            Ok(ExitCode::SUCCESS)
        }
        What::Play { day } => {
            let plan: Plan =
                serde_json::from_str(&read(day)?).map_err(|e| Failure::usage(format!("{day}: {e}")))?;
            plan.check().map_err(|e| Failure::usage(format!("{day}: {e}")))?;
            Ok(tell(&play(&plan, None), true))
        }
        What::Mutations { seeds } => {
            let mut table = Table::new();
            table.set_header(["broken node", "seed", "found by"]);
            let found = mutations(*seeds);
            for (mutation, first) in &found {
                let (seed, broken) =
                    first.as_ref().map_or((String::from("none"), String::new()), |(seed, b)| {
                        (seed.to_string(), b.to_string())
                    });
                table.add_row([format!("{mutation:?}"), seed, broken]);
            }
            println!("{table}");
            Ok(verdict(found.iter().all(|(_, first)| first.is_some())))
        }
    }
}

fn verdict(kept: bool) -> ExitCode {
    if kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn tell(played: &RunReport, all: bool) -> ExitCode {
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
    verdict(played.violation.is_none())
}
