//! The state machine of a node's recovery, from its start to full service.

use std::collections::{BTreeMap, BTreeSet};

use pintally::interface::{EngineId, Micros};
use serde::{Deserialize, Serialize};

use crate::capacity::{admission_share, Capacity, FleetSize};
use crate::gate::{Admission, AdmissionGate, AdmissionPlan};
use crate::settings::Settings;
use crate::stage::Stage;
use crate::status::Status;

/// How often the admission rate is recomputed during slow start.
const PLAN_INTERVAL: Micros = 250_000;
/// During slow start one peer is queried at this interval, to learn whether the fleet is in service.
const QUERY_INTERVAL: Micros = 1_000_000;
/// While no engine is reachable, this fraction of the capacity of cold engines is still admitted: an engine
/// that is sent nothing never answers, and would stay unreachable.
const UNREACHABLE_CAPACITY_FRACTION: f64 = 0.25;
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// A peer's answer to a query. Peers answer in every stage. The field names in JSON are fixed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The peer's stage.
    pub stage: Stage,
    /// The version of its endpoint list, and a hash of the content.
    pub list: Option<(u64, u32)>,
    /// Requests per second that the whole fleet served, as the peer remembers; 0 if it does not.
    #[serde(rename = "carried")]
    pub fleet_rate: f64,
    /// Some engines that have answered the peer or other nodes, each encoded with its hash and the time since
    /// its first answer; empty in full service.
    #[serde(rename = "heard")]
    pub engine_reports: Vec<u64>,
}

/// The stored state that the recovery uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RememberedState {
    /// Requests per second that the whole fleet served; 0 if that is not known.
    pub fleet_rate: f64,
    /// Descriptions of what could not be loaded.
    pub issues: Vec<String>,
}

/// An event for the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The stored state was loaded, or loading it was abandoned.
    StateLoaded(RememberedState),
    /// The number of live nodes, this one included, and the peers that can be queried, by number.
    PeersChanged(usize, Vec<u64>),
    /// A peer has answered a query.
    PeerAnswered(u64, Answer),
    /// The listed engines that accept requests, and whether the list was confirmed since the start, by its
    /// source or by a peer in full service.
    EndpointsListed(Vec<EngineId>, bool),
    /// An engine has answered.
    EngineAnswered(EngineId),
    /// An engine could not be reached, or is gone.
    EngineUnreachable(EngineId),
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Query this peer.
    QueryPeer(u64),
    /// A stage has begun.
    StageEntered(Stage),
    /// The whole fleet has lost power: from now on engines count as cold and their caches as empty.
    TreatEnginesAsCold,
}

/// The queries to peers and their answers.
#[derive(Clone, Debug, Default)]
struct PeerQueries {
    /// Peers that can be queried.
    candidates: Vec<u64>,
    /// Peers that were queried in this round and have not answered.
    pending: BTreeSet<u64>,
    /// All peers that were queried.
    queried: BTreeSet<u64>,
    round: u32,
    answers: BTreeMap<u64, Answer>,
}

impl PeerQueries {
    /// Queries up to `limit` peers that were not queried yet.
    fn query_new_peers(&mut self, limit: usize, outputs: &mut Vec<Output>) {
        let new = self.candidates.iter().filter(|peer| !self.queried.contains(peer));
        self.pending = new.take(limit).copied().collect();
        self.queried.extend(&self.pending);
        outputs.extend(self.pending.iter().map(|peer| Output::QueryPeer(*peer)));
    }

    fn record_answer(&mut self, peer: u64, answer: Answer) {
        self.pending.remove(&peer);
        self.answers.insert(peer, answer);
    }

    fn is_any_peer_serving(&self) -> bool {
        self.answers.values().any(|answer| answer.stage == Stage::Serving)
    }

    /// Whether all queried peers have answered, and at least `limit` of them, or all candidates if there are
    /// fewer.
    fn is_complete(&self, limit: usize) -> bool {
        self.pending.is_empty() && self.answers.len() >= limit.min(self.candidates.len())
    }
}

/// A node's recovery after a start.
#[derive(Clone, Debug)]
pub struct Recovery {
    settings: Settings,
    stage: Stage,
    stage_since: Micros,
    remembered: RememberedState,
    fleet: FleetSize,
    queries: PeerQueries,
    /// When the current stage has work to do or times out.
    deadline: Micros,
    capacity: Capacity,
    /// The endpoint list was confirmed since the start.
    is_list_confirmed: bool,
    fleet_lost_power: Option<bool>,
    gate: AdmissionGate,
    next_query: Micros,
}

