//! Reservations at engines, published to a few backup nodes while their node runs, so that they are released
//! when it is dead and does not come back.
//!
//! A reservation has a name of its own, so a needless release harms nothing, and nothing has to be withdrawn:
//! a node publishes what it holds again at intervals, and a backup node forgets what was not published for
//! longer than that. Messages may be lost, duplicated and late. A backup node waits for a while after a death:
//! a node that was only partitioned or paused comes back and keeps its reservations; one that restarts
//! releases them itself, and the backup node's release is one too many.

mod backup;
mod publisher;

pub use backup::BackupNode;
pub use publisher::ReservationPublisher;

use pintally::interface::{EngineId, Micros, RequestId};
use serde::{Deserialize, Serialize};

/// A reservation: the engine that holds it, and its name there.
pub type Reservation = (EngineId, RequestId);

/// A reservation is published again after this time.
const REPUBLISH_INTERVAL: Micros = 500_000;
/// A reservation that was not published for this long is no longer held, or its node is dead: four
/// intervals, since messages may be lost.
const EXPIRY: Micros = 4 * REPUBLISH_INTERVAL;

/// The message to backup nodes. Its JSON spelling is fixed.
#[derive(Serialize, Deserialize)]
struct ReservationMessage {
    /// The mark of the process that holds the reservations.
    #[serde(rename = "life")]
    process: u64,
    /// Some of its reservations: engine and name.
    #[serde(rename = "held")]
    reservations: Vec<(String, String)>,
}

#[cfg(test)]
mod tests;
