//! The simulated world: one virtual clock that drives nodes, engines, clients and faults.

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

use crate::clients::{request_id, Tries, Try};
use crate::fault_schedule::{schedule_faults, FaultAction};
use crate::policy::{Policy, PolicyKind};

/// The one-way network delay of a message.
const NETWORK_DELAY: Micros = 100;
/// The Unix time at which each simulation starts, in milliseconds.
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// An engine that crashed by overload restarts with an empty cache after this time.
const ENGINE_RESTART_DELAY: Micros = 5_000_000;

/// The settings of one node of a scenario.
fn node_settings(scenario: &Scenario, number: usize) -> NodeSettings {
    let mut settings = scenario.node(number);
    settings.cells_file = scenario.cells.as_ref().map(|_| "in virtual time".to_string());
    settings
}

enum Event {
    /// A client sends a request, for the first time or again.
    ClientRequest(u64, u32, Rc<RequestDraft>),
    /// An input reaches a node.
    NodeInput(usize, Box<Input>),
    /// An attempt reaches its engine.
    AttemptArrived(usize, Box<AttemptOrder>),
    /// A release reaches its engine.
    ReleaseArrived(usize, RequestId, EngineId),
    /// An attempt's timeout expires: for its first token (`false`), or for the whole answer (`true`).
    AttemptTimeout(usize, RequestNumber, AttemptNumber, bool),
    /// A client's timeout expires.
    ClientTimeout(usize, RequestNumber),
    /// A fault begins or ends.
    Fault(FaultAction),
}

/// An attempt in flight.
struct Attempt {
    engine: usize,
    work: Option<WorkId>,
    first_token: bool,
    is_read: bool,
    /// The request id in the record.
    request: String,
    /// The attempt id in the record.
    name: String,
}

/// Node, request and number of an attempt.
type AttemptKey = (usize, RequestNumber, AttemptNumber);

/// The simulation of one scenario.
pub struct World<'a> {
    scenario: &'a Scenario,
    now: Micros,
    /// Orders events that are due at the same time.
    event_sequence: u64,
    events: BTreeMap<(Micros, u64), Event>,
    fleet: Fleet,
    specs: Vec<EngineSpec>,
    /// The position of each engine in `specs`.
    index: HashMap<EngineId, usize>,
    /// The state of each engine in the endpoint list.
    listing: Vec<EndpointState>,
    /// When each engine was last started; `None` if it has run since the beginning.
    started: Vec<Option<Micros>>,
    nodes: Vec<Box<dyn Policy>>,
    wakes: BTreeSet<(Micros, usize)>,
    wake_by_node: Vec<Option<Micros>>,
    last_request_numbers: Vec<RequestNumber>,
    tries: Tries,
    attempts: BTreeMap<AttemptKey, Attempt>,
    attempt_by_work: HashMap<WorkId, AttemptKey>,
    /// Read states that engines hold, by engine and state id.
    states: HashMap<(usize, String), WorkId>,
    /// The reverse of `states`.
    state_by_work: HashMap<WorkId, (usize, String)>,
    next_work: WorkId,
    traffic: TrafficGenerator,
    /// The factor on the scenario's request rate.
    rate: f64,
    /// The share of requests that begin with the same text.
    hot_text_share: f64,
    cells: Option<CellsFile>,
    rng: ChaCha8Rng,
    record: Vec<Record>,
    out: Vec<Command>,
    notices: Vec<(usize, Notice)>,
    overload_crashes: u64,
}

