//! One clock, and everything that it drives: nodes, engines, clients, faults.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use pintally::interface::{
    AttemptNumber, Endpoint, EndpointState, EngineId, ListUpdate, LoadReport, Micros, Outcome, RequestId,
};
use pintally_audit::{Answer, AuditEvent, EngineLocation, ListingState, Record, Step as AuditStep};
use pintally_cells::{CellsFile, MoveCommand};
use pintally_config::NodeSettings;
use pintally_emulator::{Fleet, Notice, Place, Refusal, Work, WorkId};
use pintally_engine::Step;
use pintally_host::{
    AttemptOrder, Command, EngineEndpoint, FinalAnswer, IncomingRequest, Input, RequestNumber,
};
use pintally_mock_engine::{
    audit_freed_by, block_hashes, emulator_spec, token_count, EngineSpec, LINK_RATES,
};
use pintally_scenario::{engine_specs, RequestDraft, Scenario, TrafficGenerator};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::clients::{name, Tries, Try};
use crate::policy::{Policy, PolicyKind};
use crate::script::{script, FaultAction};

/// What a message takes from one end to the other.
const HOP: Micros = 100;
/// Unix time at which days begin, in milliseconds.
const UNIX_MS: u64 = 1_700_000_000_000;
/// An engine that fell over comes back, cold, after this time.
const UP_AGAIN: Micros = 5_000_000;

/// The settings of one node of a day.
fn settings(day: &Scenario, number: usize) -> NodeSettings {
    let mut settings = day.node(number);
    settings.cells_file = day.cells.as_ref().map(|_| "in virtual time".to_string());
    settings
}

enum Event {
    /// A client sends a request, for the first time or again.
    AdmissionRequest(u64, u32, Rc<RequestDraft>),
    /// A node learns something.
    Tell(usize, Box<Input>),
    /// An attempt reaches its engine.
    Begin(usize, Box<AttemptOrder>),
    /// A release reaches its engine.
    Release(usize, RequestId, EngineId),
    /// An attempt's time is up: for its first token, or for all of it.
    Late(usize, RequestNumber, AttemptNumber, bool),
    /// A client's patience is over.
    GiveUp(usize, RequestNumber),
    /// A fault begins or ends.
    Fault(FaultAction),
}

/// An attempt under way.
struct Flight {
    engine: usize,
    work: Option<WorkId>,
    first: bool,
    reads: bool,
    /// The client's name of the request, and the attempt's own.
    request: String,
    name: String,
}

type Key = (usize, RequestNumber, AttemptNumber);

/// A day in virtual time.
pub struct World<'a> {
    day: &'a Scenario,
    now: Micros,
    serial: u64,
    events: BTreeMap<(Micros, u64), Event>,
    fleet: Fleet,
    specs: Vec<EngineSpec>,
    index: HashMap<EngineId, usize>,
    listing: Vec<EndpointState>,
    started: Vec<Option<Micros>>,
    nodes: Vec<Box<dyn Policy>>,
    wakes: BTreeSet<(Micros, usize)>,
    wake_of: Vec<Option<Micros>>,
    tickets: Vec<RequestNumber>,
    tries: Tries,
    flights: BTreeMap<Key, Flight>,
    works: HashMap<WorkId, Key>,
    /// States that wait, by engine and name, and the other way round.
    states: HashMap<(usize, String), WorkId>,
    names: HashMap<WorkId, (usize, String)>,
    next_work: WorkId,
    source: TrafficGenerator,
    rate: f64,
    hot: f64,
    cells: Option<CellsFile>,
    rng: ChaCha8Rng,
    record: Vec<Record>,
    out: Vec<Command>,
    said: Vec<(usize, Notice)>,
    overload_crashes: u64,
}

