//! Demand: how many requests arrive for each engine that could be sent them, and whether that is more than
//! engines have been observed to do.

use super::service_rates::COUNT_DECAY;
use super::Router;
use crate::interface::*;
use crate::state::AttemptKind;

/// Recent arrivals decay by this factor at each maintenance: they are those of the last 1.7 seconds.
const RECENT_ARRIVALS_DECAY: f64 = 0.7;
/// The time over which recent arrivals are counted, in seconds.
const RECENT_ARRIVALS_S: f64 = 1.67;
/// Recent arrivals count as a rise of the demand only as far as they exceed chance, in standard deviations.
const RECENT_ARRIVALS_DEVIATIONS: f64 = 2.0;
/// Demand exceeds capacity from this multiple of the observed service rate on.
const MAX_DEMAND_RATIO: f64 = 1.1;
/// Capacity is lacking if more than this fraction of the requests was given up lately.
const MAX_UNSERVED_FRACTION: f64 = 0.1;
/// A node that has observed less does not know what engines can do.
const MIN_OBSERVED_FOR_CAPACITY_S: f64 = 3.0;
/// Guards against division by zero before anything was observed.
const MIN_OBSERVED_S: f64 = 0.5;

impl Router {
    /// Lets the counts decay, at each maintenance.
    pub(super) fn decay_demand(&mut self) {
        self.measurements.reads_answered *= COUNT_DECAY;
        self.measurements.unserved_requests *= COUNT_DECAY;
        self.measurements.started_requests *= COUNT_DECAY;
        self.measurements.recent_arrivals *= RECENT_ARRIVALS_DECAY;
    }

    /// The requests per second that this node wants served: those that were read, those that were given up,
    /// and those that wait now.
    pub(super) fn wanted_requests_per_s(&self) -> f64 {
        let measurements = &self.measurements;
        let observed_s = self.pool(AttemptKind::Read).observed_s.max(MIN_OBSERVED_S);
        let usual = (measurements.reads_answered + measurements.unserved_requests) / observed_s;
        let window_s = self.settings.overload_window.max(1) as f64 / 1e6;
        let waiting = measurements.other_pending_requests as f64 / window_s;
        let recent = measurements.recent_arrivals;
        let risen = (recent - RECENT_ARRIVALS_DEVIATIONS * recent.sqrt()) / RECENT_ARRIVALS_S;
        (usual + waiting).max(risen)
    }

    /// The requests per second that this node sends for the first time.
    pub(super) fn started_requests_per_s(&self) -> f64 {
        self.measurements.started_requests / self.pool(AttemptKind::Read).observed_s.max(MIN_OBSERVED_S)
    }

    /// The number of engines of a role, or that can stand in for it, that can be sent requests now.
    pub(super) fn usable_engine_count(&self, kind: AttemptKind) -> f64 {
        let usable = &self.measurements;
        let count = if kind == AttemptKind::Write { usable.usable_writers } else { usable.usable_readers };
        count.max(1) as f64
    }

    /// Counts the engines that can be sent requests now.
    pub(super) fn update_usable_engines(&mut self, now: Micros) {
        let (mut readers, mut writers) = (0, 0);
        for (index, engine) in self.engines.iter().enumerate() {
            if engine.is_serving() && now >= engine.overloaded_until && !self.is_ejected(now, index) {
                readers += usize::from(engine.can_read());
                writers += usize::from(engine.can_write());
            }
        }
        self.measurements.usable_readers = readers;
        self.measurements.usable_writers = writers;
    }

    /// Whether requests wait or were given up lately.
    pub(super) fn lacks_capacity(&self) -> bool {
        let measurements = &self.measurements;
        let all = measurements.reads_answered + measurements.unserved_requests;
        measurements.other_pending_requests > 0
            || measurements.unserved_requests > MAX_UNSERVED_FRACTION * all
    }

    /// Whether an even part of the demand is more than a warm engine of this kind has been observed to do, so
    /// that a fraction of what arrives is no fraction of what can be done. So it is until enough has been
    /// observed.
    pub(super) fn demand_exceeds_capacity(&self, kind: AttemptKind) -> bool {
        let demand = self.wanted_requests_per_s() / self.usable_engine_count(kind);
        self.pool(kind).observed_s < MIN_OBSERVED_FOR_CAPACITY_S
            || demand > MAX_DEMAND_RATIO * self.observed_service_rate(kind)
    }
}
