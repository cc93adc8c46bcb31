//! The command line: `pintally` and its subcommands.
//!
//! Exit codes: 0 for success, 1 for a broken rule or a failed check, 2 for invalid usage or settings.

mod audit;
mod cells;
mod check;
mod day;
mod fleet;
mod lab;
mod log;
mod log_writer;
mod measure;
mod mock_engines;
mod plan;
mod platform;
mod serve;
mod sim;
mod soak;
mod status;

use std::io::Write;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};

/// A router for language-model serving with separate readers and writers.
#[derive(Parser)]
#[command(name = "pintally", version, about, arg_required_else_help = true)]
struct Cli {
    /// Format of the log lines, which go to standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Plain)]
    log: LogFormat,
    /// The log level (error, warn, info, debug) or a filter such as `pintally_kserve_node=debug`.
    #[arg(long, global = true, default_value = "warn")]
    log_level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum LogFormat {
    Plain,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run one node until a signal stops it.
    Serve(serve::Args),
    /// Run one node on the operators' platform until a signal stops it.
    Platform(platform::Args),
    /// Validate a file of settings, a list of engines or a day, and report the first error.
    Check(check::Args),
    /// Cells: the tenants of each cell, migrations step by step, the state of each cell.
    Cells(cells::Args),
    /// Membership: the state of each node's peers.
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
    /// Run scripted days on loopback.
    Day(day::Args),
    /// Run mock engines on loopback and write the list of engines.
    Standin(mock_engines::Args),
    /// Run days in virtual time: comparisons of policies, large fleets.
    Lab(lab::Args),
    /// Run seeded days with overlapping failures in virtual time, checking the rules after every step.
    Sim(sim::Args),
    /// Run dozens of real processes on loopback under overlapping faults and check invariants.
    Soak(soak::Args),
    /// Measure a node against a baseline, with simulated engines.
    Measure(measure::Args),
    /// Check the five rules against a record.
    Audit(audit::Args),
}

/// An error that ends a command, with its exit code.
struct Failure {
    code: u8,
    message: String,
}

impl Failure {
    /// Invalid usage or settings.
    fn usage(message: impl ToString) -> Failure {
        Failure { code: 2, message: message.to_string() }
    }

    /// An operation failed.
    fn failed(message: impl ToString) -> Failure {
        Failure { code: 1, message: message.to_string() }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(e) = log::set_up(cli.log, &cli.log_level) {
        let _ = writeln!(std::io::stderr(), "pintally: {e}");
        return ExitCode::from(2);
    }
    let result = match cli.command {
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
    match result {
        Ok(code) => code,
        Err(failure) => {
            // `eprintln!` would panic on a closed standard error.
            let _ = writeln!(std::io::stderr(), "pintally: {}", failure.message);
            ExitCode::from(failure.code)
        }
    }
}

/// Reads a file as text.
fn read(path: &str) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|e| Failure::usage(format!("{path}: {e}")))
}
