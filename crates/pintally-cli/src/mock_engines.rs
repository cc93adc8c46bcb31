//! `pintally standin`: a day's engines by themselves, for a node that runs elsewhere on this machine.

use std::process::ExitCode;

use pintally_scenario::{Engines, Scenario};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::{read, Failure};

#[derive(clap::Args)]
pub(crate) struct Args {
    /// A day's file; its engines run, nothing else of it does.
    file: String,
    /// Where the list of engines is written.
    #[arg(long)]
    list: String,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    let day = Scenario::parse(&args.file, &read(&args.file)?).map_err(Failure::usage)?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(Failure::failed)?;
    let engines = Engines::start(&day).map_err(Failure::failed)?;
    engines.write_list(&args.list).map_err(|e| Failure::usage(format!("{}: {e}", args.list)))?;
    eprintln!("pintally: {} stand-in engines run", engines.len());
    signals.forever().next();
    engines.shut_down();
    Ok(ExitCode::SUCCESS)
}
