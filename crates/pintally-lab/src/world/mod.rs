//! The simulated world: one virtual clock that drives nodes, engines, clients and faults.

mod attempts;
mod clients;
mod engines;
mod faults;
mod nodes;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use pintally::interface::{AttemptNumber, EndpointState, EngineId, Micros, Outcome, RequestId};
use pintally_audit::{AuditEvent, EngineLocation, Record};
use pintally_cells::CellsFile;
use pintally_config::NodeSettings;
use pintally_emulator::{Fleet, Notice, Place, WorkId};
use pintally_host::{AttemptOrder, Command, Input, RequestNumber};
use pintally_mock_engine::{emulator_spec, EngineSpec, LINK_RATES};
use pintally_scenario::{engine_specs, RequestDraft, Scenario, TrafficGenerator};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clients::Tries;
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
}
