//! Rates of served requests: measured, gossiped, and stored for the next start.

use pintally::interface::Micros;
use pintally_recovery::Stage;

use super::topics::{FactTopic, RecordKey};
use super::FleetThread;
use crate::sync::lock;

/// Interval at which rates are measured and stored.
const MEASURE_INTERVAL_US: Micros = 1_000_000;
/// Weight of the latest second in the moving average of the served rate.
const RATE_SMOOTHING: f64 = 0.2;
/// The fleet's rate decays by this factor per second, so that a fleet that has shrunk is not expected to
/// serve its former rate.
const FLEET_RATE_DECAY: f64 = 0.999;

/// Rates of requests served by this node and by the fleet.
pub(super) struct ServedRates {
    /// Requests per second of the whole fleet: the recent maximum.
    fleet_rate: f64,
    /// Requests per second of this node, smoothed.
    own_rate: f64,
    /// The host's counter of served requests when it was last read.
    served: u64,
    next_measurement_at: Micros,
}

impl ServedRates {
    /// Starts with the fleet's rate that the store remembers.
    pub(super) fn new(now: Micros, remembered_fleet_rate: f64) -> ServedRates {
        let fleet_rate = if remembered_fleet_rate.is_finite() { remembered_fleet_rate } else { 0.0 };
        ServedRates { fleet_rate, own_rate: 0.0, served: 0, next_measurement_at: now }
    }

    /// Updates this node's rate from the host's counter. Called once per interval.
    fn measure(&mut self, served: u64) {
        let newly_served = served.saturating_sub(std::mem::replace(&mut self.served, served));
        self.own_rate += RATE_SMOOTHING * (newly_served as f64 - self.own_rate);
    }
}

impl FleetThread<'_> {
    /// Measures rates, exchanges endpoint lists and refreshes the membership status, once per second.
    pub(super) fn measure_and_store(&mut self, now: Micros) {
        if now < self.rates.next_measurement_at {
            return;
        }
        self.rates.next_measurement_at = now + MEASURE_INTERVAL_US;
        self.rates.measure(self.shared.counters().host.served);
        // The rate of a recovering node is limited by what it admits and would lower the fleet's rate.
        let stage = lock(&self.shared.fleet.recovery_answer).as_ref().map(|answer| answer.stage);
        if stage.is_none_or(|stage| stage == Stage::Serving) {
            self.publish_and_store_rates();
        }
        self.exchange_lists();
        *lock(&self.shared.fleet.membership_status) = Some(self.link.membership.status(now));
    }

    fn publish_and_store_rates(&mut self) {
        let own_rate = self.rates.own_rate.to_bits().to_le_bytes().to_vec();
        let _ = self.link.membership.publish(FactTopic::ServedRate.topic(), own_rate);
        let fleet_rate: f64 = self.peer_rates().sum::<f64>() + self.rates.own_rate;
        self.rates.fleet_rate = fleet_rate.max(self.rates.fleet_rate * FLEET_RATE_DECAY);
        let shared = &self.shared.fleet;
        shared.store_record(RecordKey::FleetRate, self.rates.fleet_rate.to_bits().to_le_bytes().to_vec());
        let service_rates = *lock(&shared.service_rates);
        let payload = service_rates.iter().flat_map(|rate| rate.to_bits().to_le_bytes()).collect();
        shared.store_record(RecordKey::ServiceRates, payload);
    }

    /// The rates published by live peers that share this node's engines.
    fn peer_rates(&self) -> impl Iterator<Item = f64> + '_ {
        let membership = &self.link.membership;
        let counted =
            |origin| membership.member(origin).is_some_and(|m| m.is_alive() && self.shares_engines_with(m));
        let facts = membership.facts(FactTopic::ServedRate.topic()).filter(move |f| counted(&f.origin));
        facts.filter_map(|fact| {
            let bytes = <[u8; 8]>::try_from(fact.payload.as_slice()).ok()?;
            Some(f64::from_bits(u64::from_le_bytes(bytes))).filter(|rate| rate.is_finite() && *rate >= 0.0)
        })
    }
}