impl Recovery {
    /// Creates the recovery of a node that has just started. It waits for the stored state for at most
    /// `load_timeout`.
    pub fn new(settings: Settings, now: Micros, load_timeout: Micros) -> Recovery {
        Recovery {
            stage: Stage::LoadingState,
            stage_since: now,
            remembered: RememberedState::default(),
            fleet: FleetSize { alive: 1, expected: settings.expected_nodes },
            queries: PeerQueries::default(),
            deadline: now + load_timeout,
            capacity: Capacity::default(),
            is_list_confirmed: false,
            fleet_lost_power: None,
            gate: AdmissionGate::new(&settings.classes, settings.max_retry_after),
            next_query: now,
            settings,
        }
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The admission gate.
    pub fn gate(&self) -> &AdmissionGate {
        &self.gate
    }

    /// The time at which [`Recovery::tick`] has work to do; none in full service.
    pub fn next_wake(&self) -> Option<Micros> {
        (self.stage != Stage::Serving).then_some(self.deadline)
    }

    /// The longest time until requests are admitted, even if neither the disk nor any peer answers.
    pub fn max_time_to_first_admission(&self, load_timeout: Micros) -> Micros {
        load_timeout + self.settings.max_query_time()
    }

    /// The answer to a peer's query.
    pub fn answer(&self, now: Micros, list: Option<(u64, u32)>) -> Answer {
        let engine_reports = match self.stage {
            Stage::Serving => Vec::new(),
            _ => self.capacity.report(now),
        };
        Answer { stage: self.stage, list, fleet_rate: self.fleet_rate(), engine_reports }
    }

    /// Decides whether a request of a class is admitted.
    pub fn admit(&mut self, now: Micros, class: Option<usize>) -> Admission {
        self.gate.admit(now, class)
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Micros, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::StateLoaded(remembered) => self.handle_state(now, remembered, outputs),
            Input::PeersChanged(alive, candidates) => self.handle_peers(alive, candidates, outputs),
            Input::PeerAnswered(peer, answer) => {
                self.capacity.apply_report(now, &answer.engine_reports);
                self.queries.record_answer(peer, answer);
                self.evaluate_answers(now, outputs);
            }
            Input::EndpointsListed(engines, is_confirmed) => {
                self.capacity.set_listed(engines.iter());
                self.is_list_confirmed |= is_confirmed;
            }
            Input::EngineAnswered(engine) => self.capacity.engine_answered(now, &engine),
            Input::EngineUnreachable(engine) => self.capacity.engine_unreachable(now, &engine),
        }
        self.update_plan(now);
    }

    fn handle_state(&mut self, now: Micros, remembered: RememberedState, outputs: &mut Vec<Output>) {
        // State that is loaded after the timeout is still used, since it is better than none.
        self.remembered = remembered;
        if self.stage == Stage::LoadingState {
            self.begin_querying_peers(now, outputs);
        }
    }

    fn handle_peers(&mut self, alive: usize, candidates: Vec<u64>, outputs: &mut Vec<Output>) {
        self.fleet.alive = alive.max(1);
        self.queries.candidates = candidates;
        // If no peer was known so far, the new ones are queried in the current round, which is not extended.
        if self.stage == Stage::QueryingPeers && self.queries.queried.is_empty() {
            self.queries.query_new_peers(self.settings.peers_queried, outputs);
        }
    }

    /// Does the work that is due at `now`.
    pub fn tick(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        if now < self.deadline {
            return;
        }
        match self.stage {
            Stage::LoadingState => {
                self.remembered.issues.push("the disk did not respond in time".into());
                self.begin_querying_peers(now, outputs);
            }
            Stage::QueryingPeers if self.queries.round < self.settings.query_rounds => {
                self.start_query_round(now, outputs);
            }
            Stage::QueryingPeers => self.begin_slow_start(now, outputs),
            Stage::SlowStart => self.advance_slow_start(now, outputs),
            Stage::Serving => {}
        }
        self.update_plan(now);
    }

    fn advance_slow_start(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        self.deadline = now + PLAN_INTERVAL;
        if now >= self.next_query && self.settings.has_peers {
            self.next_query = now + QUERY_INTERVAL;
            // One peer per interval, in rotation, so that a recovering fleet is not flooded with queries.
            let candidates = &self.queries.candidates;
            let index = (now / QUERY_INTERVAL) as usize % candidates.len().max(1);
            outputs.extend(candidates.get(index).map(|peer| Output::QueryPeer(*peer)));
        }
        let is_warm = self.capacity.warm_fraction(now, &self.settings) >= 1.0;
        if is_warm || now >= self.stage_since + self.settings.max_slow_start {
            self.enter(now, Stage::Serving, outputs);
        }
    }

    fn enter(&mut self, now: Micros, stage: Stage, outputs: &mut Vec<Output>) {
        self.stage = stage;
        self.stage_since = now;
        outputs.push(Output::StageEntered(stage));
    }

    fn begin_querying_peers(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        if !self.settings.has_peers {
            // Without peers the node cannot learn whether the fleet stayed in service, so it assumes that the
            // whole fleet has lost power.
            return self.begin_slow_start(now, outputs);
        }
        self.enter(now, Stage::QueryingPeers, outputs);
        self.start_query_round(now, outputs);
    }