impl<'a> World<'a> {
    /// Prepares the simulation of a scenario with the same kind of policy at each node.
    pub fn new(scenario: &'a Scenario, policy: PolicyKind, seed: u64) -> World<'a> {
        let mut fleet = Fleet::new(LINK_RATES, seed);
        let specs = engine_specs(scenario);
        let zone = |name: &str| scenario.zones.iter().position(|z| z == name).unwrap_or(0);
        for spec in &specs {
            let mut engine = emulator_spec(spec);
            if let Some(cold) = &mut engine.cold {
                cold.overload_factor = spec.overload_factor;
            }
            fleet.add(engine, Place { zone: zone(&spec.zone) as u32, rack: spec.rack as u32 });
        }
        let mut nodes: Vec<Box<dyn Policy>> = Vec::new();
        for number in 0..scenario.nodes {
            let node_seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64;
            nodes.push(policy.build(Arc::new(node_settings(scenario, number)), node_seed));
        }
        let index = specs.iter().enumerate().map(|(n, s)| (EngineId(s.id.as_str().into()), n)).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x1ab);
        let kinds: Vec<(String, Option<String>)> =
            specs.iter().map(|s| (s.kind.clone(), s.cell.clone())).collect();
        let actions = schedule_faults(scenario, &kinds, &mut rng);
        let mut world = World {
            now: 0,
            event_sequence: 0,
            events: BTreeMap::new(),
            fleet,
            index,
            listing: vec![EndpointState::Serving; specs.len()],
            started: vec![None; specs.len()],
            wakes: BTreeSet::new(),
            wake_by_node: vec![None; nodes.len()],
            last_request_numbers: vec![0; nodes.len()],
            nodes,
            tries: Tries::new(),
            attempts: BTreeMap::new(),
            attempt_by_work: HashMap::new(),
            states: HashMap::new(),
            state_by_work: HashMap::new(),
            next_work: 1,
            traffic: TrafficGenerator::new(&scenario.traffic, &scenario.settings, scenario.zones.len(), seed),
            rate: 1.0,
            hot_text_share: 0.0,
            cells: scenario.cells.clone(),
            rng,
            record: Vec::new(),
            out: Vec::new(),
            notices: Vec::new(),
            overload_crashes: 0,
            specs,
            scenario,
        };
        for node in 0..world.nodes.len() {
            world.record_event(AuditEvent::NodeUp { node: format!("n{node}") });
            if let Some(cells) = &scenario.cells {
                world.schedule(0, Event::NodeInput(node, Box::new(Input::Cells(Box::new(cells.clone())))));
            }
            world.send_endpoint_list(node, 0);
        }
        for (at, action) in actions {
            world.schedule(at, Event::Fault(action));
        }
        world
    }

    /// Replaces the policy of each node. Tests use it to check that the audit finds a policy that breaks a rule.
    pub fn replace_policies(&mut self, build: impl Fn(Arc<NodeSettings>, u64) -> Box<dyn Policy>) {
        for number in 0..self.nodes.len() {
            self.nodes[number] = build(Arc::new(node_settings(self.scenario, number)), number as u64);
        }
    }

    /// Runs the simulation to its end. Returns the record, the engines' locations for the audit, and the number of
    /// engine crashes by overload.
    pub fn play(mut self) -> (Vec<Record>, Vec<EngineLocation>, u64) {
        let traffic_end = self.scenario.length.as_micros() as Micros;
        let end = traffic_end + self.scenario.settle.as_micros() as Micros;
        let mut next_arrival = self.traffic.next_interval(1.0).as_micros() as Micros;
        let mut request_number = 0;
        loop {
            let arrival = Some(next_arrival).filter(|at| *at < traffic_end);
            let due = [
                self.events.keys().next().map(|k| k.0),
                self.fleet.next_wake(),
                self.wakes.first().map(|w| w.0),
                arrival,
            ];
            let Some(at) = due.into_iter().flatten().min().filter(|at| *at <= end) else { break };
            if arrival.is_none() && self.tries.is_empty() && self.states.is_empty() {
                break;
            }
            self.now = self.now.max(at);
            if arrival == Some(at) {
                request_number += 1;
                let draft = Rc::new(self.traffic.next_request(self.hot_text_share));
                next_arrival += (self.traffic.next_interval(self.rate).as_micros() as Micros).max(1);
                self.send_request(request_number, 0, draft);
            } else if self.fleet.next_wake().is_some_and(|w| w <= at) {
                self.fleet.tick(self.now, &mut self.notices);
            } else if let Some((_, node)) = self.wakes.first().copied().filter(|w| w.0 <= at) {
                let mut out = std::mem::take(&mut self.out);
                self.nodes[node].tick(self.now, &mut out);
                self.update_wake(node);
                self.execute(node, &mut out);
                self.out = out;
            } else if let Some((_, event)) = self.events.pop_first() {
                self.handle_event(event);
            }
            while !self.notices.is_empty() {
                for (engine, notice) in std::mem::take(&mut self.notices) {
                    self.handle_notice(engine, notice);
                }
            }
        }
        self.record.sort_by_key(|r| r.at);
        let locations = self.specs.iter().map(|s| EngineLocation {
            engine: s.id.clone(),
            zone: s.zone.clone(),
            rack: s.rack,
        });
        (self.record, locations.collect(), self.overload_crashes)
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.event_sequence += 1;
        self.events.insert((at, self.event_sequence), event);
    }

