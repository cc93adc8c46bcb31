//! Links between racks: what it costs that a read state leaves the rack of its reader.

use super::admission::TARGET_FRACTION;
use super::hash_ring::{nearby_writers, unshared_weight};
use super::outlier_ejection::MAX_EJECTION_TIME_US;
use super::slowdown::SAMPLE_WEIGHT;
use super::Router;
use crate::interface::*;
use crate::state::{MovingMean, Rack};

/// Links that cost more than this part of the target count as slow.
const SLOW_LINK_COST: f64 = 0.5;
/// No link counts as costing more than this many targets.
const MAX_LINK_COST: f64 = 2.0;
/// Transfers are rarer than attempts: a sample weighs this many times as much.
const TRANSFER_WEIGHT_FACTOR: f64 = 2.0;
/// A rack's own link is known from this many transfers on.
const MIN_TRANSFERS: u32 = 2;

/// Guards against division by zero where a fleet has no readers or writers.
const MIN_DIVISOR: f64 = 1e-9;

impl Router {
    /// Without reports the list stands in for them: how many times an even part of the fleet's
    /// streams a rack's writers get if all that is read there stays there. Guards against near
    /// writers that all nodes prefer, which one of many nodes cannot see.
    pub(super) fn expected_rack_load(&self, rack: u64) -> f64 {
        let Some(own) = self.racks.get(&rack) else { return 0.0 };
        let sum = |of: fn(&Rack) -> f64| self.racks.values().map(of).sum::<f64>().max(MIN_DIVISOR);
        let shared_reads = |rack: &Rack| rack.readers * nearby_writers(rack);
        let unshared_reads = |rack: &Rack| rack.readers / unshared_weight(nearby_writers(rack));
        let shared = self.measurements.shared_prefix_arrivals / self.measurements.arrivals.max(1.0);
        let read_fraction = shared * shared_reads(own) / sum(shared_reads)
            + (1.0 - shared) * unshared_reads(own) / sum(unshared_reads);
        read_fraction * sum(|rack| rack.writers) / own.writers.max(MIN_DIVISOR)
    }

    /// How much longer first tokens take when the state leaves its rack, in parts of the target.
    /// Guards against slow links, whatever slows them; it decays, so that far writers are tried again.
    pub(super) fn link_cost(&self, now: Micros, rack: u64) -> f64 {
        // A rack's own link where this node knows it, else the mean of all.
        let wait = self.known_link(now, rack).map_or(self.measurements.other_rack_wait, |r| r.outbound_wait);
        let age = now.saturating_sub(wait.updated_at) as f64 / MAX_EJECTION_TIME_US as f64;
        let excess = wait.value - self.measurements.same_rack_wait.value;
        let cost = excess / (self.tightest_objective() * TARGET_FRACTION);
        cost.clamp(0.0, MAX_LINK_COST) * 0.5f64.powf(age)
    }

    /// Whether states leave a rack slowly.
    pub(super) fn is_slow_link(&self, now: Micros, rack: u64) -> bool {
        self.link_cost(now, rack) > SLOW_LINK_COST
    }

    /// A rack whose link this node has seen two states or more cross lately.
    pub(super) fn known_link(&self, now: Micros, rack: u64) -> Option<&Rack> {
        self.racks.get(&rack).filter(|rack| {
            rack.transfers >= MIN_TRANSFERS && now < rack.outbound_wait.updated_at + MAX_EJECTION_TIME_US
        })
    }

    /// Takes in how long a state took to where its answer began, or did not begin.
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
