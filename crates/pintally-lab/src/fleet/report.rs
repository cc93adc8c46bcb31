//! What came of a fleet in virtual time.

use serde::Serialize;

/// A figure over many: how it lies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// The middle one.
    pub median: f64,
    /// The greatest.
    pub worst: f64,
    /// How many.
    pub count: usize,
}

impl Spread {
    pub(crate) fn of(mut all: Vec<f64>) -> Spread {
        all.sort_by(f64::total_cmp);
        let median = all.get(all.len() / 2).copied().unwrap_or(0.0);
        Spread { median, worst: all.last().copied().unwrap_or(0.0), count: all.len() }
    }
}

/// What came of a fleet in virtual time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetReport {
    /// Nodes.
    pub nodes: usize,
    /// The part of datagrams that was lost.
    pub loss: f64,
    /// The seed.
    pub seed: u64,
    /// Seconds from the start until all knew all.
    #[serde(rename = "whole_s")]
    pub discovery_complete_s: f64,
    /// Seconds from a death until all others knew of it, over deaths.
    #[serde(rename = "death_known_s")]
    pub death_detection_s: Spread,
    /// Living nodes called dead by somebody, an hour of the whole fleet.
    pub false_deaths_per_hour: f64,
    /// Living nodes suspected by somebody, an hour of the whole fleet.
    pub false_suspicions_per_hour: f64,
    /// Datagrams and bytes that a node sends a second, in calm.
    pub datagrams_per_s: f64,
    /// The same in bytes.
    pub bytes_per_s: f64,
    /// Seconds from a leader's death to the next lead.
    #[serde(rename = "led_again_s")]
    pub leader_failover_s: Spread,
    /// Of the limit: the most that all nodes had at one time, as a part of it.
    #[serde(rename = "limit_peak")]
    pub peak_limit_share: f64,
    /// What was let in in calm, as a part of what one true counter would let in.
    #[serde(rename = "let_in")]
    pub admitted_share: f64,
    /// The same where each node has the limit divided by the number of nodes.
    #[serde(rename = "let_in_divided")]
    pub admitted_share_divided: f64,
}
