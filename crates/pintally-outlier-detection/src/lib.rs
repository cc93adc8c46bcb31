//! What the nodes of a fleet believe of engines, from what each of them saw.
//!
//! A [`Observer`] counts how a node's own attempts ended, by engine and start, and makes a small report of
//! it. [`OutlierDetector`] merges the reports of all nodes: an engine is held back where enough nodes that are
//! sound accuse it and few clear it, and comes back by one trial for the whole fleet, then in steps. All
//! nodes work this out alike from the same reports; none waits for another. `docs/verdicts.md` has the
//! rules and bounds.

mod detector;
mod evidence;
mod observer;
mod recovery_ramp;
mod report;
mod settings;

pub use detector::{EngineStatus, ListedEngine, Node, OutlierDetector, Status};
pub use evidence::FaultScope;
pub use observer::{Fault, Observer};
pub use pintally_validation::InvalidConfiguration;
pub use report::{Observation, OutlierReport, MAX_OBSERVATIONS};
pub use settings::Settings;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Microseconds of a clock that never goes back.
pub type Micros = u64;

/// One life of one engine: what stands for its name, its address and its start together. Word of an
/// engine that was replaced under the same name or address is not word of the one that is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineIncarnation(pub u64);

impl EngineIncarnation {
    /// The life of an engine at an address that started at a Unix time in milliseconds, as listed.
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
