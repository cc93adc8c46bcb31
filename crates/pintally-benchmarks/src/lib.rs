//! Measurements of one node against simulated engines, each with a baseline in the same run.
//!
//! The baseline of latency is a client that talks to the same mock engines directly: like the node, it sends a
//! read to a reader and a fetch to a writer. Blocks of both alternate, so that drift of the machine affects
//! both. Latency counts from the time at which a request was due to be sent, so that the results include delays
//! from stalls.

mod added;
mod emulator;
mod flood;
mod load;
mod moves;
mod plans;
mod price;
mod report;
mod rig;
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
