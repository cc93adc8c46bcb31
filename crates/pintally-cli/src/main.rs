//! The command line: `pintally` and its subcommands.
//!
//! Exit codes: 0 all well, 1 a rule broken or a check failed, 2 bad usage or settings.

mod audit;
mod cells;
mod check;
mod day;
mod fleet;
mod lab;
mod log;
mod measure;
mod mock_engines;
mod plan;
mod platform;
mod serve;
mod sim;
mod soak;
mod status;

use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};

/// A router for language-model serving with separate readers and writers.
#[derive(Parser)]
#[command(name = "pintally", version, about, arg_required_else_help = true)]
struct Cli {
    /// How log lines are written, to standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogForm::Plain)]
    log: LogForm,
    /// What is logged: error, warn, info, debug, or a filter such as `pintally_kserve_node=debug`.
    #[arg(long, global = true, default_value = "warn")]
    log_level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum LogForm {
    Plain,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run one node until a signal stops it.
    Serve(serve::Args),
    /// Run one node on the operators' platform until a signal stops it.
    Platform(platform::Args),
    /// Load settings, a list of engines or a day, and say what is wrong and why.
    Check(check::Args),
    /// Cells: who belongs where, migrations step by step, the state of each cell.
    Cells(cells::Args),
    /// Membership: which nodes of the fleet know of each other.
    Peers(status::Args),
    /// Recovery: the stage of each node after a start.
    Recovery(status::Args),
    /// Quotas of the whole fleet: show and change them.
    Limits(fleet::limits::Limits),
    /// Failover between zones and regions: show, order, hold and dry-run it.
    Regions(fleet::zones::Zones),
    /// Outlier detection across the fleet: show ejected engines, clear one.
    Verdicts(fleet::outliers::Outliers),
    /// The replicas of the fleet's key-value store: show and change them.
    Keepers(fleet::replicas::Replicas),
    /// Scripted days on loopback.
    Day(day::Args),
    /// Run mock engines on loopback and write their list.
    Standin(mock_engines::Args),
    /// Play days in virtual time: policies side by side, large fleets.
    Lab(lab::Args),
    /// Seeded days of failures that overlap, in virtual time, checked after every step.
    Sim(sim::Args),
    /// Dozens of real processes on loopback under faults that overlap, judged by invariants.
    Soak(soak::Args),
    /// Measure a node beside its baseline, against simulated engines.
    Measure(measure::Args),
    /// Check the five rules over a record.
    Audit(audit::Args),
}

/// Why a command ends early, and with which exit code.
struct Failure {
    code: u8,
    what: String,
}

impl Failure {
    /// Bad usage or settings.
    fn usage(what: impl ToString) -> Failure {
        Failure { code: 2, what: what.to_string() }
    }

    /// Something that was tried did not work.
    fn failed(what: impl ToString) -> Failure {
        Failure { code: 1, what: what.to_string() }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(e) = log::set_up(cli.log, &cli.log_level) {
        eprintln!("pintally: {e}");
        return ExitCode::from(2);
    }
    let done = match cli.command {
        Command::Serve(args) => serve::run(&args),
        Command::Platform(args) => platform::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Cells(args) => cells::run(&args),
        Command::Peers(args) => status::run(&args, status::StatusDocument::Peers),
        Command::Recovery(args) => status::run(&args, status::StatusDocument::Recovery),
        Command::Limits(args) => fleet::limits::run(&args),
        Command::Regions(args) => fleet::zones::run(&args),
        Command::Verdicts(args) => fleet::outliers::run(&args),
        Command::Keepers(args) => fleet::replicas::run(&args),
        Command::Day(args) => day::run(&args),
        Command::Standin(args) => mock_engines::run(&args),
        Command::Lab(args) => lab::run(&args),
        Command::Sim(args) => sim::execute(&args),
        Command::Soak(args) => soak::run(&args),
        Command::Measure(args) => measure::run(&args),
        Command::Audit(args) => audit::run(&args),
    };
    match done {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("pintally: {}", failure.what);
            ExitCode::from(failure.code)
        }
    }
}

/// The text of a file.
fn read(path: &str) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|e| Failure::usage(format!("{path}: {e}")))
}
