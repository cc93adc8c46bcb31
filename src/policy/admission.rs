//! Admission: arrivals, and how many requests may be in flight before their first token.

use std::collections::hash_map::Entry;

use super::slowdown::SAMPLE_WEIGHT;
use super::Router;
use crate::interface::*;
use crate::state::{prune, AttemptKind, InFlightAttempt, PromptKey, RequestState};

/// The target for first tokens, as a fraction of the latency objective. The rest of the objective is left
/// for waiting at the node, where the dispatch order can still change, and not in an engine's queue.
pub(super) const TARGET_FRACTION: f64 = 0.5;
/// The tightest objective where no classes are configured.
const DEFAULT_OBJECTIVE_US: Micros = 1_000_000;
/// The in-flight limit grows by this many requests per round of first tokens on target.
const LIMIT_INCREASE: f64 = 2.0;
/// The in-flight limit is multiplied by this factor after a late first token.
const LIMIT_DECREASE_FACTOR: f64 = 0.94;
/// The quantile of times to first token that counts as the usual time.
const TIME_TO_FIRST_TOKEN_QUANTILE: f64 = 0.75;
/// Upper bound of the in-flight limit, in requests per reader over all nodes.
const MAX_IN_FLIGHT_PER_READER: f64 = 15.0;
/// Lower bound of the in-flight limit, in requests per reader over all nodes.
const MIN_IN_FLIGHT_PER_READER: f64 = 4.0;
/// The upper bound is at least this for each node, however few readers there are per node.
const MIN_MAX_IN_FLIGHT: f64 = 4.0;
/// The limit while no engine that writes has capacity, in requests per such engine over all nodes.
const MAX_IN_FLIGHT_PER_OVERLOADED_WRITER: f64 = 2.5;
/// A first token that comes later than this after the last one counts as several samples.
const SAMPLE_INTERVAL_US: f64 = 100_000.0;
/// The maximum number of shared prefixes whose arrivals are counted; of more, the rarer half is forgotten.
const MAX_COUNTED_PREFIXES: usize = 14_000;
/// The maximum number of samples as which one first token counts.
const MAX_SAMPLES_AT_ONCE: f64 = 5.0;

/// The engines that have capacity now, and the attempts that wait at engines.
#[derive(Clone, Copy, Debug, Default)]
struct Occupancy {
    /// Attempts that have waited no longer than the target.
    recent: usize,
    /// Attempts that have waited longer than the target.
    late: usize,
    /// Engines that write and are not ejected.
    writers: u32,
    /// Those of them that are not overloaded.
    writers_with_capacity: usize,
    /// Engines that read and are not overloaded.
    readers_with_capacity: usize,
    /// Those of them that are not ejected.
    readers: u32,
}

/// What the admission measures of a request: its start, its target and its number of attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestTiming {
    pub(super) started_at: Micros,
    /// The target for the time from the start to the first token, in microseconds.
    pub(super) target: f64,
    pub(super) attempts: u32,
}

impl RequestTiming {
    pub(super) fn of(request: &RequestState) -> RequestTiming {
        RequestTiming {
            started_at: request.started_at,
            target: request.latency_objective as f64 * TARGET_FRACTION,
            attempts: request.attempts,
        }
    }
}

impl Router {
    /// Adds a request that a client has sent to the pending ones.
    pub(super) fn request_arrived(&mut self, now: Micros, request: Request) {
        let class = request.class.and_then(|class| self.settings.classes.get(class));
        let objective = latency_objective(&request, class);
        // A request of an unknown class must not run twice.
        let idempotency = class.map_or(Idempotency::NotIdempotent, |class| class.idempotency);
        let over_quota = self.is_over_quota(now, request.tenant);
        // Guards against retry storms: the objective of a prompt that was rejected lately counts from its
        // first arrival, so that a retry that can only be late is not dispatched before fresh requests.
        let rejected = self.rejected_prompts.get(&PromptKey::of(&request));
        let first_arrived_at = rejected.map_or(now, |first_arrived_at| *first_arrived_at);
        self.measurements.arrivals += 1.0;
        self.measurements.recent_arrivals += 1.0;
        if let Some(prefix) = request.prefix {
            *self.prefix_arrivals.entry(prefix).or_default() += 1.0;
            prune(&mut self.prefix_arrivals, MAX_COUNTED_PREFIXES, |arrivals| arrivals.to_bits());
            self.measurements.shared_prefix_arrivals += 1.0;
        }
        let id = request.id.clone();
        if let Entry::Vacant(entry) = self.requests.entry(id.clone()) {
            let state = RequestState::new(now, request, idempotency, first_arrived_at, objective, over_quota);
            entry.insert(state);
            self.pending_requests.push(id);
        }
    }

    /// The tightest latency objective of any class, in microseconds.
    pub(super) fn tightest_objective(&self) -> f64 {
        let objectives = self.settings.classes.iter().map(|class| class.latency_objective);
        objectives.min().unwrap_or(DEFAULT_OBJECTIVE_US) as f64
    }

