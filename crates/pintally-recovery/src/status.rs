//! The status document of a node's recovery. Its field names in JSON are fixed.

use serde::Serialize;

use crate::capacity::EngineCounts;
use crate::stage::Stage;

/// The state of a node's recovery.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The current stage.
    pub stage: Stage,
    /// Milliseconds since the stage began.
    pub for_ms: u64,
    /// What the node waits for to leave the stage.
    pub waits_for: String,
    /// What could not be loaded from the disk.
    #[serde(rename = "lacks")]
    pub issues: Vec<String>,
    /// Whether the node assumes that the whole fleet has lost power; `None` while it does not know yet.
    pub fleet_lost_power: Option<bool>,
    /// Nodes that are alive, this one included.
    #[serde(rename = "here")]
    pub alive_nodes: usize,
    /// Nodes according to the settings.
    #[serde(rename = "expected")]
    pub expected_nodes: usize,
    /// Engines that have answered since the start, and listed ones.
    pub engines: EngineCounts,
    /// Requests per second that are admitted; `None` while all are.
    #[serde(rename = "rate")]
    pub max_rate: Option<f64>,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that were rejected with a Retry-After.
    #[serde(rename = "told_when")]
    pub rejected_with_retry_after: u64,
    /// Requests that were rejected without one.
    #[serde(rename = "told_nothing")]
    pub rejected_without_retry_after: u64,
}
