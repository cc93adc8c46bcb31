//! A node's report, as it is spread.

use serde::{Deserialize, Serialize};

use crate::EngineIncarnation;

/// Engines in one report at the most: it fits into a fact.
pub const MAX_OBSERVATIONS: usize = 18;

/// What a node saw of one engine lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Which.
    pub engine: EngineIncarnation,
    /// Failures and successes within the memory.
    pub bad: u8,
    /// Successes.
    pub good: u8,
    /// How long ago the last of each was, in units of 10 ms.
    pub bad_age: u16,
    /// The same of successes.
    pub good_age: u16,
    /// The kind of the last failure, as a number.
    pub fault: u8,
}

/// What a node says of engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutlierReport {
    /// Engines that failed it, and those that others accuse and that it saw work.
    pub seen: Vec<Observation>,
    /// By zone of engines: how many it used lately, and how many of them fail it.
    pub zones: Vec<(u32, u8, u8)>,
}

impl OutlierReport {
    /// As bytes, within the bound of a fact.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a report; nothing if it is none, or too long.
    pub fn decode(bytes: &[u8]) -> Option<OutlierReport> {
        let report: OutlierReport = postcard::from_bytes(bytes).ok()?;
        (report.seen.len() <= MAX_OBSERVATIONS && report.zones.len() <= 16).then_some(report)
    }
}
