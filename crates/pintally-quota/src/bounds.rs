//! The numerical guarantees that follow from the settings.

use crate::limit::{Enforcement, Limit, LimitKind, Settings};
use crate::{Micros, MICROS_PER_SECOND};

/// The guarantees for one limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The maximum sum of all allocations at one time, with the number of nodes in the settings.
    pub max_total: f64,
    /// What each additional node, or each additional process under a name in use, adds to that sum.
    pub per_additional_node: f64,
    /// The maximum amount by which a rate is exceeded in any time window. In addition it may be exceeded by
    /// the largest single cost, once for each node that has used it and once for each lease that expired in
    /// the window.
    pub max_burst: f64,
    /// The amount that a disconnected node may use.
    pub floor: f64,
    /// The maximum time until an allocation that was lost with its holder can be granted again, provided
    /// that there is a granter. For this time after its start, a new granter only renews allocations that
    /// are already held.
    pub max_reallocation_delay: Micros,
}

impl Settings {
    /// The guarantees for a limit under these settings.
    pub fn bounds(&self, limit: &Limit) -> Bounds {
        let floor = self.floor(limit);
        let total_floor = floor * f64::from(self.node_count.max(1));
        let max_total = match limit.enforcement {
            Enforcement::Hard => limit.amount,
            Enforcement::Soft => limit.amount + total_floor,
        };
        let max_burst = match limit.kind {
            LimitKind::Rate => max_total * self.burst_window as f64 / MICROS_PER_SECOND,
            LimitKind::Concurrency => 0.0,
        };
        let max_reallocation_delay = self.debit_duration(limit);
        Bounds { max_total, per_additional_node: floor, max_burst, floor, max_reallocation_delay }
    }
}
