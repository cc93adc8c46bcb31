//! A node's report, as it is spread.

use serde::{Deserialize, Serialize};

use crate::EngineLife;

/// Engines in one report at the most: it fits into a fact.
pub const MAX_SEEN: usize = 18;

/// What a node saw of one engine lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Which.
    pub engine: EngineLife,
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
pub struct Report {
    /// Engines that failed it, and those that others accuse and that it saw work.
    pub seen: Vec<Seen>,
    /// By zone of engines: how many it used lately, and how many of them fail it.
    pub zones: Vec<(u32, u8, u8)>,
}

impl Report {
    /// As bytes, within the bound of a fact.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a report; nothing if it is none, or too long.
    pub fn decode(bytes: &[u8]) -> Option<Report> {
        let report: Report = postcard::from_bytes(bytes).ok()?;
        (report.seen.len() <= MAX_SEEN && report.zones.len() <= 16).then_some(report)
    }
}
