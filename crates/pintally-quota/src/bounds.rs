//! The guarantees that follow from the settings, as figures.

use crate::limit::{Enforcement, Limit, LimitKind, Settings};
use crate::{Micros, MICROS_PER_SECOND};

/// The guarantees for one limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The greatest sum of all allocations at one time, with as many nodes as the settings name.
    pub max_total: f64,
    /// What each additional node adds to that sum, and each additional process under a name in use.
    pub per_additional_node: f64,
    /// By how much a rate is exceeded in any window at most, besides the largest single cost for each
    /// node that has used it and for each lease that expired in the window.
    pub max_burst: f64,
    /// What a disconnected node may use.
    pub floor: f64,
    /// The time after which an allocation that was lost with its holder can be granted again, provided
    /// that there is a granter. Before this time is over, a new granter only renews what is already held.
    pub max_reallocation_delay: Micros,
}

impl Settings {
    /// The guarantees for a limit under these settings.
    pub fn bounds(&self, limit: &Limit) -> Bounds {
        let floor = self.floor(limit);
        let floors = floor * f64::from(self.node_count.max(1));
        let max_total = match limit.enforcement {
            Enforcement::Hard => limit.amount,
            Enforcement::Soft => limit.amount + floors,
        };
        let max_burst = match limit.kind {
            LimitKind::Rate => max_total * self.burst_window as f64 / MICROS_PER_SECOND,
            LimitKind::Concurrency => 0.0,
        };
        let max_reallocation_delay = self.debit_duration(limit);
        Bounds { max_total, per_additional_node: floor, max_burst, floor, max_reallocation_delay }
    }
}
