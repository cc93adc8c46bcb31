//! Baselines: textbook policies with the least that makes them keep the rules.
//!
//! They know the list of engines, what they themselves have under way, and the last load that each
//! engine reported. They retry elsewhere where nothing can have run, and for classes that may run
//! twice; they have no memory of who keeps what, and no bounds of their own.

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

struct Known {
    address: SocketAddr,
    role: Role,
    listing: EndpointState,
    open: u64,
    load: LoadReport,
}

struct Asked {
    id: RequestId,
    safe: bool,
    streamed: bool,
    max_tokens: u64,
    by: Micros,
    attempts: AttemptNumber,
    /// The attempt that is out, at which engine, what it does, and whether its answer has begun.
    out: Option<(AttemptNumber, EngineId, Step, bool)>,
    state: Option<(AttemptNumber, EngineId, Arc<Value>)>,
    over: bool,
}

/// A baseline at one node.
pub struct Baseline {
    policy: PolicyKind,
    settings: Arc<NodeSettings>,
    engines: BTreeMap<EngineId, Known>,
    open: BTreeMap<RequestNumber, Asked>,
    due: BTreeSet<(Micros, RequestNumber)>,
    turn: usize,
    rng: ChaCha8Rng,
}

impl Baseline {
    /// A baseline that knows its settings and nothing of the fleet.
    pub fn new(policy: PolicyKind, settings: Arc<NodeSettings>, seed: u64) -> Baseline {
        Baseline {
            policy,
            settings,
            engines: BTreeMap::new(),
            open: BTreeMap::new(),
            due: BTreeSet::new(),
            turn: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// An engine that does a role, or both.
    fn pick(&mut self, role: Role) -> Option<EngineId> {
        let does =
            |k: &Known| k.listing == EndpointState::Serving && (k.role == role || k.role == Role::Mixed);
        let able: Vec<&EngineId> = self.engines.iter().filter(|(_, k)| does(k)).map(|(e, _)| e).collect();
        if able.is_empty() {
            return None;
        }
        let at = match self.policy {
            PolicyKind::LeastLoaded => {
                let load = |e: &EngineId| {
                    let k = &self.engines[e];
                    let reported_load = k.load.queue.unwrap_or(0.0) + k.load.slots.unwrap_or(0.0);
                    k.open as f64 + reported_load
                };
                let least = able.iter().map(|e| load(e)).fold(f64::INFINITY, f64::min);
                let same: Vec<usize> = (0..able.len()).filter(|i| load(able[*i]) <= least).collect();
                same[self.rng.random_range(0..same.len())]
            }
            PolicyKind::RoundRobin => {
                self.turn += 1;
                self.turn % able.len()
            }
            _ => self.rng.random_range(0..able.len()),
        };
        Some(able[at].clone())
    }

    fn arrived(&mut self, now: Micros, a: IncomingRequest, out: &mut Vec<Command>) {
        let class = a.class.and_then(|c| self.settings.classes.get(c));
        let usual = class.map_or(1_000_000, |c| c.default_client_timeout);
        let margin = self.settings.limits.answer_margin;
        let left = a.client_timeout.map_or(usual, |own| own.min(usual)).saturating_sub(margin);
        let safe = a.class.and_then(|c| self.settings.core.classes.get(c));
        let asked = Asked {
            id: RequestId(format!("{}-{}", self.settings.name, a.number).into()),
            safe: safe.is_some_and(|c| c.idempotency == Idempotency::Idempotent),
            streamed: a.streamed,
            max_tokens: a.max_tokens.or(class.map(|c| c.max_tokens)).unwrap_or(256),
            by: now + left,
            attempts: 0,
            out: None,
            state: None,
            over: false,
        };
        self.due.insert((asked.by, a.number));
        self.open.insert(a.number, asked);
        self.go_on(now, a.number, out);
    }

    /// The next attempt of a request, or its end.
    fn go_on(&mut self, now: Micros, ticket: RequestNumber, out: &mut Vec<Command>) {
        let Some(asked) = self.open.get(&ticket) else { return };
        let fetches = asked.state.is_some();
        let most = self.settings.core.max_attempts;
        if asked.attempts >= most || now >= asked.by {
            return self.answer(ticket, FinalAnswer::Rejected(None), out);
        }
        let Some(engine) = self.pick(if fetches { Role::Writer } else { Role::Reader }) else {
            return self.answer(ticket, FinalAnswer::Rejected(None), out);
        };
        let (Some(asked), Some(known)) = (self.open.get_mut(&ticket), self.engines.get_mut(&engine)) else {
            return;
        };
        let step = match (fetches, known.role) {
            (true, _) => Step::Fetch,
            (false, Role::Reader) => Step::Read,
            (false, _) => Step::Both,
        };
        known.open += 1;
        let attempt = asked.attempts;
        asked.attempts += 1;
        asked.out = Some((attempt, engine.clone(), step, false));
        let left = asked.by - now;
        out.push(Command::Attempt(AttemptOrder {
            number: ticket,
            request: asked.id.clone(),
            attempt,
            cell: Default::default(),
            engine,
            address: known.address,
            step,
            state: asked.state.as_ref().map(|s| s.2.clone()),
            slots: 0,
            max_tokens: asked.max_tokens,
            timeout: left,
            completion_timeout: (!asked.streamed && step != Step::Read).then_some(left),
        }));
    }

    fn answer(&mut self, ticket: RequestNumber, answer: FinalAnswer, out: &mut Vec<Command>) {
        let Some(asked) = self.open.get_mut(&ticket) else { return };
        if !std::mem::replace(&mut asked.over, true) {
            self.due.remove(&(asked.by, ticket));
            out.push(Command::Answer(ticket, answer));
        }
        self.settle(ticket, out);
    }

    fn settle(&mut self, ticket: RequestNumber, out: &mut Vec<Command>) {
        if !self.open.get(&ticket).is_some_and(|a| a.over && a.out.is_none()) {
            return;
        }
        let Some(asked) = self.open.remove(&ticket) else { return };
        out.push(Command::RequestComplete(ticket));
        if let Some((attempt, engine, _)) = asked.state {
            self.release(&asked.id, attempt, engine, out);
        }
    }

    fn release(&self, id: &RequestId, attempt: AttemptNumber, engine: EngineId, out: &mut Vec<Command>) {
        if let Some(known) = self.engines.get(&engine) {
            let name = RequestId(format!("{}.{attempt}", id.0).into());
            out.push(Command::Release { name, engine, address: known.address, new_connection: false });
        }
    }

    fn ended(
        &mut self,
        now: Micros,
        (ticket, attempt): (RequestNumber, AttemptNumber),
        outcome: Outcome,
        state: Option<Arc<Value>>,
        out: &mut Vec<Command>,
    ) {
        let Some(asked) = self.open.get_mut(&ticket) else { return };
        let Some((_, engine, step, started)) = asked.out.take_if(|o| o.0 == attempt) else { return };
        if let Some(known) = self.engines.get_mut(&engine) {
            known.open = known.open.saturating_sub(1);
        }
        let read = step == Step::Read;
        if let (Outcome::Read, Some(state)) = (outcome, state) {
            asked.state = Some((attempt, engine, state));
        } else if read && !matches!(outcome, Outcome::Overloaded | Outcome::Unreachable | Outcome::NeverSent)
        {
            let id = asked.id.clone();
            self.release(&id, attempt, engine, out);
        } else if matches!(outcome, Outcome::Served | Outcome::StateNotFound) {
            asked.state = None;
        }
        let Some(asked) = self.open.get(&ticket) else { return };
        if asked.over {
            return self.settle(ticket, out);
        }
        let unsure = matches!(
            outcome,
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectionBroken | Outcome::Cancelled
        );
        match outcome {
            Outcome::Served => self.answer(ticket, FinalAnswer::Served, out),
            _ if started => self.answer(ticket, FinalAnswer::StreamCut, out),
            // A read has no effect; an answer that may have begun has, unless it may run twice.
            _ if unsure && !read && !asked.safe => self.answer(ticket, FinalAnswer::Failed, out),
            _ => self.go_on(now, ticket, out),
        }
    }
}

impl Policy for Baseline {
    fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        match input {
            Input::EndpointList(form, list) => {
                if form == ListUpdate::Full {
                    self.engines.values_mut().for_each(|k| k.listing = EndpointState::Gone);
                }
                for one in list {
                    let kinds = &self.settings.core.engine_kinds;
                    let Some(kind) = kinds.iter().find(|k| k.name == one.endpoint.kind) else { continue };
                    let known = self.engines.entry(one.endpoint.engine.clone()).or_insert(Known {
                        address: one.address,
                        role: kind.role,
                        listing: one.endpoint.state,
                        open: 0,
                        load: LoadReport::default(),
                    });
                    known.listing = one.endpoint.state;
                }
            }
            Input::RequestArrived(arrival) => self.arrived(now, arrival, out),
            Input::FirstToken(ticket, attempt) => {
                let asked = self.open.get_mut(&ticket);
                let begun = asked.and_then(|a| {
                    let own = a.out.as_mut().filter(|o| o.0 == attempt)?;
                    own.3 = true;
                    // A state that was fetched is not held any more.
                    a.state = None;
                    a.streamed.then_some(a.by)
                });
                if let Some(by) = begun {
                    self.due.remove(&(by, ticket));
                }
            }
            Input::AttemptEnded { number: ticket, attempt, outcome, load, state, .. } => {
                let engine = self.open.get(&ticket).and_then(|a| a.out.as_ref()).map(|o| o.1.clone());
                if let (Some(load), Some(known)) = (load, engine.and_then(|e| self.engines.get_mut(&e))) {
                    known.load = load;
                }
                self.ended(now, (ticket, attempt), outcome, state, out);
            }
            Input::ClientLeft(ticket) => {
                let Some(asked) = self.open.get_mut(&ticket) else { return };
                asked.over = true;
                self.due.remove(&(asked.by, ticket));
                if let Some((attempt, ..)) = asked.out {
                    out.push(Command::Cancel(ticket, attempt));
                }
                self.settle(ticket, out);
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
            | Input::Stop => {}
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        while let Some((_, ticket)) = self.due.first().copied().filter(|d| d.0 <= now) {
            self.due.pop_first();
            let attempt = self.open.get(&ticket).and_then(|a| a.out.as_ref()).map(|o| (o.0, o.3));
            let started = attempt.is_some_and(|a| a.1);
            if let Some((attempt, _)) = attempt {
                out.push(Command::Cancel(ticket, attempt));
            }
            self.answer(ticket, if started { FinalAnswer::StreamCut } else { FinalAnswer::Failed }, out);
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }
}