impl<'a> World<'a> {
    /// A day with a policy at each node, before its first moment.
    pub fn new(day: &'a Scenario, policy: PolicyKind, seed: u64) -> World<'a> {
        let mut fleet = Fleet::new(LINK_RATES, seed);
        let specs = engine_specs(day);
        let zone = |name: &str| day.zones.iter().position(|z| z == name).unwrap_or(0);
        for spec in &specs {
            let mut own = emulator_spec(spec);
            if let Some(cold) = &mut own.cold {
                cold.overload_factor = spec.overload_factor;
            }
            fleet.add(own, Place { zone: zone(&spec.zone) as u32, rack: spec.rack as u32 });
        }
        let mut nodes: Vec<Box<dyn Policy>> = Vec::new();
        for number in 0..day.nodes {
            let own = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64;
            nodes.push(policy.build(Arc::new(settings(day, number)), own));
        }
        let index = specs.iter().enumerate().map(|(n, s)| (EngineId(s.id.as_str().into()), n)).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x1ab);
        let kinds: Vec<(String, Option<String>)> =
            specs.iter().map(|s| (s.kind.clone(), s.cell.clone())).collect();
        let acts = script(day, &kinds, &mut rng);
        let mut world = World {
            now: 0,
            serial: 0,
            events: BTreeMap::new(),
            fleet,
            index,
            listing: vec![EndpointState::Serving; specs.len()],
            started: vec![None; specs.len()],
            wakes: BTreeSet::new(),
            wake_of: vec![None; nodes.len()],
            tickets: vec![0; nodes.len()],
            nodes,
            tries: Tries::new(),
            flights: BTreeMap::new(),
            works: HashMap::new(),
            states: HashMap::new(),
            names: HashMap::new(),
            next_work: 1,
            source: TrafficGenerator::new(&day.traffic, &day.settings, day.zones.len(), seed),
            rate: 1.0,
            hot: 0.0,
            cells: day.cells.clone(),
            rng,
            record: Vec::new(),
            out: Vec::new(),
            said: Vec::new(),
            overload_crashes: 0,
            specs,
            day,
        };
        for node in 0..world.nodes.len() {
            world.note(AuditEvent::NodeUp { node: format!("n{node}") });
            if let Some(cells) = &day.cells {
                world.at(0, Event::Tell(node, Box::new(Input::Cells(Box::new(cells.clone())))));
            }
            world.list(node, 0);
        }
        for (at, act) in acts {
            world.at(at, Event::Fault(act));
        }
        world
    }

    /// Puts other policies in the nodes' places, as tests do with broken ones.
    pub fn replace(&mut self, build: impl Fn(Arc<NodeSettings>, u64) -> Box<dyn Policy>) {
        for number in 0..self.nodes.len() {
            self.nodes[number] = build(Arc::new(settings(self.day, number)), number as u64);
        }
    }

