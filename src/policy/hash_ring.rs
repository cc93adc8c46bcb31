//! The hash ring: the order in which a prompt prefers the readers, the same at every node.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Router;
use crate::interface::*;
use crate::state::{Engine, Rack};

/// Preferred replicas of every prefix where nodes see too little to count its requests.
const MIN_REPLICAS_OF_BLIND_NODES: f64 = 2.0;
/// A reader without writers in its rack has so much writing nearby, in writers.
const MIN_NEARBY_WRITERS: f64 = 0.02;
/// No reader has more writing nearby than this, in writers.
const MAX_NEARBY_WRITERS: f64 = 1.3;
/// A mixed engine's own writing nearby, in writers: what it reads itself slows its answers.
const MIXED_NEARBY_WRITERS: f64 = 0.25;
/// How evenly prompts without a shared prefix are read, though rather where little writing is nearby.
const UNSHARED_EVENNESS: f64 = 0.5;

/// Writers of a rack for each of its readers: what one of them can feed without leaving the rack.
pub(super) fn nearby_writers(rack: &Rack) -> f64 {
    (rack.writers / rack.readers.max(1.0)).clamp(MIN_NEARBY_WRITERS, MAX_NEARBY_WRITERS)
}

/// The weight of a reader for prompts without a shared prefix, by the writing nearby.
pub(super) fn unshared_weight(nearby_writers: f64) -> f64 {
    UNSHARED_EVENNESS + nearby_writers
}

impl Router {
    /// The readers and mixed engines in the order of the key's ring, the preferred replica first. Every
    /// node gets the same order from the same list, in whatever order the list came. A prompt that is
    /// mostly in its replica's cache transfers far more than it reads: a shared prefix's place on the ring
    /// is weighed by the writing nearby, so that states need not cross their rack's one link.
    pub(super) fn ring(&self, request: &Request) -> Vec<usize> {
        let mut ring: Vec<(f64, &EngineId, usize)> = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.is_serving() && engine.reads())
            .map(|(index, engine)| (self.ring_position(request, engine), &engine.id, index))
            .collect();
        ring.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        let mut ring: Vec<usize> = ring.into_iter().map(|(_, _, index)| index).collect();
        // Guards against prefixes too hot for one rack's writers: the first few replicas share them.
        let replicas = (self.preferred_replicas(request) as usize).min(ring.len());
        if replicas > 1 {
            ring[..replicas].rotate_left(request.session as usize % replicas);
        }
        ring
    }

    /// An engine's place on the ring of a request's key (weighted rendezvous hashing).
    fn ring_position(&self, request: &Request, engine: &Engine) -> f64 {
        let key = request.prefix.unwrap_or(request.session);
        let drawn = (xxh3_64_with_seed(engine.id.0.as_bytes(), key) as f64 + 1.0) / u64::MAX as f64;
        let nearby_writers = match engine.role {
            Role::Mixed => MIXED_NEARBY_WRITERS,
            _ => self.racks.get(&engine.rack).map_or(MIN_NEARBY_WRITERS, nearby_writers),
        };
        let weight =
            if request.prefix.is_some() { nearby_writers } else { 1.0 / unshared_weight(nearby_writers) };
        -drawn.ln() / weight
    }

    /// How many writers' worth of all requests have this one's prefix: each has a replica of its own.
    pub(super) fn prefix_demand(&self, request: &Request) -> f64 {
        let arrivals = request.prefix.and_then(|prefix| self.prefix_arrivals.get(&prefix));
        // The request itself is no evidence of others.
        let others = arrivals.map_or(0.0, |arrivals| (arrivals - 1.0).max(0.0));
        others / self.measurements.arrivals.max(1.0) * self.writers()
    }

    /// How many preferred replicas a request's prefix has. Nodes that see little would each find another
    /// number by their few counts, so it has at least some there.
    pub(super) fn preferred_replicas(&self, request: &Request) -> f64 {
        let least = if self.is_blind() { MIN_REPLICAS_OF_BLIND_NODES } else { 1.0 };
        self.prefix_demand(request).ceil().max(least)
    }
}
