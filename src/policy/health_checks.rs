//! Health checks: when engines are asked for their load, within a budget earned by requests.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::maintenance::MAINTENANCE_INTERVAL_US;
use super::Router;
use crate::interface::*;
use crate::state::{Engine, ReceivedReport};

/// The maximum cost of the health checks for one request, in points.
const MAX_COST_PER_REQUEST: f64 = 0.01;
/// The maximum number of health checks for one request, however little they cost.
const MAX_CHECKS_PER_REQUEST: f64 = 3.0;
/// The longest time that a prompt waits for the load of the engines that could read it.
const MAX_WAIT_BEFORE_READ_US: Micros = 30_000;
/// From this many pending requests on, in a burst, no prompt waits for health checks.
const MIN_PENDING_IN_BURST: usize = 4;

impl Router {
    /// Handles the result of a health check.
    pub(super) fn health_checked(
        &mut self,
        now: Micros,
        id: &EngineId,
        answered: bool,
        load: Option<LoadReport>,
    ) {
        let Some(&index) = self.engine_indices.get(id) else { return };
        let engine = &mut self.engines[index];
        if let Some(load) = load {
            engine.report = Some(ReceivedReport { at: now, load });
        }
        if !answered {
            // An engine that rejects a health check or does not answer in time is overloaded, if not worse.
            engine.overloaded_until = now + MAINTENANCE_INTERVAL_US;
        }
    }

    /// Health-checks all engines that write if the budget allows it. The budget is earned by this node's own
    /// requests, because the checks of many nodes would otherwise outnumber their requests.
    pub(super) fn check_all_writers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.health_checks_allowed
            || self.settings.load_reporting != LoadReporting::OnHealthCheck
        {
            return;
        }
        let is_writer = |index: &usize| {
            let engine = &self.engines[*index];
            engine.is_serving() && engine.can_write()
        };
        let writers: Vec<usize> = (0..self.engines.len()).filter(is_writer).collect();
        let cost = writers.len() as f64;
        if self.measurements.health_check_budget >= cost {
            self.measurements.health_check_budget -= cost;
            self.send_health_checks(now, writers, actions);
        }
    }

    /// Whether a request waits for health checks before its read. One of many nodes cannot see the load
    /// that the others put on engines, so it checks the chosen reader and the next ones on the ring, and
    /// the prompt waits briefly for the results.
    pub(super) fn waits_for_health_checks(
        &mut self,
        now: Micros,
        id: &RequestId,
        index: usize,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let checks_readers =
            self.has_low_visibility() && self.settings.health_checks_allowed && !self.without_load_reports();
        let is_fresh = request.attempts == 0 && !request.request.resumed;
        let has_waited = request.checked_at.is_some_and(|at| now >= at + MAX_WAIT_BEFORE_READ_US);
        // In a burst a node's own requests show it enough, and reconsidering each of them at every event
        // would gain nothing.
        let in_burst = self.pending_requests.len() >= MIN_PENDING_IN_BURST;
        if !checks_readers
            || !is_fresh
            || has_waited
            || in_burst
            || !is_report_stale(now, &self.engines[index])
        {
            return false;
        }
        if request.checked_at.is_none() {
            let candidates = self.readers_to_check(now, &request.request, index);
            self.send_health_checks(now, candidates, actions);
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.checked_at = request.checked_at.or(Some(now));
            request.pending = true;
            self.pending_requests.push(id.clone());
        }
        true
    }

    /// The engines whose load is not known, from the chosen reader on along the ring, as many as the cost
    /// limit allows.
    fn readers_to_check(&self, now: Micros, request: &Request, chosen: usize) -> Vec<usize> {
        let mut ring = self.ring(request);
        let start = ring.iter().position(|&index| index == chosen).unwrap_or(0);
        ring.rotate_left(start);
        ring.retain(|&index| !self.is_ejected(now, index) && is_report_stale(now, &self.engines[index]));
        ring.truncate(self.checks_per_request() as usize);
        ring
    }

    /// The number of health checks for a request that the cost limit allows.
    fn checks_per_request(&self) -> f64 {
        let min_cost = MAX_COST_PER_REQUEST / MAX_CHECKS_PER_REQUEST;
        (MAX_COST_PER_REQUEST / self.settings.health_check_cost.max(min_cost)).min(MAX_CHECKS_PER_REQUEST)
    }

    /// Health-checks a few likely writers while a prompt is being read, near ones first, as far as the budget
    /// allows, so that the writer is not chosen by old or missing reports.
    pub(super) fn check_likely_writers(&mut self, now: Micros, reader: usize, actions: &mut Vec<Action>) {
        if !self.settings.health_checks_allowed || self.without_load_reports() {
            return;
        }
        let per_request = self.checks_per_request();
        let max_budget = self.writer_count().max(per_request);
        self.measurements.health_check_budget =
            (self.measurements.health_check_budget + per_request).min(max_budget);
        let seed = self.random.next_u64();
        let likely = self.likely_writers(now, reader, seed);
        let max_checks = (per_request as usize).min(self.measurements.health_check_budget as usize);
        // If all of them would be in the reader's rack, one outside replaces the last, for a choice.
        let outside = likely.iter().position(|writer| writer.other_rack).filter(|&at| at >= max_checks);
        let checked: Vec<usize> = outside
            .into_iter()
            .chain(0..likely.len())
            .take(max_checks)
            .map(|position| likely[position].index)
            .collect();
        self.measurements.health_check_budget -= checked.len() as f64;
        self.send_health_checks(now, checked, actions);
    }

    /// The writers that were not checked lately, near ones first; those at the same distance are in a random
    /// order given by the seed.
    fn likely_writers(&self, now: Micros, reader: usize, seed: u64) -> Vec<LikelyWriter> {
        let reader = &self.engines[reader];
        let mut likely: Vec<LikelyWriter> = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.is_serving() && engine.role == Role::Writer)
            .filter(|(index, _)| !self.is_ejected(now, *index))
            .filter(|(_, engine)| now > engine.health_checked_at + MAINTENANCE_INTERVAL_US)
            .map(|(index, engine)| LikelyWriter {
                other_rack: engine.rack != reader.rack,
                other_zone: engine.zone != reader.zone,
                shuffle_key: xxh3_64_with_seed(engine.id.0.as_bytes(), seed),
                index,
            })
            .collect();
        likely.sort_unstable();
        likely
    }

    fn send_health_checks(&mut self, now: Micros, engines: Vec<usize>, actions: &mut Vec<Action>) {
        for index in engines {
            let engine = &mut self.engines[index];
            engine.health_checked_at = now;
            actions.push(Action::HealthCheck(engine.id.clone()));
        }
    }
}

/// A writer that may be chosen after a read. The order of the fields is the order of comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LikelyWriter {
    other_rack: bool,
    other_zone: bool,
    shuffle_key: u64,
    index: usize,
}

/// Whether an engine has not reported its load lately.
fn is_report_stale(now: Micros, engine: &Engine) -> bool {
    engine.report.is_none_or(|report| now > report.at + MAINTENANCE_INTERVAL_US)
}
