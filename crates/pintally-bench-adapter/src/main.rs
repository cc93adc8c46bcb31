//! Adapter between the bench's JSON protocol on standard input and output and the decision core: it
//! parses events, hands them to the [`Router`](pintally::Router) of their instance, and writes its actions.
//! It makes no routing decisions.

mod error;
mod incoming;
mod input;
mod outgoing;
mod server;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match server::serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
