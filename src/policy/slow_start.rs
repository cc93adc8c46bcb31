//! Slow start: how much an engine that has just started may be sent.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Router;
use crate::interface::*;
use crate::state::{AttemptKind, RequestState};

/// Part of the budget that is given out where a node draws lots for its share of the reads.
const LOTTERY_BUDGET_FRACTION: f64 = 0.8;
/// Part of the budget that is given out where all nodes want one engine, as where most prompts have
/// the same prefix.
const HERD_BUDGET_FRACTION: f64 = 0.75;
/// A prefix of more than this part of the arrivals makes the nodes a herd.
const MAJORITY_FRACTION: f64 = 0.5;
/// The budget counts this much more than the measured service rate: a warm engine answers less on the
/// mean than it could.
const SERVICE_RATE_HEADROOM: f64 = 1.2;

/// A fraction between 0 and 1 that all nodes derive alike from an id.
fn fraction_of(id: &str, seed: u64) -> f64 {
    xxh3_64_with_seed(id.as_bytes(), seed) as f64 / u64::MAX as f64
}

impl Router {
    /// Whether one more send stays within the budget of an engine in slow start.
    ///
    /// The budget is that of all nodes together, and no capacity is known: what a warm engine of the
    /// pool answers on the mean, this node's part times the nodes, stands for it. Each node may use an
    /// even part of the budget in a window. Where that part is less than one send, the node's own rate is
    /// too low to tell. Reads are spread then: of an even share each node admits the same part by lot,
    /// which sums to the budget's part. All other sends herd, so nodes take turns.
    pub(super) fn within_slow_start_budget(&self, now: Micros, request: &RequestState, index: usize) -> bool {
        let engine = &self.engines[index];
        if now >= engine.warming_up_until {
            return true;
        }
        // What other engines rejected must not crowd onto those in slow start.
        if !request.tried.is_empty() {
            return false;
        }
        let settings = &self.settings;
        let window = settings.overload_window;
        let recent_sends = engine.recent_sends.iter().filter(|at| **at + window > now).count();
        let own_budget = self.own_slow_start_budget(AttemptKind::of_role(engine.role));
        if own_budget < 1.0 && request.state_reader.is_none() {
            return recent_sends == 0 && self.wins_slow_start_lottery(request);
        }
        let turn_fraction =
            if own_budget < 1.0 { (own_budget * HERD_BUDGET_FRACTION).min(1.0) } else { own_budget.fract() };
        let engine_offset = fraction_of(&engine.id.0, 0);
        let node_offset = f64::from(settings.node_index) / f64::from(settings.node_count.max(1));
        let elapsed_turns = now as f64 / window.max(1) as f64 * turn_fraction;
        let has_turn = (elapsed_turns + node_offset + engine_offset).fract() < turn_fraction;
        recent_sends < own_budget as usize + usize::from(has_turn)
    }

    /// This node's even part of an engine's budget, in sends in one overload window.
    fn own_slow_start_budget(&self, kind: AttemptKind) -> f64 {
        let settings = &self.settings;
        let window_us = settings.overload_window.max(1) as f64;
        let warm_engine_answers = self.service_rate(kind) * window_us / 1e6;
        let budget = SERVICE_RATE_HEADROOM
            * settings.slow_start_min_capacity
            * settings.overload_factor
            * warm_engine_answers;
        budget.max(1.0 / f64::from(settings.node_count.max(1)))
    }

    /// Whether a read that one of many nodes would send to an engine in slow start is among the part
    /// that it may send. The lot is the same for all such engines: what one of them does not get must not
    /// crowd onto the next.
    fn wins_slow_start_lottery(&self, request: &RequestState) -> bool {
        let settings = &self.settings;
        let drawn = fraction_of(&request.request.id.0, settings.node_index.into())
            * self.replica_crowding(&request.request);
        drawn < LOTTERY_BUDGET_FRACTION * settings.slow_start_min_capacity * settings.overload_factor
    }

    /// How many even shares of all requests a preferred replica of this request's prefix gets: the fewer
    /// requests were seen, the more.
    fn replica_crowding(&self, request: &Request) -> f64 {
        let seen = request.prefix.and_then(|prefix| self.prefix_arrivals.get(&prefix)).map_or(0.0, |n| *n);
        let fraction = seen / self.measurements.arrivals.max(1.0);
        let least = if fraction > MAJORITY_FRACTION { 1.0 / HERD_BUDGET_FRACTION } else { 1.0 };
        (fraction * self.writers() / self.preferred_replicas(request)).max(least)
    }
}
