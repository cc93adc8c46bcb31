//! The map: zones, the regions that they are in, how far they are from each other.

use std::collections::BTreeSet;

use pintally_validation::{ensure, InvalidConfiguration};

use crate::Micros;

/// Zones at the most: a plan fits into one small fact.
pub const MAX_ZONES: usize = 20;

/// A zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// The region that it is in.
    pub region: String,
}

/// What is near what. Zones go by their place in the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneMap {
    /// All zones.
    pub zones: Vec<Zone>,
    /// Prices of a request's way between two zones; pairs that are not told cost 1 within a region and
    /// 10 beyond. A price that is not finite forbids it.
    pub prices: Vec<(usize, usize, f64)>,
}

impl ZoneMap {
    /// A zone's place by its name.
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|z| z.name == name)
    }

    /// What a request's way from one zone to another costs.
    pub fn price(&self, from: usize, to: usize) -> f64 {
        let told = self.prices.iter().find(|(a, b, _)| (*a, *b) == (from, to) || (*b, *a) == (from, to));
        match (told, self.zones.get(from), self.zones.get(to)) {
            (Some((_, _, price)), ..) => *price,
            (None, Some(a), Some(b)) if a.name == b.name => 0.0,
            (None, Some(a), Some(b)) if a.region == b.region => 1.0,
            _ => 10.0,
        }
    }

    /// Whether two zones are in one region.
    pub fn together(&self, a: usize, b: usize) -> bool {
        matches!((self.zones.get(a), self.zones.get(b)), (Some(a), Some(b)) if a.region == b.region)
    }
}

/// How failover goes. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The map.
    pub zones: ZoneMap,
    /// Requests a second that one warm engine carries, over all nodes.
    pub requests_per_second_per_engine: f64,
    /// The part of a zone's capacity that may be used: what is over it is offered to nobody.
    pub max_utilization: f64,
    /// The part of a zone's capacity that it keeps for its own.
    pub local_reserve: f64,
    /// Plans are made this often.
    pub plan_interval: Micros,
    /// A plan that is not renewed ends after this time.
    pub plan_lifetime: Micros,
    /// A zone must look bad for so long before it is given up.
    pub failure_grace: Micros,
    /// A zone that was given up is tried again after this time; doubled each time it fails again.
    pub base_hold_down: Micros,
    /// And no later than this.
    pub max_hold_down: Micros,
    /// How long a step of the way back lasts.
    pub ramp_step: Micros,
}

impl Settings {
    /// Usual figures for a map.
    pub fn new(map: ZoneMap) -> Settings {
        Settings {
            zones: map,
            requests_per_second_per_engine: 4.0,
            max_utilization: 0.9,
            local_reserve: 0.3,
            plan_interval: 500_000,
            plan_lifetime: 3_000_000,
            failure_grace: 1_500_000,
            base_hold_down: 4_000_000,
            max_hold_down: 60_000_000,
            ramp_step: 2_000_000,
        }
    }

    /// Checks that the figures go together.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        let zones = &self.zones.zones;
        let names: BTreeSet<&str> = zones.iter().map(|z| z.name.as_str()).collect();
        ensure(!zones.is_empty(), "there is no zone")?;
        ensure(zones.len() <= MAX_ZONES, "there are more than 20 zones")?;
        ensure(names.len() >= zones.len(), "a zone is in two regions, or named twice")?;
        ensure(self.zones.prices.iter().all(|p| p.2 >= 0.0), "a price is below nothing")?;
        ensure(self.requests_per_second_per_engine > 0.0, "an engine carries nothing")?;
        ensure((0.1..=1.0).contains(&self.max_utilization), "nearly nothing of a zone may be used")?;
        ensure((0.0..=1.0).contains(&self.local_reserve), "a zone keeps more than it has")?;
        ensure(
            self.plan_lifetime >= 3 * self.plan_interval,
            "a plan ends before it was renewed three times",
        )?;
        ensure(
            self.failure_grace >= 2 * self.plan_interval,
            "a zone is given up before two plans have seen it bad",
        )?;
        ensure(
            self.base_hold_down >= self.failure_grace && self.base_hold_down <= self.max_hold_down,
            "a zone is tried again before it was given up, or never",
        )?;
        ensure(self.ramp_step >= 2 * self.plan_interval, "a step of the way back is over before it was seen")
    }

    /// From the first sign that a zone is lost to all nodes following the plan without it, with words and
    /// plans that take `told` to reach everyone.
    pub fn max_failover_time(&self, told: Micros) -> Micros {
        self.failure_grace + 2 * self.plan_interval + 2 * told
    }

    /// From the end of a trouble of which a zone was tried `fails` times in vain to its full use.
    pub fn max_recovery_time(&self, fails: u32) -> Micros {
        let hold = self.base_hold_down.saturating_mul(1 << fails.min(20)).min(self.max_hold_down);
        hold + 4 * self.ramp_step + self.plan_interval
    }
}
