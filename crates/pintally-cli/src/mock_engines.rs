//! `pintally standin`: runs only the mock engines of a day, for a node in another process on this machine.

use std::process::ExitCode;

use pintally_scenario::{Engines, Scenario};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::{read, Failure};

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The file of a day, of which only the engines are run.
    file: String,
    /// The file to which the list of engines is written.
    #[arg(long)]
    list: String,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    let day = Scenario::parse(&args.file, &read(&args.file)?).map_err(Failure::usage)?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(Failure::failed)?;
    let engines = Engines::start(&day).map_err(Failure::failed)?;
    engines.write_list(&args.list).map_err(|e| Failure::usage(format!("{}: {e}", args.list)))?;
    eprintln!("pintally: {} mock engines are running", engines.len());
    signals.forever().next();
    engines.shut_down();
    Ok(ExitCode::SUCCESS)
}