    /// Plays the day to its end; returns the record, the engines' figures, and how many fell over.
    pub fn play(mut self) -> (Vec<Record>, Vec<EngineLocation>, u64) {
        let length = self.day.length.as_micros() as Micros;
        let last = length + self.day.settle.as_micros() as Micros;
        let mut next = self.source.next_interval(1.0).as_micros() as Micros;
        let mut number = 0;
        loop {
            let arrival = Some(next).filter(|at| *at < length);
            let due = [
                self.events.keys().next().map(|k| k.0),
                self.fleet.next_wake(),
                self.wakes.first().map(|w| w.0),
                arrival,
            ];
            let Some(at) = due.into_iter().flatten().min().filter(|at| *at <= last) else { break };
            if arrival.is_none() && self.tries.is_empty() && self.states.is_empty() {
                break;
            }
            self.now = self.now.max(at);
            if arrival == Some(at) {
                number += 1;
                let draft = Rc::new(self.source.next_request(self.hot));
                next += (self.source.next_interval(self.rate).as_micros() as Micros).max(1);
                self.ask(number, 0, draft);
            } else if self.fleet.next_wake().is_some_and(|w| w <= at) {
                self.fleet.tick(self.now, &mut self.said);
            } else if let Some((_, node)) = self.wakes.first().copied().filter(|w| w.0 <= at) {
                let mut out = std::mem::take(&mut self.out);
                self.nodes[node].tick(self.now, &mut out);
                self.rewake(node);
                self.carry_out(node, &mut out);
                self.out = out;
            } else if let Some((_, event)) = self.events.pop_first() {
                self.happen(event);
            }
            while !self.said.is_empty() {
                for (engine, notice) in std::mem::take(&mut self.said) {
                    self.heard(engine, notice);
                }
            }
        }
        self.record.sort_by_key(|r| r.at);
        let figures = self.specs.iter().map(|s| EngineLocation {
            engine: s.id.clone(),
            zone: s.zone.clone(),
            rack: s.rack,
        });
        (self.record, figures.collect(), self.overload_crashes)
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    fn note(&mut self, event: AuditEvent) {
        self.note_at(self.now, event);
    }

    fn note_at(&mut self, at: Micros, event: AuditEvent) {
        self.record.push(Record { at, event });
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::AdmissionRequest(number, tries, draft) => self.ask(number, tries, draft),
            Event::Tell(node, input) => self.tell(node, *input),
            Event::Begin(node, order) => self.begin(node, *order),
            Event::Release(node, name, engine) => self.release(node, name, engine),
            Event::Late(node, ticket, attempt, whole) => {
                let flight = self.flights.get(&(node, ticket, attempt));
                if flight.is_some_and(|f| whole || !f.first) {
                    self.call_off((node, ticket, attempt), Outcome::TimedOut);
                }
            }
            Event::GiveUp(node, ticket) => {
                let Some(one) = self.tries.get_mut(&(node, ticket)).filter(|t| !t.done) else { return };
                if one.draft.streamed && one.first {
                    return;
                }
                one.done = true;
                let request = one.id.clone();
                self.note(AuditEvent::Unanswered { request });
                self.tell(node, Input::ClientLeft(ticket));
            }
            Event::Fault(act) => self.act(act),
        }
    }

    // ---- clients ----

    fn ask(&mut self, number: u64, tries: u32, draft: Rc<RequestDraft>) {
        let zones = self.day.zones.len();
        let near: Vec<usize> = (0..self.nodes.len()).filter(|n| n % zones == draft.zone).collect();
        let node = if near.is_empty() {
            self.rng.random_range(0..self.nodes.len())
        } else {
            near[self.rng.random_range(0..near.len())]
        };
        self.tickets[node] += 1;
        let (ticket, core) = (self.tickets[node], &self.day.settings.core);
        let patience = draft.patience.as_micros() as Micros;
        let arrival = IncomingRequest {
            number: ticket,
            name: None,
            class: core.classes.iter().position(|c| c.name == draft.class),
            tenant: core.tenants.iter().position(|t| Some(&t.name) == draft.tenant.as_ref()),
            session: Some(draft.session),
            prefix: draft.prefix,
            prompt_tokens: token_count(&draft.prompt),
            prefix_tokens: draft.prefix_tokens,
            max_tokens: Some(draft.max_tokens),
            client_timeout: Some(patience),
            streamed: draft.streamed,
            resumed: false,
            bytes: draft.prompt.len(),
            unix_ms: UNIX_MS + self.now / 1000,
        };
        let one = Try {
            id: name(number, tries),
            number,
            tries,
            chain: Rc::new(block_hashes(&draft.prompt)),
            first: false,
            done: false,
            draft,
        };
        self.note(AuditEvent::RequestSent {
            request: one.id.clone(),
            node: format!("n{node}"),
            class: one.draft.class.clone(),
            tenant: one.draft.tenant.clone(),
            patience_us: patience,
            streamed: one.draft.streamed,
        });
        self.at(self.now + patience, Event::GiveUp(node, ticket));
        self.tries.insert((node, ticket), one);
        self.at(self.now + HOP, Event::Tell(node, Box::new(Input::RequestArrived(arrival))));
    }

