//! The hash ring: the order in which a prompt prefers the readers, which is the same at every node.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Router;
use crate::interface::*;
use crate::state::{Engine, Rack};

/// The least number of preferred replicas of a prefix where nodes see too few requests to count its own.
const MIN_REPLICAS_AT_NEGLIGIBLE_VISIBILITY: f64 = 2.0;
/// A reader counts as having at least this many writers nearby, also if its rack has none.
const MIN_NEARBY_WRITERS: f64 = 0.02;
/// A reader counts as having no more writers nearby than this.
const MAX_NEARBY_WRITERS: f64 = 1.3;
/// The number of writers nearby for a mixed engine: few, because what it reads slows its own answers.
const MIXED_NEARBY_WRITERS: f64 = 0.25;
/// The greater this is, the more evenly prompts without a shared prefix are spread; otherwise they prefer
/// readers with few writers nearby.
const UNSHARED_SPREAD: f64 = 0.5;

/// The writers of a rack per reader: how many one reader can supply with states inside the rack.
pub(super) fn nearby_writers(rack: &Rack) -> f64 {
    (rack.writers / rack.readers.max(1.0)).clamp(MIN_NEARBY_WRITERS, MAX_NEARBY_WRITERS)
}

/// The divisor of a reader's weight on the ring for prompts without a shared prefix.
pub(super) fn unshared_weight_divisor(nearby_writers: f64) -> f64 {
    UNSHARED_SPREAD + nearby_writers
}

impl Router {
    /// The readers and mixed engines in the order of the ring for a request's key, the preferred replica
    /// first. Every node derives the same order from the same endpoint list, whatever the order of its
    /// entries. A prompt that is mostly in its replica's cache needs far more transfer than reading, so
    /// the ring of a shared prefix favours readers with many writers nearby: their states do not have to
    /// cross the one link of the rack.
    pub(super) fn ring(&self, request: &Request) -> Vec<usize> {
        let mut ring: Vec<(f64, &EngineId, usize)> = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.is_serving() && engine.can_read())
            .map(|(index, engine)| (self.ring_position(request, engine), &engine.id, index))
            .collect();
        ring.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        let mut ring: Vec<usize> = ring.into_iter().map(|(_, _, index)| index).collect();
        // Guards against prefixes with more requests than the writers of one rack can serve: the first
        // replicas of the ring share them by session.
        let replicas = (self.preferred_replica_count(request) as usize).min(ring.len());
        if replicas > 1 {
            ring[..replicas].rotate_left(request.session as usize % replicas);
        }
        ring
    }

    /// An engine's position on the ring for a request's key (weighted rendezvous hashing).
    fn ring_position(&self, request: &Request, engine: &Engine) -> f64 {
        let key = request.prefix.unwrap_or(request.session);
        let hash = (xxh3_64_with_seed(engine.id.0.as_bytes(), key) as f64 + 1.0) / u64::MAX as f64;
        let nearby_writers = match engine.role {
            Role::Mixed => MIXED_NEARBY_WRITERS,
            _ => self.racks.get(&engine.rack).map_or(MIN_NEARBY_WRITERS, nearby_writers),
        };
        let weight = if request.prefix.is_some() {
            nearby_writers
        } else {
            1.0 / unshared_weight_divisor(nearby_writers)
        };
        -hash.ln() / weight
    }

    /// The demand for a request's prefix, in writers: its share of all requests times the number of writers.
    /// Each writer's worth of demand gets a replica.
    pub(super) fn prefix_demand(&self, request: &Request) -> f64 {
        let arrivals = request.prefix.and_then(|prefix| self.prefix_arrivals.get(&prefix));
        // The count includes this request, which shows no demand by others.
        let others = arrivals.map_or(0.0, |arrivals| (arrivals - 1.0).max(0.0));
        others / self.measurements.arrivals.max(1.0) * self.writer_count()
    }

    /// The number of preferred replicas of a request's prefix. Nodes that see few requests would each derive
    /// a different number from their counts, so there it is at least a fixed minimum.
    pub(super) fn preferred_replica_count(&self, request: &Request) -> f64 {
        let min_replicas =
            if self.has_negligible_visibility() { MIN_REPLICAS_AT_NEGLIGIBLE_VISIBILITY } else { 1.0 };
        self.prefix_demand(request).ceil().max(min_replicas)
    }
}
