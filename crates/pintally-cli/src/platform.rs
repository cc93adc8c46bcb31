//! `pintally platform`: one node on the operators' platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::Failure;

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The node's configuration; `BALANCER_CONFIG` if not given.
    #[arg(long)]
    config: Option<PathBuf>,
    /// Where clients connect; `BALANCER_LISTEN` if not given, and what the configuration says if
    /// neither is.
    #[arg(long)]
    listen: Option<SocketAddr>,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    let config = args.config.clone().or_else(|| std::env::var_os("BALANCER_CONFIG").map(PathBuf::from));
    let config = config.ok_or_else(|| Failure::usage("neither --config nor BALANCER_CONFIG is given"))?;
    let listen =
        match (args.listen, std::env::var("BALANCER_LISTEN")) {
            (Some(address), _) => Some(address),
            (None, Ok(text)) => Some(text.parse().map_err(|_| {
                Failure::usage(format!("BALANCER_LISTEN is `{text}`, not an address and port"))
            })?),
            (None, Err(_)) => None,
        };
    pintally_platform_node::start(config, listen).map_err(Failure::usage)?;
    Ok(ExitCode::SUCCESS)
}
