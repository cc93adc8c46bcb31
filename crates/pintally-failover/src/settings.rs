//! Settings of failover: zones, their regions, the prices between them, and limits.

use std::collections::BTreeSet;

use pintally_validation::{ensure, InvalidConfiguration};

use crate::Micros;

/// The maximum number of zones, so that a plan fits into one gossiped fact.
pub const MAX_ZONES: usize = 20;

/// The price between two zones of one region if the settings list none for them.
const REGIONAL_PRICE: f64 = 1.0;

/// The price between zones of different regions if the settings list none for them.
const REMOTE_PRICE: f64 = 10.0;

/// Bounds the exponent when the hold-down is doubled repeatedly; `max_hold_down` is reached long before.
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
    /// Prices of routing a request between two zones, valid in both directions. The default price is 1 between zones
    /// of a region and 10 between regions. A price that is not finite forbids routing between the two zones.
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

/// Settings of failover; times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zones.
    pub zones: ZoneMap,
    /// Requests per second that one warmed-up engine can serve, from all nodes together.
    pub requests_per_second_per_engine: f64,
    /// The fraction of a zone's capacity that may be used.
    pub max_utilization: f64,
    /// The fraction of a zone's capacity that is reserved for its own requests.
    pub local_reserve: f64,
    /// The time between two plans.
    pub plan_interval: Micros,
    /// A plan that is not replaced by a new one expires after this time.
    pub plan_lifetime: Micros,
    /// A zone must be failing for this long before it is evacuated.
    pub failure_grace: Micros,
    /// The time from an evacuation to the first step of the recovery; doubled each time the zone fails during
    /// recovery.
    pub base_hold_down: Micros,
    /// Upper bound of the doubled hold-down.
    pub max_hold_down: Micros,
    /// The duration of a step of the recovery ramp.
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
        ensure(!zones.is_empty(), "there is no `zone`")?;
        ensure(zones.len() <= MAX_ZONES, "there are more than 20 zones")?;
        ensure(names.len() >= zones.len(), "a zone is in two regions, or named twice")?;
        ensure(self.zones.prices.iter().all(|p| p.2 >= 0.0), "a `price` is negative")?;
        ensure(
            self.requests_per_second_per_engine > 0.0,
            "`per-engine-per-s` must be above 0: an engine would serve nothing",
        )?;
        ensure(
            (0.1..=1.0).contains(&self.max_utilization),
            "`fill` must be from 0.1 to 1: below, nearly nothing of a zone may be used",
        )?;
        ensure(
            (0.0..=1.0).contains(&self.local_reserve),
            "`floor` must be from 0 to 1: a zone cannot reserve more than it has",
        )?;
        ensure(
            self.plan_lifetime >= 3 * self.plan_interval,
            "`lasts-ms` is under three times `every-ms`: a plan expires before it was renewed three times",
        )?;
        ensure(
            self.failure_grace >= 2 * self.plan_interval,
            "`grace-ms` is under twice `every-ms`: a zone would be evacuated before two plans have seen it fail",
        )?;
        ensure(
            self.base_hold_down >= self.failure_grace && self.base_hold_down <= self.max_hold_down,
            "`hold-ms` is under `grace-ms` or over `hold-most-ms`: a zone would be tried again too early, or never",
        )?;
        ensure(self.ramp_step >= 2 * self.plan_interval, "`step-ms` is under twice `every-ms`: a step of the recovery would end before a plan has seen its effect")
    }

    /// The longest time from the first evidence that a zone is lost until all nodes follow a plan without it, if
    /// reports and plans take `gossip_delay` to reach all nodes.
    pub fn max_failover_time(&self, gossip_delay: Micros) -> Micros {
        self.failure_grace + 2 * self.plan_interval + 2 * gossip_delay
    }

    /// The longest time from the end of a fault until the zone is fully open, if the zone has failed `failures` times
    /// during recovery before.
    pub fn max_recovery_time(&self, failures: u32) -> Micros {
        let hold_down = self
            .base_hold_down
            .saturating_mul(1 << failures.min(MAX_HOLD_DOWN_DOUBLINGS))
            .min(self.max_hold_down);
        hold_down + 4 * self.ramp_step + self.plan_interval
    }
}
