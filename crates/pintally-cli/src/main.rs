//! The command line: `pintally` and its subcommands.
//!
//! Exit codes: 0 all well, 1 a rule broken or a check failed, 2 bad usage or settings.

mod audit;
mod cells;
mod check;
mod common;
mod day;
mod lab;
mod log;
mod measure;
mod plan;
mod platform;
mod serve;
mod sim;
mod soak;
mod standin;
mod told;

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
    /// Run one node until it is told to stop.
    Serve(serve::Args),
    /// Run one node on the operators' platform until it is told to stop.
    Platform(platform::Args),
    /// Load settings, a list of engines or a day, and say what is wrong and why.
    Check(check::Args),
    /// Cells: who belongs where, moves step by step, where each cell stands.
    Cells(cells::Args),
    /// Whom nodes of a fleet know of each other.
    Peers(told::Args),
    /// Where nodes stand on their way back to service after a start.
    Recovery(told::Args),
    /// Limits that hold for the whole fleet: how they stand, and to change them.
    Limits(common::Limits),
    /// Zones and regions: what is known, where work goes, to order, hold and rehearse.
    Regions(common::Regions),
    /// What the fleet believes of engines: who says so, and to call one well.
    Verdicts(common::Verdicts),
    /// The keepers of the fleet's register: where they stand, and to change who they are.
    Keepers(common::Keepers),
    /// Scripted days on loopback.
    Day(day::Args),
    /// Run stand-in engines on loopback and write their list.
    Standin(standin::Args),
    /// Play days in virtual time: policies side by side, large fleets.
    Lab(lab::Args),
    /// Seeded days of failures that overlap, in virtual time, checked after every step.
    Sim(sim::Args),
    /// Dozens of real processes on loopback under troubles that overlap, judged by invariants.
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
        Command::Peers(args) => told::run(&args, told::What::Peers),
        Command::Recovery(args) => told::run(&args, told::What::Recovery),
        Command::Limits(args) => common::limits(&args),
        Command::Regions(args) => common::regions(&args),
        Command::Verdicts(args) => common::verdicts(&args),
        Command::Keepers(args) => common::keepers(&args),
        Command::Day(args) => day::run(&args),
        Command::Standin(args) => standin::run(&args),
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
