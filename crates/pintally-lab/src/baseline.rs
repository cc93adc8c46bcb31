//! Baselines: textbook load-balancing policies, with the minimum of logic that keeps the audited rules.
//!
//! A baseline knows the endpoint list, its own attempts in flight, and the last load report of each
//! engine. It retries on another engine if the attempt cannot have run, or if the class is idempotent.
//! It doesn't track which engine caches which prefix, and it has no admission limits of its own.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use pintally::interface::{
    AttemptNumber, EndpointState, EngineId, Idempotency, ListUpdate, LoadReport, Micros, Outcome, RequestId,
    Role,
};
use pintally_config::NodeSettings;
use pintally_engine::Step;
use pintally_host::{AttemptOrder, Command, FinalAnswer, IncomingRequest, Input, RequestNumber};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::policy::{Policy, PolicyKind};

/// What a baseline knows of an engine.
struct EngineState {
    address: SocketAddr,
    role: Role,
    listing: EndpointState,
    open_attempts: u64,
    load: LoadReport,
}

/// A request without a final answer, or with an attempt that has not ended.
struct OpenRequest {
    id: RequestId,
    idempotent: bool,
    streamed: bool,
    max_tokens: u64,
    deadline: Micros,
    attempts: AttemptNumber,
    /// The attempt in flight: its number, its engine, its step, and whether its first token has arrived.
    in_flight: Option<(AttemptNumber, EngineId, Step, bool)>,
    /// The read state: the attempt that produced it, the engine that holds it, and its handle.
    state: Option<(AttemptNumber, EngineId, Arc<Value>)>,
    /// The request has its final answer, or its client has left.
    closed: bool,
}

/// A baseline policy of one node.
pub struct Baseline {
    policy: PolicyKind,
    settings: Arc<NodeSettings>,
    engines: BTreeMap<EngineId, EngineState>,
    open: BTreeMap<RequestNumber, OpenRequest>,
    deadlines: BTreeSet<(Micros, RequestNumber)>,
    round_robin_position: usize,
    rng: ChaCha8Rng,
}

