//! Links between racks: the cost of transferring a read state out of the rack of its reader.

use super::admission::TARGET_FRACTION;
use super::hash_ring::{nearby_writers, unshared_weight_divisor};
use super::outlier_ejection::MAX_EJECTION_TIME_US;
use super::slowdown::SAMPLE_WEIGHT;
use super::Router;
use crate::interface::*;
use crate::state::{MovingMean, Rack};

/// A link counts as slow if it costs more than this, as a multiple of the target for first tokens.
const SLOW_LINK_COST: f64 = 0.5;
/// The maximum cost of a link, as a multiple of the target for first tokens.
const MAX_LINK_COST: f64 = 2.0;
/// Transfers are rarer than attempts, so a sample of one weighs this many times as much.
const TRANSFER_WEIGHT_FACTOR: f64 = 2.0;
/// The link of a rack is known after this many transfers.
const MIN_TRANSFERS: u32 = 2;

/// Guards against division by zero where a fleet has no readers or writers.
const MIN_DIVISOR: f64 = 1e-9;

impl Router {
    /// The expected load of a rack's writers, as a multiple of an even share of the fleet's streams, if
    /// every state that is read in the rack stays there. It is derived from the endpoint list, in place of
    /// load reports: one of many nodes cannot see that all nodes prefer the same near writers.
    pub(super) fn expected_rack_load(&self, rack: u64) -> f64 {
        let Some(own) = self.racks.get(&rack) else { return 0.0 };
        let sum = |of: fn(&Rack) -> f64| self.racks.values().map(of).sum::<f64>().max(MIN_DIVISOR);
        let shared_reads = |rack: &Rack| rack.readers * nearby_writers(rack);
        let unshared_reads = |rack: &Rack| rack.readers / unshared_weight_divisor(nearby_writers(rack));
        let shared_fraction = self.measurements.shared_prefix_arrivals / self.measurements.arrivals.max(1.0);
        let read_fraction = shared_fraction * shared_reads(own) / sum(shared_reads)
            + (1.0 - shared_fraction) * unshared_reads(own) / sum(unshared_reads);
        read_fraction * sum(|rack| rack.writers) / own.writers.max(MIN_DIVISOR)
    }

    /// How much longer first tokens take when the state leaves its rack, whatever slows the link, as a
    /// multiple of the target. It decays, so that writers in other racks are tried again.
    pub(super) fn link_cost(&self, now: Micros, rack: u64) -> f64 {
        // The rack's own link if this node knows it, else the mean of all links.
        let wait = self
            .rack_with_known_link(now, rack)
            .map_or(self.measurements.other_rack_wait, |known| known.outbound_wait);
        let age = now.saturating_sub(wait.updated_at) as f64 / MAX_EJECTION_TIME_US as f64;
        let excess = wait.value - self.measurements.same_rack_wait.value;
        let cost = excess / (self.tightest_objective() * TARGET_FRACTION);
        cost.clamp(0.0, MAX_LINK_COST) * 0.5f64.powf(age)
    }

    /// Whether the link out of a rack is slow.
    pub(super) fn is_slow_link(&self, now: Micros, rack: u64) -> bool {
        self.link_cost(now, rack) > SLOW_LINK_COST
    }

    /// The rack, if this node has observed two or more transfers over its link lately.
    pub(super) fn rack_with_known_link(&self, now: Micros, rack: u64) -> Option<&Rack> {
        self.racks.get(&rack).filter(|rack| {
            rack.transfers >= MIN_TRANSFERS && now < rack.outbound_wait.updated_at + MAX_EJECTION_TIME_US
        })
    }

    /// Records the time from the send to a writer until its first token, or until its timeout.
    pub(super) fn record_transfer(
        &mut self,
        now: Micros,
        reader: Option<usize>,
        writer: usize,
        duration_us: f64,
    ) {
        let Some(rack) = reader.map(|reader| self.engines[reader].rack) else { return };
        let observe =
            |mean: &mut MovingMean| mean.observe(now, duration_us, TRANSFER_WEIGHT_FACTOR * SAMPLE_WEIGHT);
        if rack == self.engines[writer].rack {
            return observe(&mut self.measurements.same_rack_wait);
        }
        let own = self.racks.entry(rack).or_default();
        if now >= own.outbound_wait.updated_at + MAX_EJECTION_TIME_US {
            own.outbound_wait = self.measurements.other_rack_wait;
            own.transfers = 0;
        }
        own.transfers += 1;
        observe(&mut own.outbound_wait);
        observe(&mut self.measurements.other_rack_wait);
    }
}
