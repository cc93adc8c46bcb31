//! Measurements of one node, each beside a baseline in the same run, against simulated engines.
//!
//! The baseline of latency is a client that talks to the same stand-ins directly: it reads at a
//! reader and fetches at a writer itself, as the node would. Blocks of both alternate, so that a
//! machine that drifts drifts for both. Latency counts from the time at which a request was to be
//! sent, so that a stall hides nothing.

mod added;
mod emulator;
mod flood;
mod load;
mod moves;
mod plans;
mod price;
mod report;
mod stage;
mod streams;

pub use added::{added_latency, deciding, saturation, Added, Deciding, Saturation};
pub use emulator::{emulated, Emulated};
pub use flood::{flood, Flood, Interval};
pub use moves::{moves, recorded, Moves, Part, Recorded, Recorder};
pub use plans::{plans, Plans};
pub use price::{over_sockets, price, Player, Price};
pub use report::{Spread, Stats};
pub use streams::{open_streams, Streams};

use std::fmt;

/// Why something could not be measured.
#[derive(Debug)]
pub struct MeasureError(pub String);

impl fmt::Display for MeasureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for MeasureError {}

pub(crate) fn error(e: impl fmt::Display) -> MeasureError {
    MeasureError(e.to_string())
}
