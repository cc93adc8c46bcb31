//! `pintally platform`: one node on the operators' platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::Failure;

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The node's configuration file; `BALANCER_CONFIG` if not given.
    #[arg(long)]
    config: Option<PathBuf>,
    /// The address on which the node listens for clients; `BALANCER_LISTEN` if not given, the
    /// configuration's if neither is.
    #[arg(long)]
    listen: Option<SocketAddr>,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    let config = args.config.clone().or_else(|| std::env::var_os("BALANCER_CONFIG").map(PathBuf::from));
    let config = config.ok_or_else(|| Failure::usage("neither --config nor BALANCER_CONFIG is given"))?;
    let listen = match (args.listen, std::env::var("BALANCER_LISTEN")) {
        (Some(address), _) => Some(address),
        (None, Ok(text)) => Some(text.parse().map_err(|_| {
            Failure::usage(format!("BALANCER_LISTEN is `{text}`, expected an address and a port"))
        })?),
        (None, Err(_)) => None,
    };
    pintally_platform_node::start(config, listen).map_err(Failure::usage)?;
    Ok(ExitCode::SUCCESS)
}