    fn record_event(&mut self, event: AuditEvent) {
        self.record_event_at(self.now, event);
    }

    fn record_event_at(&mut self, at: Micros, event: AuditEvent) {
        self.record.push(Record { at, event });
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ClientRequest(number, retry, draft) => self.send_request(number, retry, draft),
            Event::NodeInput(node, input) => self.send_input(node, *input),
            Event::AttemptArrived(node, order) => self.start_attempt(node, *order),
            Event::ReleaseArrived(node, name, engine) => self.handle_release(node, name, engine),
            Event::AttemptTimeout(node, number, attempt, for_whole_answer) => {
                let attempt_in_flight = self.attempts.get(&(node, number, attempt));
                if attempt_in_flight.is_some_and(|a| for_whole_answer || !a.first_token) {
                    self.abort_attempt((node, number, attempt), Outcome::TimedOut);
                }
            }
            Event::ClientTimeout(node, number) => {
                let Some(client_try) = self.tries.get_mut(&(node, number)).filter(|t| !t.done) else {
                    return;
                };
                if client_try.draft.streamed && client_try.first_token_received {
                    return;
                }
                client_try.done = true;
                let request = client_try.id.clone();
                self.record_event(AuditEvent::Unanswered { request });
                self.send_input(node, Input::ClientLeft(number));
            }
            Event::Fault(action) => self.apply_fault(action),
        }
    }

    // ---- clients ----

    /// Sends a try of a client request to a random node, in the client's zone if that has nodes.
    fn send_request(&mut self, request_number: u64, retry: u32, draft: Rc<RequestDraft>) {
        let zones = self.scenario.zones.len();
        let nodes_in_zone: Vec<usize> = (0..self.nodes.len()).filter(|n| n % zones == draft.zone).collect();
        let node = if nodes_in_zone.is_empty() {
            self.rng.random_range(0..self.nodes.len())
        } else {
            nodes_in_zone[self.rng.random_range(0..nodes_in_zone.len())]
        };
        self.last_request_numbers[node] += 1;
        let (number, core) = (self.last_request_numbers[node], &self.scenario.settings.core);
        let client_timeout = draft.patience.as_micros() as Micros;
        let arrival = IncomingRequest {
            number,
            name: None,
            class: core.classes.iter().position(|c| c.name == draft.class),
            tenant: core.tenants.iter().position(|t| Some(&t.name) == draft.tenant.as_ref()),
            session: Some(draft.session),
            prefix: draft.prefix,
            prompt_tokens: token_count(&draft.prompt),
            prefix_tokens: draft.prefix_tokens,
            max_tokens: Some(draft.max_tokens),
            client_timeout: Some(client_timeout),
            streamed: draft.streamed,
            resumed: false,
            bytes: draft.prompt.len(),
            unix_ms: START_UNIX_MS + self.now / 1000,
        };
        let client_try = Try {
            id: request_id(request_number, retry),
            request_number,
            retry,
            block_hashes: Rc::new(block_hashes(&draft.prompt)),
            first_token_received: false,
            done: false,
            draft,
        };
        self.record_event(AuditEvent::RequestSent {
            request: client_try.id.clone(),
            node: format!("n{node}"),
            class: client_try.draft.class.clone(),
            tenant: client_try.draft.tenant.clone(),
            patience_us: client_timeout,
            streamed: client_try.draft.streamed,
        });
        self.schedule(self.now + client_timeout, Event::ClientTimeout(node, number));
        self.tries.insert((node, number), client_try);
        self.schedule(
            self.now + NETWORK_DELAY,
            Event::NodeInput(node, Box::new(Input::RequestArrived(arrival))),
        );
    }

    fn receive_answer(&mut self, node: usize, number: RequestNumber, answer: FinalAnswer) {
        let Some(client_try) = self.tries.get_mut(&(node, number)).filter(|t| !t.done) else { return };
        client_try.done = true;
        let client_try = client_try.clone();
        let reported = match answer {
            FinalAnswer::Served => Answer::Served,
            FinalAnswer::Rejected(_) => Answer::Refused,
            FinalAnswer::Failed => Answer::Failed,
            FinalAnswer::StreamCut => Answer::Cut,
        };
        self.record_event_at(
            self.now + NETWORK_DELAY,
            AuditEvent::Answered { request: client_try.id, answer: reported },
        );
        if let FinalAnswer::Rejected(after) = answer {
            let traffic = &self.scenario.traffic;
            let default_wait = traffic.retry_wait.as_micros() as Micros;
            let wait = after.filter(|_| client_try.draft.obeys_retry_after).unwrap_or(default_wait);
            if client_try.retry < traffic.retries {
                self.schedule(
                    self.now + NETWORK_DELAY + wait,
                    Event::ClientRequest(client_try.request_number, client_try.retry + 1, client_try.draft),
                );
            }
        }
    }

    // ---- nodes ----

    fn send_input(&mut self, node: usize, input: Input) {
        let mut out = std::mem::take(&mut self.out);
        self.nodes[node].handle(self.now, input, &mut out);
        self.update_wake(node);
        self.execute(node, &mut out);
        self.out = out;
    }

    fn update_wake(&mut self, node: usize) {
        if let Some(old) = self.wake_by_node[node] {
            self.wakes.remove(&(old, node));
        }
        // A wake time in the past is replaced by the current time: the clock never runs backwards.
        let wake = self.nodes[node].next_wake().map(|at| at.max(self.now));
        if let Some(at) = wake {
            self.wakes.insert((at, node));
        }
        self.wake_by_node[node] = wake;
    }

    /// Carries out the commands of a node.
    fn execute(&mut self, node: usize, out: &mut Vec<Command>) {
        for command in out.drain(..) {
            match command {
                Command::Attempt(order) => {
                    let Some(&engine) = self.index.get(&order.engine) else { continue };
                    let request =
                        self.tries.get(&(node, order.number)).map_or(String::new(), |t| t.id.clone());
                    let new_attempt = Attempt {
                        engine,
                        work: None,
                        first_token: false,
                        is_read: order.step == Step::Read,
                        request,
                        name: format!("{}.{}", order.request.0, order.attempt),
                    };
                    self.attempts.insert((node, order.number, order.attempt), new_attempt);
                    self.schedule(
                        self.now + order.timeout,
                        Event::AttemptTimeout(node, order.number, order.attempt, false),
                    );
                    if let Some(completion_timeout) = order.completion_timeout {
                        self.schedule(
                            self.now + completion_timeout,
                            Event::AttemptTimeout(node, order.number, order.attempt, true),
                        );
                    }
                    self.schedule(self.now + NETWORK_DELAY, Event::AttemptArrived(node, Box::new(order)));
                }
                Command::Cancel(number, attempt) => {
                    self.abort_attempt((node, number, attempt), Outcome::Cancelled);
                }
                Command::Answer(number, answer) => self.receive_answer(node, number, answer),
                Command::RequestComplete(number) => {
                    self.tries.remove(&(node, number));
                }
                Command::Release { name, engine, .. } => {
                    self.schedule(self.now + NETWORK_DELAY, Event::ReleaseArrived(node, name, engine));
                }
                Command::HealthCheck(engine, ..) => {
                    let Some(&number) = self.index.get(&engine) else { continue };
                    let up = self.fleet.engine(number).is_up();
                    let load = up.then(|| self.load(number));
                    self.schedule(
                        self.now + 2 * NETWORK_DELAY,
                        Event::NodeInput(node, Box::new(Input::HealthChecked(engine, up, load))),
                    );
                }
                // The simulation has no unreachable machines, and the attempts of a crashed engine end with the crash,
                // so a connection probe always confirms delivery.
                Command::ProbeConnection(number, attempt, ..) => {
                    let input = Input::DeliveryConfirmed(number, attempt);
                    self.schedule(self.now + 2 * NETWORK_DELAY, Event::NodeInput(node, Box::new(input)));
                }
                Command::ReloadEndpointList => self.send_endpoint_list(node, NETWORK_DELAY),
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

    /// Sends the current endpoint list to a node after a delay.
    fn send_endpoint_list(&mut self, node: usize, delay: Micros) {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut list = Vec::new();
        for (n, spec) in self.specs.iter().enumerate() {
            let endpoint = Endpoint {
                engine: EngineId(spec.id.as_str().into()),
                zone: spec.zone.clone(),
                kind: spec.kind.clone(),
                rack: spec.rack,
                state: self.listing[n],
                weight: 1.0,
                started: self.started[n],
            };
            list.push(EngineEndpoint {
                endpoint,
                address,
                cell: spec.cell.as_deref().map(Into::into),
                started_unix_ms: None,
            });
        }
        let at = self.now + delay;
        for entry in &list {
            let listing = match entry.endpoint.state {
                EndpointState::Serving => ListingState::Serving,
                EndpointState::Draining => ListingState::Draining,
                EndpointState::Gone => ListingState::Gone,
            };
            let (node, engine) = (format!("n{node}"), entry.endpoint.engine.0.to_string());
            let started = entry.endpoint.started.is_some();
            self.record
                .push(Record { at, event: AuditEvent::EngineListed { node, engine, listing, started } });
        }
        self.schedule(at, Event::NodeInput(node, Box::new(Input::EndpointList(ListUpdate::Full, list))));
    }

    /// Applies a step of a tenant's move as a new version of the cells file. Nodes see it one after another, the
    /// last node five seconds after the first.
    fn apply_move(&mut self, tenant: &str, command: MoveCommand) {
        let unix_ms = START_UNIX_MS + self.now / 1000;
        // A scenario may complete a move too early. The command then fails and the previous file stays in force.
        let Some(Ok(next)) = self.cells.as_ref().map(|c| c.apply_move_command(tenant, command, unix_ms))
        else {
            return;
        };
        for node in 0..self.nodes.len() {
            let delay = self.scenario.cells_file_delay(node).as_micros() as Micros;
            let input = Input::Cells(Box::new(next.clone()));
            self.schedule(self.now + delay, Event::NodeInput(node, Box::new(input)));
        }
        self.cells = Some(next);
    }

    /// Sends the current endpoint list to all nodes.
    fn publish_endpoint_list(&mut self) {
        let delay = self.scenario.list_delay.as_micros() as Micros;
        (0..self.nodes.len()).for_each(|node| self.send_endpoint_list(node, delay));
    }

    // ---- attempts ----

    fn start_attempt(&mut self, node: usize, order: AttemptOrder) {
        let key = (node, order.number, order.attempt);
        let Some(attempt_in_flight) = self.attempts.get_mut(&key) else { return };
        let Some(client_try) = self.tries.get(&(node, order.number)) else { return };
        let engine = attempt_in_flight.engine;
        let state = order.state.as_ref().and_then(|s| Some((s["engine"].as_u64()?, s["work"].as_u64()?)));
        let id = self.next_work;
        self.next_work += 1;
        attempt_in_flight.work = Some(id);
        let (min_answer, prompt) =
            (order.max_tokens.div_ceil(2), token_count(&client_try.draft.prompt).max(1));
        let answer = min_answer
            + client_try.request_number.wrapping_mul(0x9e37_79b9) % (order.max_tokens - min_answer + 1);
        let work = Work {
            id,
            reads_only: order.step == Step::Read,
            fetches: state.map(|s| s.1).filter(|_| order.step == Step::Fetch),
            chain: client_try.block_hashes.as_ref().clone(),
            prompt,
            answer: if order.step == Step::Read { 0 } else { answer },
            key: None,
        };
        let (request, attempt) = (attempt_in_flight.request.clone(), attempt_in_flight.name.clone());
        let step = match order.step {
            Step::Read => AuditStep::Read,
            Step::Fetch => AuditStep::Fetch,
            Step::Both => AuditStep::Both,
        };
        let (engine_id, node_name) = (self.specs[engine].id.clone(), format!("n{node}"));
        self.record_event(AuditEvent::AttemptArrived {
            engine: engine_id,
            node: node_name,
            request,
            attempt,
            step,
            reached: true,
        });
        self.attempt_by_work.insert(id, key);
        let source = state.map(|s| s.0 as usize).filter(|_| work.fetches.is_some());
        self.fleet.submit(self.now, engine, work, source, &mut self.notices);
    }

    /// Aborts an attempt because its node cancelled it or its timeout expired. The node learns of the end at once.
    fn abort_attempt(&mut self, key: AttemptKey, outcome: Outcome) {
        let Some(attempt_in_flight) = self.attempts.get(&key) else { return };
        if let Some(work) = attempt_in_flight.work {
            self.fleet.cancel(self.now, attempt_in_flight.engine, work, &mut self.notices);
        }
        self.end_attempt(key, outcome, 0, None, 0);
    }

    /// Ends an attempt. The node learns its outcome after `delay`.
    fn end_attempt(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        cached_tokens: u64,
        state: Option<WorkId>,
        delay: Micros,
    ) {
        let Some(attempt_in_flight) = self.attempts.remove(&key) else { return };
        if let Some(work) = attempt_in_flight.work {
            self.attempt_by_work.remove(&work);
            let (engine, attempt) =
                (self.specs[attempt_in_flight.engine].id.clone(), attempt_in_flight.name.clone());
            self.record_event(AuditEvent::AttemptEnded { engine, attempt });
        }
        let has_load_report =
            matches!(outcome, Outcome::Read | Outcome::Served | Outcome::Overloaded | Outcome::StateNotFound);
        let load = has_load_report.then(|| self.load(attempt_in_flight.engine));
        let state = state.map(|work| Arc::new(json!({ "engine": attempt_in_flight.engine, "work": work })));
        let (node, number, attempt) = key;
        let input = Input::AttemptEnded { number, attempt, outcome, cached_tokens, load, state };
        self.schedule(self.now + delay, Event::NodeInput(node, Box::new(input)));
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

    fn handle_notice(&mut self, engine: usize, notice: Notice) {
        match notice {
            Notice::Freed(work, by) => {
                let Some((engine, name)) = self.state_by_work.remove(&work) else { return };
                self.states.remove(&(engine, name.clone()));
                let (engine, by) = (self.specs[engine].id.clone(), audit_freed_by(by));
                self.record_event(AuditEvent::StateFreed { engine, state: name, by });
            }
            Notice::Overloaded => {
                self.overload_crashes += 1;
                self.listing[engine] = EndpointState::Gone;
                self.publish_endpoint_list();
                self.schedule(
                    self.now + ENGINE_RESTART_DELAY,
                    Event::Fault(FaultAction::SetRunning(engine, true)),
                );
            }
            Notice::Read(id, cached_tokens) => {
                // A cancelled read may still complete. The engine then holds a state that no attempt wants: release it.
                let Some(&key) = self.attempt_by_work.get(&id) else {
                    self.fleet.release(self.now, engine, id, &mut self.notices);
                    return;
                };
                let Some(attempt_in_flight) = self.attempts.get(&key) else { return };
                let (state, request) = (attempt_in_flight.name.clone(), attempt_in_flight.request.clone());
                self.states.insert((engine, state.clone()), id);
                self.state_by_work.insert(id, (engine, state.clone()));
                let (engine, node) = (self.specs[engine].id.clone(), format!("n{}", key.0));
                self.record_event(AuditEvent::StateHeld { engine, node, request, state });
                self.end_attempt(key, Outcome::Read, cached_tokens, Some(id), NETWORK_DELAY);
            }
            Notice::Started(id) => {
                let Some(attempt_in_flight) =
                    self.attempt_by_work.get(&id).and_then(|k| self.attempts.get(k))
                else {
                    return;
                };
                let (request, attempt) = (attempt_in_flight.request.clone(), attempt_in_flight.name.clone());
                self.record_event(AuditEvent::AttemptRan {
                    engine: self.specs[engine].id.clone(),
                    request,
                    attempt,
                });
            }
            Notice::Token(id, 1) => {
                let Some(&key) = self.attempt_by_work.get(&id) else { return };
                let Some(attempt_in_flight) = self.attempts.get_mut(&key).filter(|a| !a.is_read) else {
                    return;
                };
                attempt_in_flight.first_token = true;
                self.schedule(
                    self.now + NETWORK_DELAY,
                    Event::NodeInput(key.0, Box::new(Input::FirstToken(key.1, key.2))),
                );
                let at = self.now + 2 * NETWORK_DELAY;
                let Some(client_try) = self.tries.get_mut(&(key.0, key.1)).filter(|t| !t.done) else {
                    return;
                };
                if client_try.draft.streamed && !std::mem::replace(&mut client_try.first_token_received, true)
                {
                    let request = client_try.id.clone();
                    self.record_event_at(at, AuditEvent::FirstChunk { request });
                }
            }
            Notice::Done(id, cached_tokens) => {
                if let Some(&key) = self.attempt_by_work.get(&id) {
                    self.end_attempt(key, Outcome::Served, cached_tokens, None, NETWORK_DELAY);
                }
            }
            Notice::Refused(id, why) => {
                let Some(&key) = self.attempt_by_work.get(&id) else { return };
                let outcome = match why {
                    Refusal::Full | Refusal::TooLong => Outcome::Overloaded,
                    Refusal::NoState | Refusal::Repeat => Outcome::StateNotFound,
                    Refusal::Down => Outcome::Unreachable,
                };
                self.record_rejection(engine, key);
                self.end_attempt(key, outcome, 0, None, NETWORK_DELAY);
            }
            Notice::Broken(id) => {
                let Some(&key) = self.attempt_by_work.get(&id) else { return };
                let up = self.fleet.engine(engine).is_up();
                if up {
                    self.record_rejection(engine, key);
                }
                self.end_attempt(
                    key,
                    if up { Outcome::StateNotFound } else { Outcome::ConnectionBroken },
                    0,
                    None,
                    NETWORK_DELAY,
                );
            }
            Notice::Token(..) | Notice::FetchNeeded(..) | Notice::Preempted(_) => {}
        }
    }

    /// Records that an engine confirmed that it ran nothing of an attempt.
    fn record_rejection(&mut self, engine: usize, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key).map(|a| a.name.clone()) else { return };
        self.record_event(AuditEvent::AttemptRejected { engine: self.specs[engine].id.clone(), attempt });
    }

    fn handle_release(&mut self, node: usize, name: RequestId, engine: EngineId) {
        let Some(&number) = self.index.get(&engine) else { return };
        let up = self.fleet.engine(number).is_up();
        if up {
            let state = name.0.to_string();
            self.record_event(AuditEvent::ReleaseArrived {
                engine: engine.0.to_string(),
                state: state.clone(),
            });
            if let Some(work) = self.states.get(&(number, state)).copied() {
                self.fleet.release(self.now, number, work, &mut self.notices);
            }
        }
        self.schedule(
            self.now + NETWORK_DELAY,
            Event::NodeInput(node, Box::new(Input::Released(name, engine, up))),
        );
    }

    fn apply_fault(&mut self, action: FaultAction) {
        match action {
            FaultAction::SetRunning(engine, false) => {
                self.fleet.crash(self.now, engine, &mut self.notices);
                self.listing[engine] = EndpointState::Gone;
                self.publish_endpoint_list();
            }
            FaultAction::SetRunning(engine, true) => {
                self.fleet.start(self.now, engine, true);
                (self.listing[engine], self.started[engine]) = (EndpointState::Serving, Some(self.now));
                self.record_event(AuditEvent::EngineStarted { engine: self.specs[engine].id.clone() });
                self.publish_endpoint_list();
            }
            FaultAction::SetSlowdown(engine, factor) => self.fleet.fault(engine, |f| f.slow = factor),
            FaultAction::SetLinkSlowdown(engine, factor) => self.fleet.slow_port(self.now, engine, factor),
            FaultAction::PauseUntil(engine, until) => self.fleet.fault(engine, |f| f.paused_until = until),
            FaultAction::ClearCache(engine) => self.fleet.forget(engine),
            FaultAction::SetReportAccuracy(engine, accuracy) => {
                self.fleet.fault(engine, |f| f.reports = accuracy);
            }
            FaultAction::SetDraining(engine, drains) => {
                if self.listing[engine] != EndpointState::Gone {
                    self.listing[engine] =
                        if drains { EndpointState::Draining } else { EndpointState::Serving };
                    self.publish_endpoint_list();
                }
            }
            FaultAction::AnnounceMove(tenant, cell, over_us) => {
                let (to, over_ms) = (vec![cell.as_str().into()], (over_us / 1000).max(1));
                self.apply_move(&tenant, MoveCommand::Begin { to, over_ms });
            }
            FaultAction::AdvanceMove(tenant, done) => {
                self.apply_move(&tenant, if done { MoveCommand::Done } else { MoveCommand::Go });
            }
            FaultAction::SetTrafficRate(rate) => self.rate = rate,
            FaultAction::SetHotTextShare(share) => self.hot_text_share = share,
        }
    }
}
