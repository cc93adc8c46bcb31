//! Rates of service: measured, gossiped, and stored for the next start.

use pintally::interface::Micros;
use pintally_recovery::Stage;

use super::topics::{FactTopic, RecordKey};
use super::FleetThread;
use crate::sync::lock;

/// How often rates are measured and stored.
const MEASURE_INTERVAL_US: Micros = 1_000_000;
/// The weight of a new second in the mean of the served rate.
const RATE_SMOOTHING: f64 = 0.2;
/// The fleet's rate decays by this factor a second, so that a fleet that shrank is not taken for what it
/// was.
const FLEET_RATE_DECAY: f64 = 0.999;

/// Rates of requests served, by this node and by the fleet.
pub(super) struct ServedRates {
    /// Requests a second of the whole fleet, at its recent highest.
    fleet: f64,
    /// Requests a second of this node, smoothed.
    own: f64,
    /// The host's counter when it was last read.
    served: u64,
    next_measurement: Micros,
}

impl ServedRates {
    /// Begins with what the store remembers of the fleet's rate.
    pub(super) fn new(now: Micros, remembered_fleet_rate: f64) -> ServedRates {
        let fleet = if remembered_fleet_rate.is_finite() { remembered_fleet_rate } else { 0.0 };
        ServedRates { fleet, own: 0.0, served: 0, next_measurement: now }
    }

    /// Takes in the host's counter, one interval after the last time.
    fn measure(&mut self, served: u64) {
        let fresh = served.saturating_sub(std::mem::replace(&mut self.served, served));
        self.own += RATE_SMOOTHING * (fresh as f64 - self.own);
    }
}

impl FleetThread<'_> {
    /// Once a second: measures rates, exchanges endpoint lists and refreshes the status of members.
    pub(super) fn measure_and_store(&mut self, now: Micros) {
        if now < self.rates.next_measurement {
            return;
        }
        self.rates.next_measurement = now + MEASURE_INTERVAL_US;
        self.rates.measure(self.shared.counters().host.served);
        // A node that still recovers would bring the fleet's rate down to what it admits.
        let stage = lock(&self.shared.fleet.recovery_answer).as_ref().map(|answer| answer.stage);
        if stage.is_none_or(|stage| stage == Stage::Serving) {
            self.publish_and_store_rates();
        }
        self.exchange_lists();
        *lock(&self.shared.fleet.membership_status) = Some(self.link.membership.status(now));
    }

    fn publish_and_store_rates(&mut self) {
        let own = self.rates.own.to_bits().to_le_bytes().to_vec();
        let _ = self.link.membership.publish(FactTopic::ServedRate.topic(), own);
        let fleet: f64 = self.peer_rates().sum::<f64>() + self.rates.own;
        self.rates.fleet = fleet.max(self.rates.fleet * FLEET_RATE_DECAY);
        let shared = &self.shared.fleet;
        shared.store_record(RecordKey::FleetRate, self.rates.fleet.to_bits().to_le_bytes().to_vec());
        let service_rates = *lock(&shared.service_rates);
        let payload = service_rates.iter().flat_map(|rate| rate.to_bits().to_le_bytes()).collect();
        shared.store_record(RecordKey::ServiceRates, payload);
    }

    /// Rates that live peers with the same engines have published.
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