    /// Queries peers that were not queried yet. Without any, the round waits for one to be discovered.
    fn start_query_round(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        self.queries.round += 1;
        self.deadline = now + self.settings.answer_timeout;
        self.queries.query_new_peers(self.settings.peers_queried, outputs);
    }

    /// Evaluates the answers so far. A peer in full service shows that the fleet is not cold: it never lost
    /// power, or it has recovered.
    fn evaluate_answers(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        let is_any_serving = self.queries.is_any_peer_serving();
        match self.stage {
            Stage::QueryingPeers if is_any_serving => {
                self.fleet_lost_power = Some(false);
                self.enter(now, Stage::Serving, outputs);
            }
            Stage::QueryingPeers if self.queries.is_complete(self.settings.peers_queried) => {
                self.begin_slow_start(now, outputs);
            }
            Stage::SlowStart if is_any_serving => self.enter(now, Stage::Serving, outputs),
            _ => {}
        }
    }

    fn begin_slow_start(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        self.fleet_lost_power = Some(true);
        self.enter(now, Stage::SlowStart, outputs);
        outputs.push(Output::TreatEnginesAsCold);
        self.deadline = now + PLAN_INTERVAL;
        self.next_query = now + QUERY_INTERVAL;
        self.update_plan(now);
    }

    /// Requests per second that the fleet served: the median of the rates that this node and its peers
    /// remember, since no single one can be trusted. 0 if none is remembered.
    fn fleet_rate(&self) -> f64 {
        let answers = self.queries.answers.values().map(|answer| answer.fleet_rate);
        let mut rates: Vec<f64> = answers
            .chain([self.remembered.fleet_rate])
            .filter(|rate| *rate > 0.0 && rate.is_finite())
            .collect();
        rates.sort_by(f64::total_cmp);
        let median_index = rates.len().saturating_sub(1) / 2;
        rates.get(median_index).copied().unwrap_or(0.0)
    }

    fn update_plan(&mut self, now: Micros) {
        let plan = match self.stage {
            Stage::LoadingState | Stage::QueryingPeers => {
                AdmissionPlan { max_rate: Some(0.0), admits_at_most_once: false }
            }
            Stage::SlowStart => AdmissionPlan {
                max_rate: Some(self.admission_rate(now)),
                admits_at_most_once: self.is_list_confirmed,
            },
            Stage::Serving => AdmissionPlan { max_rate: None, admits_at_most_once: true },
        };
        if plan != self.gate.plan() {
            self.gate.set_plan(now, plan);
        }
    }

    /// Requests per second that this node admits: the rate that the fleet served, times the fraction that its
    /// engines can serve while they warm up, times the fraction that they can serve while their caches fill,
    /// times this node's share.
    fn admission_rate(&self, now: Micros) -> f64 {
        let settings = &self.settings;
        let fleet_rate = match self.fleet_rate() {
            0.0 => settings.requests_per_second_per_engine * self.capacity.counts().listed as f64,
            rate => rate,
        };
        let min_fraction = settings.slow_start_min_capacity * UNREACHABLE_CAPACITY_FRACTION;
        let warm_fraction = self.capacity.warm_fraction(now, settings).clamp(min_fraction, 1.0);
        let cache_fill = now.saturating_sub(self.stage_since) as f64 / settings.max_slow_start.max(1) as f64;
        let uncached_fraction = settings.uncached_capacity_fraction;
        let cache_fraction = uncached_fraction + (1.0 - uncached_fraction) * cache_fill.min(1.0);
        fleet_rate * warm_fraction * cache_fraction * admission_share(self.fleet)
    }

    /// The status document.
    pub fn status(&self, now: Micros) -> Status {
        let counters = self.gate.counters;
        Status {
            stage: self.stage,
            for_ms: now.saturating_sub(self.stage_since) / MICROS_PER_MILLISECOND,
            waits_for: self.waits_for(),
            issues: self.remembered.issues.clone(),
            fleet_lost_power: self.fleet_lost_power,
            alive_nodes: self.fleet.alive,
            expected_nodes: self.fleet.expected,
            engines: self.capacity.counts(),
            max_rate: self.gate.plan().max_rate,
            admitted: counters.admitted,
            rejected_with_retry_after: counters.rejected_with_retry_after,
            rejected_without_retry_after: counters.rejected_without_retry_after,
        }
    }

    fn waits_for(&self) -> String {
        match self.stage {
            Stage::LoadingState => "its disk".to_string(),
            Stage::QueryingPeers => format!("answers of {} peers", self.queries.pending.len()),
            Stage::SlowStart => {
                let engines = self.capacity.counts();
                format!("engines to be warm: {} of {} have answered", engines.answered, engines.listed)
            }
            Stage::Serving => String::new(),
        }
    }
}