    /// How many requests may be started now, before earlier ones get their first tokens. While no writer
    /// has capacity, requests wait before their read rather than after it, where they would hold a read
    /// state. The fractional part of the limit, which on one of many nodes may be all of it, is granted as
    /// a minimum time between starts.
    pub(super) fn dispatch_capacity(&self, now: Micros) -> usize {
        let occupancy = self.occupancy(now);
        let nodes = f64::from(self.settings.node_count.max(1));
        let limit = match (occupancy.writers_with_capacity, occupancy.readers_with_capacity) {
            (0, _) => MAX_IN_FLIGHT_PER_OVERLOADED_WRITER / nodes * f64::from(occupancy.writers),
            (_, 0) => 0.0,
            _ => {
                let min_limit = MIN_IN_FLIGHT_PER_READER / nodes * f64::from(occupancy.readers);
                self.measurements.in_flight_limit.max(min_limit)
            }
        };
        let limit = limit.max(MAX_IN_FLIGHT_PER_OVERLOADED_WRITER / nodes);
        let target = self.tightest_objective() * TARGET_FRACTION;
        let start_interval = self.measurements.time_to_first_token.max(target) / limit.fract();
        let since_last_start = now.saturating_sub(self.measurements.last_start_at) as f64;
        let one_more = since_last_start >= start_interval;
        // On a node with little visibility late attempts hardly count: those at one slow engine would take
        // the little capacity that the node has for the other engines.
        let counted_late = (occupancy.late as f64 * self.visibility()) as usize;
        (limit as usize + usize::from(one_more)).saturating_sub(occupancy.recent + counted_late)
    }

    fn occupancy(&self, now: Micros) -> Occupancy {
        let target_us = (self.tightest_objective() * TARGET_FRACTION) as Micros;
        let recent_from = now.saturating_sub(target_us);
        let mut occupancy = Occupancy::default();
        for (index, engine) in self.engines.iter().enumerate().filter(|(_, engine)| engine.is_serving()) {
            let reads = engine.can_read() && now >= engine.overloaded_until;
            occupancy.readers_with_capacity += usize::from(reads);
            // Attempts that wait at a failed engine take no capacity from the others.
            if self.is_ejected(now, index) {
                continue;
            }
            let recent = engine.waiting.range((recent_from, 0)..).count();
            occupancy.recent += recent;
            occupancy.late += engine.waiting.len() - recent;
            occupancy.readers += u32::from(reads);
            occupancy.writers += u32::from(engine.can_write());
            let has_capacity = engine.can_write() && !self.is_overloaded(now, index);
            occupancy.writers_with_capacity += usize::from(has_capacity);
        }
        occupancy
    }

    /// Records the time from a request's first send to its first token and adjusts the in-flight limit by
    /// it, so that queues at engines stay short, whatever fills them. A request with a failed attempt is
    /// ignored: the time that a failure costs says nothing about queues.
    pub(super) fn record_time_to_first_token(
        &mut self,
        now: Micros,
        request: &RequestTiming,
        attempt: &InFlightAttempt,
    ) {
        let attempts_without_retries = if attempt.kind == AttemptKind::Write { 2 } else { 1 };
        if request.attempts != attempts_without_retries {
            return;
        }
        let elapsed = now.saturating_sub(request.started_at) as f64;
        let usual = self.measurements.time_to_first_token;
        let step = if elapsed > usual {
            SAMPLE_WEIGHT * TIME_TO_FIRST_TOKEN_QUANTILE
        } else {
            SAMPLE_WEIGHT * (TIME_TO_FIRST_TOKEN_QUANTILE - 1.0)
        };
        self.measurements.time_to_first_token = if usual == 0.0 { elapsed } else { usual * (1.0 + step) };
        self.adjust_in_flight_limit(now, elapsed < request.target);
    }

    /// Raises the limit after a first token on target and lowers it after a late one. A node that sees
    /// few first tokens changes the limit more by each of them.
    pub(super) fn adjust_in_flight_limit(&mut self, now: Micros, on_target: bool) {
        let readers =
            self.engines.iter().filter(|engine| engine.is_serving() && engine.can_read()).count() as f64;
        let nodes = f64::from(self.settings.node_count.max(1));
        let max_samples = MAX_SAMPLES_AT_ONCE - (MAX_SAMPLES_AT_ONCE - 1.0) * self.visibility();
        let since_last = now.saturating_sub(self.measurements.limit_adjusted_at) as f64;
        let samples = (since_last / SAMPLE_INTERVAL_US).clamp(1.0, max_samples);
        self.measurements.limit_adjusted_at = now;
        let limit = self.measurements.in_flight_limit;
        let adjusted = if on_target {
            limit + (LIMIT_INCREASE * samples / limit.max(1.0)).min(limit / 2.0)
        } else {
            limit * LIMIT_DECREASE_FACTOR.powf(samples)
        };
        let min_limit = MIN_IN_FLIGHT_PER_READER * readers / nodes;
        let max_limit = MAX_IN_FLIGHT_PER_READER * readers / nodes;
        self.measurements.in_flight_limit = adjusted.max(min_limit).min(max_limit.max(MIN_MAX_IN_FLIGHT));
    }
}

/// The time within which a request's first token is due. A resumed request has had its first token, so
/// only the client's timeout applies; a request of an unknown class gets half its client's timeout.
fn latency_objective(request: &Request, class: Option<&Class>) -> Micros {
    if request.resumed {
        return request.client_timeout;
    }
    let Some(class) = class else { return request.client_timeout / 2 };
    let by_length = class.latency_objective_per_1000_tokens.saturating_mul(request.prompt_tokens) / 1000;
    class.latency_objective.saturating_add(by_length)
}
