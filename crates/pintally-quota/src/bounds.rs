//! What is promised, as figures.

use crate::limit::{Enforcement, Limit, LimitKind, Settings};
use crate::Micros;

/// What is promised for one limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// What all nodes together may have at one time at the most, with as many nodes as the settings name.
    pub at_once: f64,
    /// Each node beyond those, and each process that runs under a name that is taken, adds this.
    pub each_more: f64,
    /// In any window a rate is exceeded by this at the most, beside the largest single cost for each
    /// node that has used it and for each lease that ended meanwhile.
    pub burst: f64,
    /// What a node that is cut off may use.
    pub floor: f64,
    /// A share that is lost with its holder returns within this time, if somebody lends; a new lender
    /// lends nothing but what is already held before this time is over.
    pub returns_within: Micros,
}

impl Settings {
    /// What these figures promise for a limit.
    pub fn bounds(&self, limit: &Limit) -> Bounds {
        let floor = self.floor(limit);
        let floors = floor * f64::from(self.nodes.max(1));
        let at_once = match limit.enforcement {
            Enforcement::Hard => limit.amount,
            Enforcement::Soft => limit.amount + floors,
        };
        let burst = match limit.kind {
            LimitKind::Rate => at_once * self.burst as f64 / 1e6,
            LimitKind::Concurrency => 0.0,
        };
        let returns_within = self.debited_for(limit);
        Bounds { at_once, each_more: floor, burst, floor, returns_within }
    }
}
