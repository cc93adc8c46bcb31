//! Health scores of engines by the outcomes of attempts.
//!
//! An engine may be in the endpoint list and yet fail requests, for example after a faulty software release. Its
//! health score falls with the fraction of its attempts that fail, and rises again as attempts succeed or failures
//! decay. Each tenant has one vote, regardless of how many requests it sends: if no engine can serve the requests of
//! one tenant, its cell must not become unavailable for the other tenants.

use std::collections::BTreeMap;

use pintally::interface::{EngineId, LoadReport, Micros, Outcome};

/// Half-life of recorded outcomes, in microseconds.
const HALF_LIFE_MICROS: f64 = 10_000_000.0;
/// The health score counts this many successes in addition to those recorded.
const PRIOR_SUCCESSES: f64 = 3.0;
/// A score below this one counts as 0.
const MIN_SCORE: f64 = 0.1;
/// An engine starts to count as failing below this score.
const MIN_HEALTHY_SCORE: f64 = 0.5;
/// A failing engine stays failing below this score.
const MIN_RECOVERED_SCORE: f64 = 0.75;
/// Each time an engine fails again soon after a recovery (a relapse) the half-life doubles, at most this many times.
const MAX_RELAPSES: u32 = 4;
/// After this many consecutive successes each further one reduces the weight of earlier failures.
const SUCCESSES_BEFORE_DISCOUNT: u32 = 3;
/// Factor by which such a success reduces the weight of earlier failures, so that a repaired engine recovers soon.
const FAILURE_DISCOUNT: f64 = 0.6;
/// After this many consecutive successes a further failure does not count as a relapse.
const SUCCESSES_TO_RESET_RELAPSES: u32 = 20;
/// The maximum number of tenants with a vote on one engine. The vote with the fewest outcomes is dropped for a new one.
const MAX_VOTERS: usize = 32;
/// A tenant's vote is dropped when its outcomes have decayed to this number.
const MIN_OUTCOMES: f64 = 0.01;
/// An engine is at capacity if its queue is at least this long, relative to what it can hold.
const MIN_FULL_QUEUE: f64 = 1.0;
/// An engine is at capacity if at least this fraction of its slots is in use.
const MIN_FULL_SLOTS: f64 = 0.95;

/// How an attempt counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptResult {
    Success,
    /// The engine answered with an error, or too late.
    Failure,
    /// No connection could be made, or it broke.
    ConnectionFailure,
}

/// Decayed outcomes of a tenant's attempts at one engine.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeCounts {
    successes: f64,
    failures: f64,
    connection_failures: f64,
}

impl OutcomeCounts {
    fn total(&self) -> f64 {
        self.successes + self.failures + self.connection_failures
    }

    fn record(&mut self, result: AttemptResult) {
        match result {
            AttemptResult::Success => self.successes += 1.0,
            AttemptResult::Failure => self.failures += 1.0,
            AttemptResult::ConnectionFailure => self.connection_failures += 1.0,
        }
    }

    fn decay(&mut self, factor: f64) {
        self.successes *= factor;
        self.failures *= factor;
        self.connection_failures *= factor;
    }

    fn discount_failures(&mut self) {
        self.failures *= FAILURE_DISCOUNT;
        self.connection_failures *= FAILURE_DISCOUNT;
    }
}

/// The state of one engine.
#[derive(Clone, Debug, Default)]
struct EngineState {
    /// When the outcomes last decayed.
    updated: Micros,
    /// Outcomes by tenant.
    votes: BTreeMap<Option<usize>, OutcomeCounts>,
    /// When the engine started, according to the endpoint list.
    started: Option<Micros>,
    /// Whether the engine was at capacity in its last load report; `None` before the first report.
    at_capacity: Option<bool>,
    failing: bool,
    /// Whether the engine has been failing before, so that the next time counts as a relapse.
    has_failed: bool,
    relapses: u32,
    consecutive_successes: u32,
}

impl EngineState {
    fn decay_factor(&self, now: Micros) -> f64 {
        let half_life = HALF_LIFE_MICROS * f64::from(1u32 << self.relapses);
        0.5f64.powf(now.saturating_sub(self.updated) as f64 / half_life)
    }

    /// The health score from 0 to 1: the mean of the tenants' votes.
    fn score(&self, now: Micros) -> f64 {
        if self.votes.is_empty() {
            return 1.0;
        }
        let decay = self.decay_factor(now);
        let prior = PRIOR_SUCCESSES / self.votes.len() as f64;
        let vote =
            |counts: &OutcomeCounts| (counts.successes * decay + prior) / (counts.total() * decay + prior);
        let sum: f64 = self.votes.values().map(vote).sum();
        let score = sum / self.votes.len() as f64;
        if score < MIN_SCORE {
            0.0
        } else {
            score
        }
    }

    fn decay(&mut self, now: Micros) {
        let factor = self.decay_factor(now);
        self.votes.values_mut().for_each(|counts| counts.decay(factor));
        self.votes.retain(|_, counts| counts.total() > MIN_OUTCOMES);
        self.updated = self.updated.max(now);
    }

