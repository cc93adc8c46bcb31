//! Replication of reservations at engines: a node publishes its reservations to a few backup nodes, which
//! release them if the node dies and does not come back.
//!
//! Each reservation has a unique name, so releasing it twice does no harm, and nothing has to be withdrawn: a
//! node publishes the reservations that it holds again at intervals, and a backup node drops those that were
//! not published for several intervals. Messages may be lost, duplicated or delayed. A backup node waits
//! after a node's death before it releases: a node that was only partitioned or paused comes back and keeps
//! its reservations; a node that restarts releases them itself, and the backup node's release is then
//! redundant.

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
/// A reservation that was not published for this long is no longer held, or its node is dead. It is four
/// intervals, since messages may be lost.
const EXPIRY: Micros = 4 * REPUBLISH_INTERVAL;

/// The message to backup nodes. Its field names in JSON are fixed.
#[derive(Serialize, Deserialize)]
struct ReservationMessage {
    /// Identifies the process that holds the reservations among all processes of its node.
    #[serde(rename = "life")]
    process: u64,
    /// Some of its reservations, each with its engine and its name there.
    #[serde(rename = "held")]
    reservations: Vec<(String, String)>,
}

#[cfg(test)]
mod tests;