impl Baseline {
    /// Creates a baseline with its settings and an empty endpoint list.
    pub fn new(policy: PolicyKind, settings: Arc<NodeSettings>, seed: u64) -> Baseline {
        Baseline {
            policy,
            settings,
            engines: BTreeMap::new(),
            open: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            round_robin_position: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Selects a serving engine that has the role or is mixed.
    fn select_engine(&mut self, role: Role) -> Option<EngineId> {
        let is_eligible = |k: &EngineState| {
            k.listing == EndpointState::Serving && (k.role == role || k.role == Role::Mixed)
        };
        let eligible: Vec<&EngineId> =
            self.engines.iter().filter(|(_, k)| is_eligible(k)).map(|(e, _)| e).collect();
        if eligible.is_empty() {
            return None;
        }
        let index = match self.policy {
            PolicyKind::LeastLoaded => {
                let load = |e: &EngineId| {
                    let k = &self.engines[e];
                    let reported_load = k.load.queue.unwrap_or(0.0) + k.load.slots.unwrap_or(0.0);
                    k.open_attempts as f64 + reported_load
                };
                let least = eligible.iter().map(|e| load(e)).fold(f64::INFINITY, f64::min);
                let least_loaded: Vec<usize> =
                    (0..eligible.len()).filter(|i| load(eligible[*i]) <= least).collect();
                least_loaded[self.rng.random_range(0..least_loaded.len())]
            }
            PolicyKind::RoundRobin => {
                self.round_robin_position += 1;
                self.round_robin_position % eligible.len()
            }
            _ => self.rng.random_range(0..eligible.len()),
        };
        Some(eligible[index].clone())
    }

    fn handle_request(&mut self, now: Micros, request: IncomingRequest, out: &mut Vec<Command>) {
        let class = request.class.and_then(|c| self.settings.classes.get(c));
        let class_timeout = class.map_or(1_000_000, |c| c.default_client_timeout);
        let margin = self.settings.limits.answer_margin;
        let left = request
            .client_timeout
            .map_or(class_timeout, |timeout| timeout.min(class_timeout))
            .saturating_sub(margin);
        let core_class = request.class.and_then(|c| self.settings.core.classes.get(c));
        let open_request = OpenRequest {
            id: RequestId(format!("{}-{}", self.settings.name, request.number).into()),
            idempotent: core_class.is_some_and(|c| c.idempotency == Idempotency::Idempotent),
            streamed: request.streamed,
            max_tokens: request.max_tokens.or(class.map(|c| c.max_tokens)).unwrap_or(256),
            deadline: now + left,
            attempts: 0,
            in_flight: None,
            state: None,
            closed: false,
        };
        self.deadlines.insert((open_request.deadline, request.number));
        self.open.insert(request.number, open_request);
        self.next_attempt(now, request.number, out);
    }

    /// Starts the next attempt of a request, or rejects it if no attempt is possible.
    fn next_attempt(&mut self, now: Micros, number: RequestNumber, out: &mut Vec<Command>) {
        let Some(request) = self.open.get(&number) else { return };
        let fetches = request.state.is_some();
        let max_attempts = self.settings.core.max_attempts;
        if request.attempts >= max_attempts || now >= request.deadline {
            return self.answer(number, FinalAnswer::Rejected(None), out);
        }
        let Some(engine) = self.select_engine(if fetches { Role::Writer } else { Role::Reader }) else {
            return self.answer(number, FinalAnswer::Rejected(None), out);
        };
        let (Some(request), Some(known)) = (self.open.get_mut(&number), self.engines.get_mut(&engine)) else {
            return;
        };
        let step = match (fetches, known.role) {
            (true, _) => Step::Fetch,
            (false, Role::Reader) => Step::Read,
            (false, _) => Step::Both,
        };
        known.open_attempts += 1;
        let attempt = request.attempts;
        request.attempts += 1;
        request.in_flight = Some((attempt, engine.clone(), step, false));
        let left = request.deadline - now;
        out.push(Command::Attempt(AttemptOrder {
            number,
            request: request.id.clone(),
            attempt,
            cell: Default::default(),
            engine,
            address: known.address,
            step,
            state: request.state.as_ref().map(|s| s.2.clone()),
            slots: 0,
            max_tokens: request.max_tokens,
            timeout: left,
            completion_timeout: (!request.streamed && step != Step::Read).then_some(left),
        }));
    }

    fn answer(&mut self, number: RequestNumber, answer: FinalAnswer, out: &mut Vec<Command>) {
        let Some(request) = self.open.get_mut(&number) else { return };
        if !std::mem::replace(&mut request.closed, true) {
            self.deadlines.remove(&(request.deadline, number));
            out.push(Command::Answer(number, answer));
        }
        self.complete_if_done(number, out);
    }

    /// Completes a closed request once no attempt is in flight, and releases its state.
    fn complete_if_done(&mut self, number: RequestNumber, out: &mut Vec<Command>) {
        if !self.open.get(&number).is_some_and(|a| a.closed && a.in_flight.is_none()) {
            return;
        }
        let Some(request) = self.open.remove(&number) else { return };
        out.push(Command::RequestComplete(number));
        if let Some((attempt, engine, _)) = request.state {
            self.release(&request.id, attempt, engine, out);
        }
    }

    fn release(&self, id: &RequestId, attempt: AttemptNumber, engine: EngineId, out: &mut Vec<Command>) {
        if let Some(known) = self.engines.get(&engine) {
            let name = RequestId(format!("{}.{attempt}", id.0).into());
            out.push(Command::Release { name, engine, address: known.address, new_connection: false });
        }
    }

    fn handle_attempt_end(
        &mut self,
        now: Micros,
        (number, attempt): (RequestNumber, AttemptNumber),
        outcome: Outcome,
        state: Option<Arc<Value>>,
        out: &mut Vec<Command>,
    ) {
        let Some(request) = self.open.get_mut(&number) else { return };
        let Some((_, engine, step, started)) = request.in_flight.take_if(|o| o.0 == attempt) else { return };
        if let Some(known) = self.engines.get_mut(&engine) {
            known.open_attempts = known.open_attempts.saturating_sub(1);
        }
        let read = step == Step::Read;
        if let (Outcome::Read, Some(state)) = (outcome, state) {
            request.state = Some((attempt, engine, state));
        } else if read && !matches!(outcome, Outcome::Overloaded | Outcome::Unreachable | Outcome::NeverSent)
        {
            let id = request.id.clone();
            self.release(&id, attempt, engine, out);
        } else if matches!(outcome, Outcome::Served | Outcome::StateNotFound) {
            request.state = None;
        }
        let Some(request) = self.open.get(&number) else { return };
        if request.closed {
            return self.complete_if_done(number, out);
        }
        let may_have_run = matches!(
            outcome,
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectionBroken | Outcome::Cancelled
        );
        match outcome {
            Outcome::Served => self.answer(number, FinalAnswer::Served, out),
            _ if started => self.answer(number, FinalAnswer::StreamCut, out),
            // A read has no side effect and can be retried. A write that may have run cannot, unless the class is
            // idempotent.
            _ if may_have_run && !read && !request.idempotent => {
                self.answer(number, FinalAnswer::Failed, out);
            }
            _ => self.next_attempt(now, number, out),
        }
    }
}

impl Policy for Baseline {
    fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        match input {
            Input::EndpointList(update, list) => {
                if update == ListUpdate::Full {
                    self.engines.values_mut().for_each(|k| k.listing = EndpointState::Gone);
                }
                for entry in list {
                    let kinds = &self.settings.core.engine_kinds;
                    let Some(kind) = kinds.iter().find(|k| k.name == entry.endpoint.kind) else { continue };
                    let known = self.engines.entry(entry.endpoint.engine.clone()).or_insert(EngineState {
                        address: entry.address,
                        role: kind.role,
                        listing: entry.endpoint.state,
                        open_attempts: 0,
                        load: LoadReport::default(),
                    });
                    known.listing = entry.endpoint.state;
                }
            }
            Input::RequestArrived(arrival) => self.handle_request(now, arrival, out),
            Input::FirstToken(number, attempt) => {
                let request = self.open.get_mut(&number);
                let stream_deadline = request.and_then(|a| {
                    let in_flight = a.in_flight.as_mut().filter(|o| o.0 == attempt)?;
                    in_flight.3 = true;
                    // The reader no longer holds a state that has been fetched.
                    a.state = None;
                    a.streamed.then_some(a.deadline)
                });
                if let Some(deadline) = stream_deadline {
                    self.deadlines.remove(&(deadline, number));
                }
            }
            Input::AttemptEnded { number, attempt, outcome, load, state, .. } => {
                let engine = self.open.get(&number).and_then(|a| a.in_flight.as_ref()).map(|o| o.1.clone());
                if let (Some(load), Some(known)) = (load, engine.and_then(|e| self.engines.get_mut(&e))) {
                    known.load = load;
                }
                self.handle_attempt_end(now, (number, attempt), outcome, state, out);
            }
            Input::ClientLeft(number) => {
                let Some(request) = self.open.get_mut(&number) else { return };
                request.closed = true;
                self.deadlines.remove(&(request.deadline, number));
                if let Some((attempt, ..)) = request.in_flight {
                    out.push(Command::Cancel(number, attempt));
                }
                self.complete_if_done(number, out);
            }
            Input::HealthChecked(engine, _, load) => {
                if let (Some(load), Some(known)) = (load, self.engines.get_mut(&engine)) {
                    known.load = load;
                }
            }
            Input::Cells(_)
            | Input::EndpointListConfirmed
            | Input::Recovery(_)
            | Input::QuotaGranted(_)
            | Input::OutlierReport(..)
            | Input::PeersChanged(_)
            | Input::EngineCleared(_)
            | Input::ReservationsInherited(_)
            | Input::FailoverPlan(_)
            | Input::DeliveryConfirmed(..)
            | Input::Released(..)
            | Input::ReleaseNotSent(..)
            | Input::ClientUnconfirmed(_)
            | Input::Stop => {}
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        while let Some((_, number)) = self.deadlines.first().copied().filter(|d| d.0 <= now) {
            self.deadlines.pop_first();
            let attempt = self.open.get(&number).and_then(|a| a.in_flight.as_ref()).map(|o| (o.0, o.3));
            let started = attempt.is_some_and(|a| a.1);
            if let Some((attempt, _)) = attempt {
                out.push(Command::Cancel(number, attempt));
            }
            self.answer(number, if started { FinalAnswer::StreamCut } else { FinalAnswer::Failed }, out);
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        self.deadlines.first().map(|d| d.0)
    }
}