    fn record_load(&mut self, load: &LoadReport) {
        let queue_full = load.queue.is_some_and(|queue| queue >= MIN_FULL_QUEUE);
        let slots_full = load.slots.is_some_and(|slots| slots >= MIN_FULL_SLOTS);
        self.at_capacity = Some(queue_full || slots_full);
    }

    /// How an outcome counts; `None` if it is no evidence about the engine's health.
    fn classify(&self, outcome: Outcome) -> Option<AttemptResult> {
        match outcome {
            Outcome::Served | Outcome::Read => Some(AttemptResult::Success),
            Outcome::Error => Some(AttemptResult::Failure),
            Outcome::ConnectionBroken | Outcome::Unreachable => Some(AttemptResult::ConnectionFailure),
            // A timeout counts as a failure only of an engine that had free capacity. At an engine that was at
            // capacity, or that reports no load, the cause may be overload, which is not a failure of the engine.
            Outcome::TimedOut if self.at_capacity == Some(false) => Some(AttemptResult::Failure),
            _ => None,
        }
    }

    fn record(&mut self, now: Micros, tenant: Option<usize>, result: AttemptResult) {
        self.decay(now);
        self.make_room_for_vote(tenant);
        self.votes.entry(tenant).or_default().record(result);
        if result == AttemptResult::Success {
            self.record_success();
        } else {
            self.consecutive_successes = 0;
        }
        self.update_failing(now);
    }

    fn make_room_for_vote(&mut self, tenant: Option<usize>) {
        if self.votes.contains_key(&tenant) || self.votes.len() < MAX_VOTERS {
            return;
        }
        let fewest = self.votes.iter().min_by(|a, b| a.1.total().total_cmp(&b.1.total()));
        if let Some(fewest) = fewest.map(|(tenant, _)| *tenant) {
            self.votes.remove(&fewest);
        }
    }

    fn record_success(&mut self) {
        self.consecutive_successes += 1;
        if self.consecutive_successes > SUCCESSES_BEFORE_DISCOUNT {
            self.votes.values_mut().for_each(OutcomeCounts::discount_failures);
        }
        if self.consecutive_successes >= SUCCESSES_TO_RESET_RELAPSES {
            self.has_failed = false;
            self.relapses = 0;
        }
    }

    fn update_failing(&mut self, now: Micros) {
        let score = self.score(now);
        if self.failing {
            self.failing = score < MIN_RECOVERED_SCORE;
        } else if score < MIN_HEALTHY_SCORE {
            self.failing = true;
            let is_relapse = std::mem::replace(&mut self.has_failed, true);
            self.relapses = (self.relapses + u32::from(is_relapse)).min(MAX_RELAPSES);
        }
    }
}

/// Tracks the health of all engines.
#[derive(Clone, Debug, Default)]
pub struct EngineHealth {
    engines: BTreeMap<EngineId, EngineState>,
}

impl EngineHealth {
    /// Records the outcome of a tenant's attempt at an engine, and the load report that came with it.
    pub fn record_attempt(
        &mut self,
        now: Micros,
        engine: &EngineId,
        tenant: Option<usize>,
        outcome: Outcome,
        load: Option<&LoadReport>,
    ) {
        let state = self.engines.entry(engine.clone()).or_default();
        if let Some(load) = load {
            state.record_load(load);
        }
        if let Some(result) = state.classify(outcome) {
            state.record(now, tenant, result);
        }
    }

    /// Records a successful health check. It discards earlier connection failures, since the engine can be reached
    /// again, but no failures of requests.
    pub fn record_health_check(&mut self, now: Micros, engine: &EngineId) {
        let Some(state) = self.engines.get_mut(engine) else { return };
        state.votes.values_mut().for_each(|counts| counts.connection_failures = 0.0);
        state.update_failing(now);
    }

    /// Sets when an engine started, according to the endpoint list. After a restart earlier outcomes do not count.
    pub fn set_started(&mut self, engine: &EngineId, started: Option<Micros>) {
        let Some(state) = self.engines.get_mut(engine) else { return };
        if state.started != started && started.is_some() {
            *state = EngineState { started, at_capacity: state.at_capacity, ..EngineState::default() };
        }
    }

    /// Updates which engines are failing, as their failures decay.
    pub fn tick(&mut self, now: Micros) {
        self.engines.values_mut().for_each(|state| state.update_failing(now));
    }

    /// The health score of an engine, from 0 to 1.
    pub fn score(&self, now: Micros, engine: &EngineId) -> f64 {
        self.engines.get(engine).map_or(1.0, |state| state.score(now))
    }

    /// Whether an engine is failing, so that another must replace it although it is listed.
    pub fn is_failing(&self, engine: &EngineId) -> bool {
        self.engines.get(engine).is_some_and(|state| state.failing)
    }

    /// Whether [`EngineHealth::tick`] may change something.
    pub fn needs_tick(&self, now: Micros) -> bool {
        self.engines.values().any(|state| state.failing || state.score(now) < MIN_RECOVERED_SCORE)
    }

    /// Drops all engines except known ones.
    pub fn retain(&mut self, is_known: impl Fn(&EngineId) -> bool) {
        self.engines.retain(|engine, _| is_known(engine));
    }
}
