//! Slow start: how many requests an engine that has started recently may be sent.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::slow_start_turns::TURN_BUDGET_FRACTION;
use super::Router;
use crate::estimates::SlowStartControl;
use crate::interface::*;
use crate::state::{AttemptKind, Engine, RequestState, SlowStartChange, SlowStartRecord};

/// The fraction of the budget that is used where nodes sample the reads that they may send.
const SAMPLED_BUDGET_FRACTION: f64 = 0.8;
/// The fraction of the budget that is sampled where most prompts have the same prefix, so that all nodes
/// prefer the same engine.
const CONTENDED_BUDGET_FRACTION: f64 = 0.75;
/// If more than this fraction of the arrivals has one prefix, all nodes prefer the same engine.
const CONTENDED_PREFIX_FRACTION: f64 = 0.5;
/// The budget is based on the measured service rate times this, because a warm engine answers fewer
/// requests on average than it could.
const SERVICE_RATE_HEADROOM: f64 = 1.2;
/// The same for engines that are half or twice as large as their peers on the mean, or further from them.
const SERVICE_RATE_HEADROOM_OTHER_SIZES: f64 = 0.9;

/// Hashes an id to a fraction between 0 and 1, which is the same at all nodes.
pub(super) fn hash_fraction(id: &str, seed: u64) -> f64 {
    xxh3_64_with_seed(id.as_bytes(), seed) as f64 / u64::MAX as f64
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
    /// that part is less than one send, the node's own rate is too low to control. While the engines can do
    /// what arrives, each node admits the same fraction of its reads by sampling (`retain_sampled`), which
    /// adds up to that fraction of the budget. Otherwise, and for sends that may all go to the same engine at
    /// once, the nodes take turns.
    pub(super) fn within_slow_start_budget(&self, now: Micros, request: &RequestState, index: usize) -> bool {
        if now >= self.engines[index].warming_up_until {
            return true;
        }
        let allowed = self.has_slow_start_budget_left(now, request, index);
        if !allowed {
            self.record_withheld(index);
        }
        allowed
    }

    fn has_slow_start_budget_left(&self, now: Micros, request: &RequestState, index: usize) -> bool {
        let engine = &self.engines[index];
        // Requests that have been tried at other engines must not concentrate on those in slow start, unless
        // these are needed.
        if !request.tried.is_empty() && !self.is_budget_strict(index) {
            return false;
        }
        if request.state_reader.is_none() && self.samples_reads(index) {
            return self.sends_in_window(now, engine) == 0;
        }
        self.has_unsampled_sends_left(now, index)
    }

    /// Whether one more send to an engine in slow start stays within what this node may send without
    /// sampling.
    fn has_unsampled_sends_left(&self, now: Micros, index: usize) -> bool {
        let recent_sends = self.sends_in_window(now, &self.engines[index]);
        let sends_without_turn = self.usable_slow_start_budget(index) as usize;
        recent_sends < sends_without_turn || (recent_sends == sends_without_turn && self.has_turn(now, index))
    }

    /// Counts a send to an engine that may be in slow start, just before it is recorded.
    pub(super) fn count_slow_start_send(&mut self, now: Micros, index: usize) {
        if now >= self.engines[index].warming_up_until {
            return;
        }
        self.engines[index].slow_start.sent += 1;
        let uses_turn =
            self.sends_in_window(now, &self.engines[index]) >= self.usable_slow_start_budget(index) as usize;
        if uses_turn {
            self.end_turn(now, index);
        }
    }

    /// Whether waiting requests should use what this node may send to an engine, whatever engines they
    /// prefer.
    pub(super) fn is_slow_start_budget_needed(&self, now: Micros, index: usize) -> bool {
        let engine = &self.engines[index];
        now < engine.warming_up_until
            && now >= engine.overloaded_until
            && engine.is_serving()
            && !self.is_ejected(now, index)
            && self.is_budget_strict(index)
            && self.has_unsampled_sends_left(now, index)
    }

    /// This node's sends to an engine within the last overload window.
    pub(crate) fn sends_in_window(&self, now: Micros, engine: &Engine) -> usize {
        let window = self.settings.overload_window;
        engine.recent_sends.iter().filter(|at| **at + window > now).count()
    }

    /// How sends to an engine in slow start are controlled now.
    pub(crate) fn slow_start_control(&self, index: usize) -> SlowStartControl {
        if self.samples_reads(index) {
            SlowStartControl::Sampling
        } else if self.usable_slow_start_budget(index) < 1.0 {
            SlowStartControl::Turns
        } else {
            SlowStartControl::Window
        }
    }

    /// Whether reads at an engine in slow start are controlled by sampling.
    pub(super) fn samples_reads(&self, index: usize) -> bool {
        let engine = &self.engines[index];
        engine.can_read()
            && self.own_slow_start_budget(engine) < 1.0
            && !self.demand_exceeds_capacity(AttemptKind::of_role(engine.role))
    }

    /// The part of this node's budget, in sends per overload window, that it uses without sampling.
    pub(crate) fn usable_slow_start_budget(&self, index: usize) -> f64 {
        let engine = &self.engines[index];
        let own_budget = self.own_slow_start_budget(engine);
        let kind = AttemptKind::of_role(engine.role);
        if own_budget >= 1.0 && !self.is_budget_strict(index) {
            return own_budget;
        }
        let exceeds_capacity = self.demand_exceeds_capacity(kind);
        let saturated_rate = self.saturated_service_rate(kind).filter(|_| exceeds_capacity);
        let budget = saturated_rate.map_or(own_budget, |rate| self.slow_start_budget_at(engine, rate));
        (TURN_BUDGET_FRACTION * budget).max(self.least_slow_start_budget())
    }

    /// Whether the budget of an engine in slow start is needed, and holds whatever is sent there: demand
    /// exceeds capacity, so that nothing is sampled, and requests wait.
    fn is_budget_strict(&self, index: usize) -> bool {
        let kind = AttemptKind::of_role(self.engines[index].role);
        self.demand_exceeds_capacity(kind) && self.lacks_capacity()
    }

    /// This node's even part of the budget of an engine, in sends per overload window, if a warm engine of
    /// its role answers that many requests per second to this node.
    fn slow_start_budget_at(&self, engine: &Engine, service_rate: f64) -> f64 {
        let settings = &self.settings;
        let warm_engine_answers =
            self.relative_capacity(engine) * service_rate * settings.overload_window.max(1) as f64 / 1e6;
        settings.slow_start_min_capacity * settings.overload_factor * warm_engine_answers
    }

    /// The budget of a node that does not know what engines can do: all nodes together send once per window.
    fn least_slow_start_budget(&self) -> f64 {
        1.0 / f64::from(self.node_count())
    }

    /// Puts an engine into slow start until a time, unless that has passed.
    pub(super) fn begin_slow_start(&mut self, now: Micros, index: usize, until: Micros) {
        let engine = &mut self.engines[index];
        engine.warming_up_until = engine.warming_up_until.max(until);
        if engine.warming_up_until <= now {
            return;
        }
        engine.slow_start =
            SlowStartRecord { began_at: now, unlogged: Some(SlowStartChange::Began), ..Default::default() };
        self.begin_turns(now, index);
    }

    /// This node's even part of the budget of an engine, in sends per overload window.
    pub(crate) fn own_slow_start_budget(&self, engine: &Engine) -> f64 {
        let rate = self.service_rate(AttemptKind::of_role(engine.role));
        let headroom = service_rate_headroom(self.relative_capacity(engine));
        let budget = headroom * self.slow_start_budget_at(engine, rate);
        budget.max(self.least_slow_start_budget())
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
            if is_warm(index) || request.state_reader.is_some() || !self.samples_reads(*index) {
                return true;
            }
            least_capacity = least_capacity.min(self.relative_capacity(engine));
            let is_in_sample = weighted_sample < mean_engine_fraction * least_capacity;
            if !is_in_sample {
                self.record_withheld(*index);
            }
            is_in_sample
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