    fn answered(&mut self, node: usize, ticket: RequestNumber, answer: FinalAnswer) {
        let Some(one) = self.tries.get_mut(&(node, ticket)).filter(|t| !t.done) else { return };
        one.done = true;
        let one = one.clone();
        let reported = match answer {
            FinalAnswer::Served => Answer::Served,
            FinalAnswer::Rejected(_) => Answer::Refused,
            FinalAnswer::Failed => Answer::Failed,
            FinalAnswer::StreamCut => Answer::Cut,
        };
        self.note_at(self.now + HOP, AuditEvent::Answered { request: one.id, answer: reported });
        if let FinalAnswer::Rejected(after) = answer {
            let traffic = &self.day.traffic;
            let usual = traffic.retry_wait.as_micros() as Micros;
            let wait = after.filter(|_| one.draft.obeys_retry_after).unwrap_or(usual);
            if one.tries < traffic.retries {
                self.at(self.now + HOP + wait, Event::AdmissionRequest(one.number, one.tries + 1, one.draft));
            }
        }
    }

    // ---- nodes ----

    fn tell(&mut self, node: usize, input: Input) {
        let mut out = std::mem::take(&mut self.out);
        self.nodes[node].handle(self.now, input, &mut out);
        self.rewake(node);
        self.carry_out(node, &mut out);
        self.out = out;
    }

    fn rewake(&mut self, node: usize) {
        if let Some(old) = self.wake_of[node] {
            self.wakes.remove(&(old, node));
        }
        // What is due now is done at the next turn of the clock.
        let wake = self.nodes[node].next_wake().map(|at| at.max(self.now));
        if let Some(at) = wake {
            self.wakes.insert((at, node));
        }
        self.wake_of[node] = wake;
    }

    fn carry_out(&mut self, node: usize, out: &mut Vec<Command>) {
        for command in out.drain(..) {
            match command {
                Command::Attempt(order) => {
                    let Some(&engine) = self.index.get(&order.engine) else { continue };
                    let request =
                        self.tries.get(&(node, order.number)).map_or(String::new(), |t| t.id.clone());
                    let flight = Flight {
                        engine,
                        work: None,
                        first: false,
                        reads: order.step == Step::Read,
                        request,
                        name: format!("{}.{}", order.request.0, order.attempt),
                    };
                    self.flights.insert((node, order.number, order.attempt), flight);
                    self.at(self.now + order.timeout, Event::Late(node, order.number, order.attempt, false));
                    if let Some(whole) = order.completion_timeout {
                        self.at(self.now + whole, Event::Late(node, order.number, order.attempt, true));
                    }
                    self.at(self.now + HOP, Event::Begin(node, Box::new(order)));
                }
                Command::Cancel(ticket, attempt) => {
                    self.call_off((node, ticket, attempt), Outcome::Cancelled);
                }
                Command::Answer(ticket, answer) => self.answered(node, ticket, answer),
                Command::RequestComplete(ticket) => {
                    self.tries.remove(&(node, ticket));
                }
                Command::Release { name, engine, .. } => {
                    self.at(self.now + HOP, Event::Release(node, name, engine));
                }
                Command::HealthCheck(engine, ..) => {
                    let Some(&number) = self.index.get(&engine) else { continue };
                    let up = self.fleet.engine(number).is_up();
                    let load = up.then(|| self.load(number));
                    self.at(
                        self.now + 2 * HOP,
                        Event::Tell(node, Box::new(Input::HealthChecked(engine, up, load))),
                    );
                }
                // Machines are always there in these days, and what an engine that died had has ended with it.
                Command::ProbeConnection(ticket, attempt, ..) => {
                    let word = Input::DeliveryConfirmed(ticket, attempt);
                    self.at(self.now + 2 * HOP, Event::Tell(node, Box::new(word)));
                }
                Command::ReloadEndpointList => self.list(node, HOP),
                Command::QueryPeer(_)
                | Command::RecoveryStage(_)
                | Command::RequestQuota(_)
                | Command::PublishOutlierReport(_)
                | Command::PublishZoneReport(..)
                | Command::WithdrawReleases(_)
                | Command::Log(_)
                | Command::Stopped => {}
            }
        }
    }

