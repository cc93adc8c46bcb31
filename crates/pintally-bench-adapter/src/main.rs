//! Speaks the bench's wire on standard input and output: JSON events in, JSON
//! actions out, one [`Router`](pintally::Router) for each instance. It decides nothing.

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
