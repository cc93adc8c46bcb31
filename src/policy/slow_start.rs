//! Slow start: how many requests an engine that has started recently may be sent.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Router;
use crate::interface::*;
use crate::state::{AttemptKind, Engine, RequestState};

/// The fraction of the budget that is used where nodes sample the reads that they may send.
const SAMPLED_BUDGET_FRACTION: f64 = 0.8;
/// The fraction of the budget that is used where all nodes prefer the same engine, for instance because
/// most prompts have the same prefix.
const CONTENDED_BUDGET_FRACTION: f64 = 0.75;
/// If more than this fraction of the arrivals has one prefix, all nodes prefer the same engine.
const CONTENDED_PREFIX_FRACTION: f64 = 0.5;
/// The budget is based on the measured service rate times this, because a warm engine answers fewer
/// requests on average than it could.
const SERVICE_RATE_HEADROOM: f64 = 1.2;
/// The same for engines that are half or twice as large as their peers on the mean, or further from them.
const SERVICE_RATE_HEADROOM_OTHER_SIZES: f64 = 0.9;

/// Hashes an id to a fraction between 0 and 1, which is the same at all nodes.
fn hash_fraction(id: &str, seed: u64) -> f64 {
    xxh3_64_with_seed(id.as_bytes(), seed) as f64 / u64::MAX as f64
}

/// Whether the sends of a request to an engine with such a budget are controlled by sampling: reads are,
/// where a node's part of the budget is less than one.
fn is_sampled(request: &RequestState, own_budget: f64) -> bool {
    own_budget < 1.0 && request.state_reader.is_none()
}

/// The headroom over the service rate of an engine with this capacity relative to its peers. What is derived
/// from engines of other sizes gets less.
fn service_rate_headroom(relative_capacity: f64) -> f64 {
    let doublings = relative_capacity.log2().abs().min(1.0);
    SERVICE_RATE_HEADROOM + doublings * (SERVICE_RATE_HEADROOM_OTHER_SIZES - SERVICE_RATE_HEADROOM)
}

impl Router {
    /// Whether one more send stays within the budget of an engine in slow start.
    ///
    /// The budget is shared by all nodes. Capacities are not known, so it is based on the mean service rate
    /// of the pool's warm engines, which is the rate that this node sees times the number of nodes, and on
    /// the engine's capacity relative to them. In each window a node may use an even part of the budget. If
    /// that part is less than one send, the node's own rate is too low to control. Reads are spread over the
    /// engines then, and each node admits the same fraction of them by sampling (`retain_sampled`), which
    /// adds up to that fraction of the budget. All other sends of the nodes go to the same engine at once,
    /// so the nodes take turns.
    pub(super) fn within_slow_start_budget(&self, now: Micros, request: &RequestState, index: usize) -> bool {
        let engine = &self.engines[index];
        if now >= engine.warming_up_until {
            return true;
        }
        // Requests that have been tried at other engines must not concentrate on those in slow start.
        if !request.tried.is_empty() {
            return false;
        }
        let settings = &self.settings;
        let window = settings.overload_window;
        let recent_sends = engine.recent_sends.iter().filter(|at| **at + window > now).count();
        let own_budget = self.own_slow_start_budget(engine);
        if is_sampled(request, own_budget) {
            return recent_sends == 0;
        }
        let turn_fraction = if own_budget < 1.0 {
            (own_budget * CONTENDED_BUDGET_FRACTION).min(1.0)
        } else {
            own_budget.fract()
        };
        let engine_offset = hash_fraction(&engine.id.0, 0);
        let node_offset = f64::from(settings.node_index) / f64::from(settings.node_count.max(1));
        let elapsed_turns = now as f64 / window.max(1) as f64 * turn_fraction;
        let has_turn = (elapsed_turns + node_offset + engine_offset).fract() < turn_fraction;
        recent_sends < own_budget as usize + usize::from(has_turn)
    }

    /// This node's even part of the budget of an engine, in sends per overload window.
    pub(crate) fn own_slow_start_budget(&self, engine: &Engine) -> f64 {
        let settings = &self.settings;
        let window_us = settings.overload_window.max(1) as f64;
        let rate = self.service_rate(AttemptKind::of_role(engine.role));
        let relative_capacity = self.relative_capacity(engine);
        let warm_engine_answers = relative_capacity * rate * window_us / 1e6;
        let budget = service_rate_headroom(relative_capacity)
            * settings.slow_start_min_capacity
            * settings.overload_factor
            * warm_engine_answers;
        budget.max(1.0 / f64::from(settings.node_count.max(1)))
    }

    /// Removes the engines in slow start that may not be sent this read, because it is not in the sample that
    /// one of many nodes may send. The engines are in the order in which they are preferred: a read that one
    /// of them does not get must not go to a larger one behind it.
    pub(super) fn retain_sampled(&self, now: Micros, request: &RequestState, engines: &mut Vec<usize>) {
        let is_warm = |index: &usize| now >= self.engines[*index].warming_up_until;
        if engines.iter().all(is_warm) {
            return;
        }
        let settings = &self.settings;
        let weighted_sample = hash_fraction(&request.request.id.0, settings.node_index.into())
            * self.replica_load_factor(&request.request);
        let mean_engine_fraction =
            SAMPLED_BUDGET_FRACTION * settings.slow_start_min_capacity * settings.overload_factor;
        let mut least_capacity = f64::INFINITY;
        engines.retain(|index| {
            let engine = &self.engines[*index];
            if is_warm(index) || !is_sampled(request, self.own_slow_start_budget(engine)) {
                return true;
            }
            least_capacity = least_capacity.min(self.relative_capacity(engine));
            weighted_sample < mean_engine_fraction * least_capacity
        });
    }

    /// The load of a preferred replica of this request's prefix, as a multiple of an even share of all
    /// requests. The fewer requests were observed, the higher the estimate.
    fn replica_load_factor(&self, request: &Request) -> f64 {
        let arrivals =
            request.prefix.and_then(|prefix| self.prefix_arrivals.get(&prefix)).map_or(0.0, |count| *count);
        let fraction = arrivals / self.measurements.arrivals.max(1.0);
        let min_factor =
            if fraction > CONTENDED_PREFIX_FRACTION { 1.0 / CONTENDED_BUDGET_FRACTION } else { 1.0 };
        (fraction * self.writer_count() / self.preferred_replica_count(request)).max(min_factor)
    }
}
