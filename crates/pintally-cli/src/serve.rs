//! `pintally serve`: one node until a signal stops it.

use std::io::Write;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use pintally_config::NodeSettings;
use pintally_kserve_node::Node;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::{read, Failure};

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The node's settings.
    #[arg(long)]
    config: String,
    /// Seed of the router's random numbers and request ids; taken from the clock by default.
    #[arg(long)]
    seed: Option<u64>,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    let settings = NodeSettings::parse(&args.config, &read(&args.config)?).map_err(Failure::usage)?;
    let clock_ns = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(Failure::failed)?;
    let node = Node::start(Arc::new(settings), args.seed.unwrap_or(clock_ns)).map_err(Failure::failed)?;
    let _ = writeln!(std::io::stderr(), "pintally: listening on {}", node.address());
    // The first signal starts a graceful shutdown, the second one exits immediately.
    signals.forever().next();
    std::thread::spawn(move || {
        signals.forever().next();
        std::process::exit(1);
    });
    let counters = node.stop();
    let _ = writeln!(std::io::stderr(), "pintally: stopped; {counters:?}");
    Ok(ExitCode::SUCCESS)
}