    /// A node reads the list as it is now, after a time.
    fn list(&mut self, node: usize, after: Micros) {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut list = Vec::new();
        for (n, spec) in self.specs.iter().enumerate() {
            let member = Endpoint {
                engine: EngineId(spec.id.as_str().into()),
                zone: spec.zone.clone(),
                kind: spec.kind.clone(),
                rack: spec.rack,
                state: self.listing[n],
                weight: 1.0,
                started: self.started[n],
            };
            list.push(EngineEndpoint {
                endpoint: member,
                address,
                cell: spec.cell.as_deref().map(Into::into),
                started_unix_ms: None,
            });
        }
        let at = self.now + after;
        for one in &list {
            let listing = match one.endpoint.state {
                EndpointState::Serving => ListingState::Serving,
                EndpointState::Draining => ListingState::Draining,
                EndpointState::Gone => ListingState::Gone,
            };
            let (node, engine) = (format!("n{node}"), one.endpoint.engine.0.to_string());
            let started = one.endpoint.started.is_some();
            self.record
                .push(Record { at, event: AuditEvent::EngineListed { node, engine, listing, started } });
        }
        self.at(at, Event::Tell(node, Box::new(Input::EndpointList(ListUpdate::Full, list))));
    }

    /// A tenant's move takes a step: a version of the file that nodes see one after the other, the last
    /// of them five seconds after the first.
    fn turn(&mut self, tenant: &str, turn: MoveCommand) {
        let unix_ms = UNIX_MS + self.now / 1000;
        // A day's script may end a move before its time; nodes then go on as the file had it.
        let Some(Ok(next)) = self.cells.as_ref().map(|c| c.apply_move_command(tenant, turn, unix_ms)) else {
            return;
        };
        for node in 0..self.nodes.len() {
            let late = self.day.cells_file_delay(node).as_micros() as Micros;
            let input = Input::Cells(Box::new(next.clone()));
            self.at(self.now + late, Event::Tell(node, Box::new(input)));
        }
        self.cells = Some(next);
    }

    fn publish(&mut self) {
        let notice = self.day.list_delay.as_micros() as Micros;
        (0..self.nodes.len()).for_each(|node| self.list(node, notice));
    }

    // ---- attempts ----

    fn begin(&mut self, node: usize, order: AttemptOrder) {
        let key = (node, order.number, order.attempt);
        let Some(flight) = self.flights.get_mut(&key) else { return };
        let Some(one) = self.tries.get(&(node, order.number)) else { return };
        let engine = flight.engine;
        let state = order.state.as_ref().and_then(|s| Some((s["engine"].as_u64()?, s["work"].as_u64()?)));
        let id = self.next_work;
        self.next_work += 1;
        flight.work = Some(id);
        let (half, prompt) = (order.max_tokens.div_ceil(2), token_count(&one.draft.prompt).max(1));
        let answer = half + one.number.wrapping_mul(0x9e37_79b9) % (order.max_tokens - half + 1);
        let work = Work {
            id,
            reads_only: order.step == Step::Read,
            fetches: state.map(|s| s.1).filter(|_| order.step == Step::Fetch),
            chain: one.chain.as_ref().clone(),
            prompt,
            answer: if order.step == Step::Read { 0 } else { answer },
            key: None,
        };
        let (request, attempt) = (flight.request.clone(), flight.name.clone());
        let step = match order.step {
            Step::Read => AuditStep::Read,
            Step::Fetch => AuditStep::Fetch,
            Step::Both => AuditStep::Both,
        };
        let (engine_id, node_name) = (self.specs[engine].id.clone(), format!("n{node}"));
        self.note(AuditEvent::AttemptArrived {
            engine: engine_id,
            node: node_name,
            request,
            attempt,
            step,
            reached: true,
        });
        self.works.insert(id, key);
        let source = state.map(|s| s.0 as usize).filter(|_| work.fetches.is_some());
        self.fleet.submit(self.now, engine, work, source, &mut self.said);
    }

