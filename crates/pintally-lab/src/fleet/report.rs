//! The results of a fleet simulation.

use serde::Serialize;

/// The distribution of a measured value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The maximum.
    pub worst: f64,
    /// The number of samples.
    pub count: usize,
}

impl Spread {
    pub(crate) fn of(mut samples: Vec<f64>) -> Spread {
        samples.sort_by(f64::total_cmp);
        let median = samples.get(samples.len() / 2).copied().unwrap_or(0.0);
        Spread { median, worst: samples.last().copied().unwrap_or(0.0), count: samples.len() }
    }
}

/// The results of a fleet simulation.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetReport {
    /// Nodes.
    pub nodes: usize,
    /// The share of datagrams that was lost.
    pub loss: f64,
    /// The seed.
    pub seed: u64,
    /// Seconds from the start until each node knew all nodes.
    #[serde(rename = "whole_s")]
    pub discovery_complete_s: f64,
    /// Seconds from a node's death until all living nodes knew of it, over all deaths.
    #[serde(rename = "death_known_s")]
    pub death_detection_s: Spread,
    /// How often a node declared a living node dead, per hour over the whole fleet.
    pub false_deaths_per_hour: f64,
    /// How often a node suspected a living node, per hour over the whole fleet.
    pub false_suspicions_per_hour: f64,
    /// Datagrams that a node sends per second in the quiet phase.
    pub datagrams_per_s: f64,
    /// Bytes that a node sends per second in the quiet phase.
    pub bytes_per_s: f64,
    /// Seconds from a leader's death until a new leader is in place.
    #[serde(rename = "led_again_s")]
    pub leader_failover_s: Spread,
    /// The maximum sum of all nodes' allocations at one time, as a share of the limit.
    #[serde(rename = "limit_peak")]
    pub peak_limit_share: f64,
    /// Admitted requests in the quiet phase, as a share of what one central counter would admit.
    #[serde(rename = "let_in")]
    pub admitted_share: f64,
    /// The same share if each node enforces the limit divided by the number of nodes.
    #[serde(rename = "let_in_divided")]
    pub admitted_share_divided: f64,
}
