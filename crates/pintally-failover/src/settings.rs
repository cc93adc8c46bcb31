//! Settings of failover: zones, their regions, the prices between them, and limits.

use std::collections::BTreeSet;

use pintally_validation::{ensure, InvalidConfiguration};

use crate::Micros;

/// Most zones, so that a plan fits into one gossiped fact.
pub const MAX_ZONES: usize = 20;

/// The price between two zones of one region, unless the settings list one.
const REGIONAL_PRICE: f64 = 1.0;

/// The price between zones of different regions, unless the settings list one.
const REMOTE_PRICE: f64 = 10.0;

/// Bounds the shift when the hold-down is doubled; the greatest hold-down applies long before.
const MAX_HOLD_DOWN_DOUBLINGS: u32 = 20;

/// A zone of engines and nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// The zone's name.
    pub name: String,
    /// The zone's region.
    pub region: String,
}

/// The zones and the prices between them. Zones are identified by their index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneMap {
    /// All zones.
    pub zones: Vec<Zone>,
    /// Prices of routing a request between two zones, in both directions; other pairs cost 1 within a region
    /// and 10 beyond. A price that is not finite forbids the pair.
    pub prices: Vec<(usize, usize, f64)>,
}

impl ZoneMap {
    /// The index of a zone by its name.
    pub fn zone_index(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|z| z.name == name)
    }

    /// The price of routing a request from one zone to another.
    pub fn price(&self, from: usize, to: usize) -> f64 {
        let listed = self.prices.iter().find(|(a, b, _)| (*a, *b) == (from, to) || (*b, *a) == (from, to));
        match (listed, self.zones.get(from), self.zones.get(to)) {
            (Some((_, _, price)), ..) => *price,
            (None, Some(a), Some(b)) if a.name == b.name => 0.0,
            (None, Some(a), Some(b)) if a.region == b.region => REGIONAL_PRICE,
            _ => REMOTE_PRICE,
        }
    }

    /// Whether two zones are in the same region.
    pub fn in_same_region(&self, a: usize, b: usize) -> bool {
        matches!((self.zones.get(a), self.zones.get(b)), (Some(a), Some(b)) if a.region == b.region)
    }
}

/// Settings of failover. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zones.
    pub zones: ZoneMap,
    /// Requests a second that one warmed-up engine carries, over all nodes.
    pub requests_per_second_per_engine: f64,
    /// The fraction of a zone's capacity that may be used.
    pub max_utilization: f64,
    /// The fraction of a zone's capacity that is reserved for its own requests.
    pub local_reserve: f64,
    /// Time between two plans.
    pub plan_interval: Micros,
    /// A plan that is not renewed expires after this time.
    pub plan_lifetime: Micros,
    /// A zone must be failing for this long before it is evacuated.
    pub failure_grace: Micros,
    /// Time from an evacuation to the trickle of requests that begins the recovery; doubled each time the zone
    /// fails during recovery.
    pub base_hold_down: Micros,
    /// Upper bound of the doubled hold-down.
    pub max_hold_down: Micros,
    /// Duration of a step of the recovery ramp.
    pub ramp_step: Micros,
}

impl Settings {
    /// Default settings for these zones.
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

    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// [`InvalidConfiguration`] names the violated rule.
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

    /// The longest time from the first sign that a zone is lost until all nodes follow a plan without it, if
    /// reports and plans take `gossip_delay` to reach all nodes.
    pub fn max_failover_time(&self, gossip_delay: Micros) -> Micros {
        self.failure_grace + 2 * self.plan_interval + 2 * gossip_delay
    }

    /// The longest time from the end of a fault until the zone is fully open, if it failed `failures` times during
    /// recovery before.
    pub fn max_recovery_time(&self, failures: u32) -> Micros {
        let hold_down = self
            .base_hold_down
            .saturating_mul(1 << failures.min(MAX_HOLD_DOWN_DOUBLINGS))
            .min(self.max_hold_down);
        hold_down + 4 * self.ramp_step + self.plan_interval
    }
}
