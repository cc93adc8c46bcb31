//! The outlier report of one node, as it is gossiped.

use serde::{Deserialize, Serialize};

use crate::EngineIncarnation;

/// Greatest number of engines in one report, so that it fits into one gossiped fact.
pub const MAX_OBSERVATIONS: usize = 18;

/// Greatest number of zones in one report, so that it fits into one gossiped fact.
pub(crate) const MAX_REPORTED_ZONES: usize = 16;

/// The unit of the ages in an [`Observation`]: 10 ms, in microseconds.
pub(crate) const AGE_UNIT_MICROS: u64 = 10_000;

/// The recent outcomes of one node's attempts at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The observed engine.
    pub engine: EngineIncarnation,
    /// Consecutive failures within the evidence retention.
    #[serde(rename = "bad")]
    pub failures: u8,
    /// Consecutive successes within the evidence retention.
    #[serde(rename = "good")]
    pub successes: u8,
    /// Age of the last failure, in units of 10 ms; `u16::MAX` if there was none.
    #[serde(rename = "bad_age")]
    pub failure_age: u16,
    /// Age of the last success, in units of 10 ms; `u16::MAX` if there was none.
    #[serde(rename = "good_age")]
    pub success_age: u16,
    /// The kind of the last failure, as the number of a [`Fault`](crate::Fault); 0 if there was none.
    pub fault: u8,
}

/// The recent outcomes of one node's attempts at all engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutlierReport {
    /// Engines whose last attempt by this node failed, and engines that other nodes report and that this
    /// node used.
    #[serde(rename = "seen")]
    pub observations: Vec<Observation>,
    /// For each zone of engines: its number, how many of its engines the node used recently, and for how many
    /// of these the node's last attempt failed.
    pub zones: Vec<(u32, u8, u8)>,
}

impl OutlierReport {
    /// Encodes the report. The bytes fit into a gossiped fact.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a report; `None` if the bytes are malformed or the report is too long.
    pub fn decode(bytes: &[u8]) -> Option<OutlierReport> {
        let report: OutlierReport = postcard::from_bytes(bytes).ok()?;
        let fits = report.observations.len() <= MAX_OBSERVATIONS && report.zones.len() <= MAX_REPORTED_ZONES;
        fits.then_some(report)
    }
}
