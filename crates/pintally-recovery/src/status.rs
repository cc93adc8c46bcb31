//! What a node tells of its recovery.

use serde::Serialize;

use crate::stage::Stage;

/// What a node tells of its recovery.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The stage it is in.
    pub stage: Stage,
    /// For how long, in milliseconds.
    pub for_ms: u64,
    /// Why it is not further.
    pub waits_for: String,
    /// What it lacks from before.
    #[serde(rename = "lacks")]
    pub issues: Vec<String>,
    /// Whether it takes the whole fleet to have lost its power; none while it has not been found out.
    pub fleet_lost_power: Option<bool>,
    /// Nodes here and expected.
    pub here: usize,
    /// Nodes by the settings.
    pub expected: usize,
    /// Engines heard since the start, and listed.
    pub engines: (usize, usize),
    /// Requests a second that it lets in; none while it lets in everybody.
    pub rate: Option<f64>,
    /// Requests let in, refused with a time to come back, refused without one.
    pub admitted: u64,
    /// Refused with a time to come back.
    pub told_when: u64,
    /// Refused without one.
    pub told_nothing: u64,
}
