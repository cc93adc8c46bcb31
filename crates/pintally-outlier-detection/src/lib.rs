//! Outlier detection of engines from the merged evidence of all nodes of a fleet; no input or output.
//!
//! An [`Observer`] counts the outcomes of a node's own attempts by engine incarnation and makes a small
//! report of them. An [`OutlierDetector`] merges the reports of all nodes: an engine is ejected if enough
//! reliable nodes report it and it works for few others. It recovers by one trial for the whole fleet, then
//! in steps. All nodes reach the same decisions from the same reports, and no node waits for another.
//! `docs/outlier-detection.md` has the rules and bounds.

#![deny(missing_docs)]

mod agreement;
mod detector;
mod ejection;
mod endpoints;
mod evidence;
mod observer;
mod recovery_ramp;
mod report;
mod report_store;
mod settings;
mod status;

pub use agreement::FaultScope;
pub use detector::{ListedEngine, Node, OutlierDetector};
pub use observer::{Fault, Observer};
pub use pintally_validation::InvalidConfiguration;
pub use report::{Observation, OutlierReport, MAX_OBSERVATIONS};
pub use settings::Settings;
pub use status::{EngineStatus, Status};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Microseconds of a monotonic clock.
pub type Micros = u64;

/// One incarnation of an engine: a hash of its name, its address and its start time. Evidence of an engine
/// that was replaced under the same name or address does not apply to its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineIncarnation(pub u64);

impl EngineIncarnation {
    /// The incarnation of a listed engine that started at a Unix time in milliseconds.
    pub fn of(name: &str, address: &str, started_unix_ms: u64) -> EngineIncarnation {
        let mut bytes = Vec::with_capacity(name.len() + address.len() + 10);
        bytes.extend_from_slice(name.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(address.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(&started_unix_ms.to_le_bytes());
        EngineIncarnation(xxh3_64(&bytes))
    }
}