    /// A node calls an attempt off, or its time is up: it ends there at once.
    fn call_off(&mut self, key: Key, outcome: Outcome) {
        let Some(flight) = self.flights.get(&key) else { return };
        if let Some(work) = flight.work {
            self.fleet.cancel(self.now, flight.engine, work, &mut self.said);
        }
        self.end(key, outcome, 0, None, 0);
    }

    fn end(&mut self, key: Key, outcome: Outcome, kept: u64, state: Option<WorkId>, hop: Micros) {
        let Some(flight) = self.flights.remove(&key) else { return };
        if let Some(work) = flight.work {
            self.works.remove(&work);
            let (engine, attempt) = (self.specs[flight.engine].id.clone(), flight.name.clone());
            self.note(AuditEvent::AttemptEnded { engine, attempt });
        }
        let reported =
            matches!(outcome, Outcome::Read | Outcome::Served | Outcome::Overloaded | Outcome::StateNotFound);
        let load = reported.then(|| self.load(flight.engine));
        let state = state.map(|work| Arc::new(json!({ "engine": flight.engine, "work": work })));
        let (node, ticket, attempt) = key;
        let input =
            Input::AttemptEnded { number: ticket, attempt, outcome, cached_tokens: kept, load, state };
        self.at(self.now + hop, Event::Tell(node, Box::new(input)));
    }

    fn load(&mut self, engine: usize) -> LoadReport {
        let r = self.fleet.report(self.now, engine);
        let slots = self.specs[engine].slots.max(1) as f64;
        LoadReport {
            slots: Some(r.running / slots),
            queue: Some(r.waiting),
            memory: Some(r.memory),
            backlog: Some(r.backlog / 1000.0),
        }
    }

    // ---- engines ----

    fn heard(&mut self, engine: usize, notice: Notice) {
        match notice {
            Notice::Freed(state, by) => {
                let Some((engine, name)) = self.names.remove(&state) else { return };
                self.states.remove(&(engine, name.clone()));
                let (engine, by) = (self.specs[engine].id.clone(), audit_freed_by(by));
                self.note(AuditEvent::StateFreed { engine, state: name, by });
            }
            Notice::Overloaded => {
                self.overload_crashes += 1;
                self.listing[engine] = EndpointState::Gone;
                self.publish();
                self.at(self.now + UP_AGAIN, Event::Fault(FaultAction::SetRunning(engine, true)));
            }
            Notice::Read(id, kept) => {
                // A read that was called off may still be done: its state waits until it is let go.
                let Some(&key) = self.works.get(&id) else {
                    self.fleet.release(self.now, engine, id, &mut self.said);
                    return;
                };
                let Some(flight) = self.flights.get(&key) else { return };
                let (state, request) = (flight.name.clone(), flight.request.clone());
                self.states.insert((engine, state.clone()), id);
                self.names.insert(id, (engine, state.clone()));
                let (engine, node) = (self.specs[engine].id.clone(), format!("n{}", key.0));
                self.note(AuditEvent::StateHeld { engine, node, request, state });
                self.end(key, Outcome::Read, kept, Some(id), HOP);
            }
            Notice::Started(id) => {
                let Some(flight) = self.works.get(&id).and_then(|k| self.flights.get(k)) else { return };
                let (request, attempt) = (flight.request.clone(), flight.name.clone());
                self.note(AuditEvent::AttemptRan { engine: self.specs[engine].id.clone(), request, attempt });
            }
            Notice::Token(id, 1) => {
                let Some(&key) = self.works.get(&id) else { return };
                let Some(flight) = self.flights.get_mut(&key).filter(|f| !f.reads) else { return };
                flight.first = true;
                self.at(self.now + HOP, Event::Tell(key.0, Box::new(Input::FirstToken(key.1, key.2))));
                let at = self.now + 2 * HOP;
                let Some(one) = self.tries.get_mut(&(key.0, key.1)).filter(|t| !t.done) else { return };
                if one.draft.streamed && !std::mem::replace(&mut one.first, true) {
                    let request = one.id.clone();
                    self.note_at(at, AuditEvent::FirstChunk { request });
                }
            }
            Notice::Done(id, kept) => {
                if let Some(&key) = self.works.get(&id) {
                    self.end(key, Outcome::Served, kept, None, HOP);
                }
            }
            Notice::Refused(id, why) => {
                let Some(&key) = self.works.get(&id) else { return };
                let outcome = match why {
                    Refusal::Full | Refusal::TooLong => Outcome::Overloaded,
                    Refusal::NoState | Refusal::Repeat => Outcome::StateNotFound,
                    Refusal::Down => Outcome::Unreachable,
                };
                self.turned_away(engine, key);
                self.end(key, outcome, 0, None, HOP);
            }
            Notice::Broken(id) => {
                let Some(&key) = self.works.get(&id) else { return };
                let up = self.fleet.engine(engine).is_up();
                if up {
                    self.turned_away(engine, key);
                }
                self.end(
                    key,
                    if up { Outcome::StateNotFound } else { Outcome::ConnectionBroken },
                    0,
                    None,
                    HOP,
                );
            }
            Notice::Token(..) | Notice::FetchNeeded(..) | Notice::Preempted(_) => {}
        }
    }

