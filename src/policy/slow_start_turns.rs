//! Turns: when each of many nodes may send one more request to an engine in slow start.
//!
//! A node whose part of the budget is less than one send per window gets a turn every so often, in which it
//! may send once. The turns of the nodes begin one after the other, at the rate of the whole budget, so that
//! requests which wait at all nodes reach the engine evenly.

use super::slow_start::hash_fraction;
use super::Router;
use crate::interface::*;
use crate::state::{AttemptKind, TurnSchedule};

/// The part of the budget that is given out as turns, and that is used while demand exceeds capacity: nodes
/// do not know of each other's sends, so some coincide.
pub(super) const TURN_BUDGET_FRACTION: f64 = 0.6;
/// A turn that is not used ends when this many requests are expected to have come for the engine, and after
/// an overload window at the earliest. Guards against turns that add up while demand is low, and are all used
/// when it rises.
const REQUESTS_PER_TURN: f64 = 1.5;
/// The fractions of the multiples of this number are spread evenly, whichever of them are picked.
const GOLDEN_RATIO: f64 = 1.618_033_988_749_895;

impl Router {
    /// Begins this node's turns at an engine that enters slow start. The nodes' first turns are spread
    /// evenly.
    pub(super) fn begin_turns(&mut self, now: Micros, index: usize) {
        let settings = &self.settings;
        let node_offset = f64::from(settings.node_index) * GOLDEN_RATIO;
        let engine_offset = hash_fraction(&self.engines[index].id.0, 0);
        let position = (node_offset + engine_offset).fract();
        let per_us = self.turns_per_us(index);
        self.engines[index].turns = TurnSchedule { position, updated_at: now, per_us, last_ended: 0.0 };
    }

    /// Adapts the turns to the budgets. While reads are sampled, turns pass unused.
    pub(super) fn update_turns(&mut self, now: Micros) {
        for index in 0..self.engines.len() {
            if now >= self.engines[index].warming_up_until {
                continue;
            }
            let per_us = self.turns_per_us(index);
            let pass = self.samples_reads(index);
            let turns = &mut self.engines[index].turns;
            turns.position = turns.position_at(now);
            turns.updated_at = now;
            turns.per_us = per_us;
            if pass {
                turns.last_ended = turns.position.floor();
            }
        }
    }

    /// Whether this node has a turn at an engine in slow start that it has not used.
    pub(super) fn has_turn(&self, now: Micros, index: usize) -> bool {
        let turns = &self.engines[index].turns;
        let position = turns.position_at(now);
        let elapsed_us = position.fract() / turns.per_us.max(f64::MIN_POSITIVE);
        position.floor() > turns.last_ended && elapsed_us <= self.turn_duration_us(index)
    }

    /// The number of requests that may be started beyond the in-flight limit, to use this node's turns.
    pub(super) fn needed_turns(&self, now: Micros) -> usize {
        let has_needed_turn =
            |index: &usize| self.has_turn(now, *index) && self.is_slow_start_budget_needed(now, *index);
        (0..self.engines.len())
            .filter(|index| now < self.engines[*index].warming_up_until)
            .filter(has_needed_turn)
            .count()
    }

    /// Ends this node's turn at an engine, because it was used.
    pub(super) fn end_turn(&mut self, now: Micros, index: usize) {
        let turns = &mut self.engines[index].turns;
        turns.last_ended = turns.position_at(now).floor();
    }

    fn turns_per_us(&self, index: usize) -> f64 {
        self.usable_slow_start_budget(index).fract() / self.settings.overload_window.max(1) as f64
    }

    /// Only a part of this node's reads prefers the engine while others have capacity, but all fetches may.
    fn turn_duration_us(&self, index: usize) -> f64 {
        let spreads = self.engines[index].role == Role::Reader && !self.lacks_capacity();
        let engines = if spreads { self.usable_engine_count(AttemptKind::Read) } else { 1.0 };
        let requests_per_us = self.started_requests_per_s() / 1e6 / engines;
        let expected_us = REQUESTS_PER_TURN / requests_per_us.max(f64::MIN_POSITIVE);
        expected_us.max(self.settings.overload_window as f64)
    }
}