    /// An engine says that it has run nothing of an attempt.
    fn turned_away(&mut self, engine: usize, key: Key) {
        let Some(attempt) = self.flights.get(&key).map(|f| f.name.clone()) else { return };
        self.note(AuditEvent::AttemptRejected { engine: self.specs[engine].id.clone(), attempt });
    }

    fn release(&mut self, node: usize, name: RequestId, engine: EngineId) {
        let Some(&number) = self.index.get(&engine) else { return };
        let up = self.fleet.engine(number).is_up();
        if up {
            let state = name.0.to_string();
            self.note(AuditEvent::ReleaseArrived { engine: engine.0.to_string(), state: state.clone() });
            if let Some(work) = self.states.get(&(number, state)).copied() {
                self.fleet.release(self.now, number, work, &mut self.said);
            }
        }
        self.at(self.now + HOP, Event::Tell(node, Box::new(Input::Released(name, engine, up))));
    }

    fn act(&mut self, act: FaultAction) {
        match act {
            FaultAction::SetRunning(engine, false) => {
                self.fleet.crash(self.now, engine, &mut self.said);
                self.listing[engine] = EndpointState::Gone;
                self.publish();
            }
            FaultAction::SetRunning(engine, true) => {
                self.fleet.start(self.now, engine, true);
                (self.listing[engine], self.started[engine]) = (EndpointState::Serving, Some(self.now));
                self.note(AuditEvent::EngineStarted { engine: self.specs[engine].id.clone() });
                self.publish();
            }
            FaultAction::SetSlowdown(engine, times) => self.fleet.fault(engine, |f| f.slow = times),
            FaultAction::SetLinkSlowdown(engine, times) => self.fleet.slow_port(self.now, engine, times),
            FaultAction::PauseUntil(engine, until) => self.fleet.fault(engine, |f| f.paused_until = until),
            FaultAction::ClearCache(engine) => self.fleet.forget(engine),
            FaultAction::SetReportAccuracy(engine, how) => self.fleet.fault(engine, |f| f.reports = how),
            FaultAction::SetDraining(engine, drains) => {
                if self.listing[engine] != EndpointState::Gone {
                    self.listing[engine] =
                        if drains { EndpointState::Draining } else { EndpointState::Serving };
                    self.publish();
                }
            }
            FaultAction::AnnounceMove(tenant, cell, over) => {
                let (to, over_ms) = (vec![cell.as_str().into()], (over / 1000).max(1));
                self.turn(&tenant, MoveCommand::Begin { to, over_ms });
            }
            FaultAction::AdvanceMove(tenant, done) => {
                self.turn(&tenant, if done { MoveCommand::Done } else { MoveCommand::Go });
            }
            FaultAction::SetTrafficRate(rate) => self.rate = rate,
            FaultAction::SetHotTextShare(share) => self.hot = share,
        }
    }
}
