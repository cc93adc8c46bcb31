//! The virtual clock and everything that it drives: nodes, engines, connections, clients, faults.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use pintally::interface::{EndpointState, EngineId, Idempotency, IdempotencyScope, Outcome, RequestId};
use pintally_config::NodeSettings;
use pintally_engine::Step;
use pintally_host::{Host, Input, RequestNumber};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::Xxh3;

use crate::check::{Checks, RequestKey, Rule, Violation};
use crate::engines::Engine;
use crate::mutation::Mutation;
use crate::plan::{Fault, Plan, PlannedRequest};
use crate::{Micros, MS};

/// Time that a message takes from one end to the other.
pub(crate) const MESSAGE_DELAY: Micros = 200;
/// How long a node waits for a connection; [`settings`] sets the same value.
pub(crate) const CONNECT_TIMEOUT: Micros = 250 * MS;
/// A stream that delivers nothing for this long counts as broken.
pub(crate) const STALL_TIMEOUT: Micros = 4_600 * MS;
/// How long an unused connection is kept.
pub(crate) const KEEP_ALIVE: Micros = 5_000 * MS;
/// Interval of the check of held states.
pub(crate) const HELD_CHECK_INTERVAL: Micros = 5 * MS;
/// Time after SIGTERM at which a node is killed.
pub(crate) const STOP_GRACE: Micros = 4_000 * MS;
/// Time from the end of a node's process to its restart.
pub(crate) const RESTART_DELAY: Micros = 300 * MS;
/// Time for remaining work after the last fault; then the final requests show that service has recovered.
pub(crate) const SETTLE_TIME: Micros = 20_000 * MS;
/// Number of final requests that are counted. They are sent a tenth of a second apart, once restarted engines
/// have had traffic for their warm-up time and 2 s.
pub(crate) const FINAL_REQUESTS: u64 = 30;
/// How many of the final requests must be served.
pub(crate) const MIN_FINAL_SERVED: u32 = 27;
/// Lines of the trace that are kept.
pub(crate) const MAX_TRACE_LINES: usize = 100_000;
/// First session number of the final requests.
pub(crate) const FIRST_FINAL_SESSION: u64 = 1_000;

pub(crate) enum Event {
    RequestDue(PlannedRequest),
    ClientDeadline(RequestKey),
    ClientLeaves(RequestKey),
    /// The connection of an attempt is established.
    Connected(u64),
    /// The time limit for the connection of an attempt expires.
    ConnectTimeout(u64),
    /// The attempt's last byte reaches the engine.
    Delivered(u64),
    /// The engine has read the prompt, or begins the answer.
    FirstPartDone(u64),
    /// The engine has finished the answer.
    AnswerDone(u64),
    /// A message about the attempt reaches the node.
    MessageReceived(u64, Message),
    TimedOut(u64),
    /// A stream that has begun has delivered nothing more.
    Stalled(u64),
    /// The engine sees that the node has closed its connection.
    CloseSeen(u64),
    /// A release call reaches its engine.
    ReleaseDelivered(u64),
    /// A release call has been answered (`true`) or has failed (`false`).
    ReleaseEnded(u64, bool),
    ProbeAnswered(u64),
    EndpointList(usize, u32),
    CheckHeld,
    FaultToggled(usize, bool),
    Start(usize),
    Kill(usize, u32),
    Wake(usize),
    FinalRequests,
}

#[derive(Clone, Copy)]
pub(crate) enum Message {
    FirstToken,
    Ended(Outcome),
}

/// An attempt that a node has sent.
pub(crate) struct InFlightAttempt {
    pub(crate) key: RequestKey,
    pub(crate) id: RequestId,
    pub(crate) attempt: u32,
    pub(crate) engine: usize,
    pub(crate) incarnation: u32,
    pub(crate) step: Step,
    /// Name of the state that it fetches.
    pub(crate) fetches: Option<String>,
    pub(crate) kept: bool,
    pub(crate) up: bool,
    /// The last byte has reached the engine.
    pub(crate) delivered: bool,
    /// The connection no longer delivers in either direction.
    pub(crate) silent: bool,
    /// The attempt has ended at the node.
    pub(crate) closed: bool,
    pub(crate) answer_begun: bool,
    /// A connection probe was answered for it. If the connection was opened for this attempt and has stopped
    /// delivering since, the node cannot tell.
    pub(crate) probe_answered: bool,
}

/// A release call.
pub(crate) struct ReleaseCall {
    pub(crate) node: usize,
    pub(crate) incarnation: u32,
    pub(crate) id: RequestId,
    pub(crate) engine: usize,
    pub(crate) silent: bool,
    pub(crate) delivered: bool,
    pub(crate) over: bool,
}

pub(crate) struct Node {
    pub(crate) host: Option<Host>,
    pub(crate) incarnation: u32,
    pub(crate) zone: usize,
    pub(crate) last_request_number: RequestNumber,
    /// The state of each engine that it was notified of.
    pub(crate) notified: Vec<Option<EndpointState>>,
    /// Endpoint lists are not delivered before this time.
    pub(crate) list_delayed_until: Micros,
    pub(crate) stopping: bool,
    /// Kept connections by engine: since when each is kept, and whether it has stopped delivering.
    pub(crate) kept: BTreeMap<usize, Vec<(Micros, bool)>>,
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// The first rule that was broken.
    pub violation: Option<Violation>,
    #[allow(missing_docs)]
    pub steps: u64,
    #[allow(missing_docs)]
    pub asked: u64,
    #[allow(missing_docs)]
    pub served: u64,
    /// Hash of all trace lines in order; two runs with the same digest took the same steps.
    pub digest: u64,
    /// Pairs of an attempt's step and outcome that occurred.
    pub step_outcomes: BTreeSet<String>,
    /// The last lines of the trace; after a violation that concerns a request, only the lines of that request
    /// and of faults.
    pub trace: Vec<String>,
}

/// Runs a plan, optionally with nodes that are deliberately broken.
pub fn play(plan: &Plan, mutation: Option<Mutation>) -> RunReport {
    let mut world = World::new(plan, mutation);
    world.run();
    let violating_request = world.checks.violation.as_ref().and_then(|v| v.request.clone());
    let trace = match violating_request {
        Some(id) => world.trace.iter().filter(|l| l.contains(&id) || l.contains('#')).cloned().collect(),
        None => world.trace.iter().cloned().collect(),
    };
    RunReport {
        violation: world.checks.violation,
        steps: world.checks.step,
        asked: world.asked,
        served: world.served,
        digest: world.digest.digest(),
        step_outcomes: world.step_outcomes,
        trace,
    }
}

/// The settings of a node of a plan.
pub(crate) fn settings(plan: &Plan, number: usize, zone: usize) -> Arc<NodeSettings> {
    let background_call = plan.release_call_timeout_ms();
    let patience = plan.requests.iter().map(|a| a.patience_ms).max().unwrap_or(2_000).max(2_000);
    let text = format!(
        r#"(pintally
  (node (name "n{number}") (of {}) (number {number}) (zone "z{zone}") (engines "unused"))
  (limits (held 4096) (connections 4096) (answer-margin-ms 200) (stop-ms 3500) (connect-ms {}) (errand-ms {background_call}))
  (rules (attempts 6) (warm-after-ms {}) (tip-window-ms 1000) (release-within-ms {}))
  (class "safe" (effect safe) (aim-ms {}) (patience-ms {patience}))
  (class "keyed" (effect keyed (group all) (window-ms 600000)) (aim-ms {}) (patience-ms {patience}))
  (class "once" (effect unsafe) (aim-ms {}) (patience-ms {patience}))
  (kind "r" (role reader) (slots 16)) (kind "w" (role writer) (slots 32)))"#,
        plan.nodes,
        CONNECT_TIMEOUT / MS,
        plan.warm_ms,
        plan.release_ms,
        patience / 2,
        patience / 2,
        patience / 2,
    );
    let mut settings = NodeSettings::parse("sim", &text).expect("the settings of a plan are sound");
    // A settings file requires a window longer than the deadline; the windows of other platforms may be shorter.
    settings.core.classes[1].idempotency = Idempotency::WithKey(IdempotencyScope::All, plan.window_ms * MS);
    Arc::new(settings)
}

/// Identifier of an engine, from its number.
pub(crate) fn engine_id(number: usize) -> EngineId {
    EngineId(format!("e{number}").as_str().into())
}

pub(crate) struct World<'a> {
    pub(crate) plan: &'a Plan,
    pub(crate) mutation: Option<Mutation>,
    pub(crate) now: Micros,
    pub(crate) serial: u64,
    pub(crate) events: BTreeMap<(Micros, u64), Event>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) wakes: Vec<Option<Micros>>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) partitions: Vec<(usize, usize)>,
    pub(crate) active: Vec<Fault>,
    pub(crate) attempts: BTreeMap<u64, InFlightAttempt>,
    pub(crate) release_calls: BTreeMap<u64, ReleaseCall>,
    pub(crate) next: u64,
    pub(crate) checks: Checks,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) pending: VecDeque<(usize, u32, Option<Input>)>,
    pub(crate) busy: bool,
    pub(crate) asked: u64,
    pub(crate) served: u64,
    /// Requests from this time on count as final requests, which show that service has recovered.
    pub(crate) final_requests_from: Micros,
    pub(crate) final_served: u32,
    pub(crate) digest: Xxh3,
    pub(crate) step_outcomes: BTreeSet<String>,
    pub(crate) trace: VecDeque<String>,
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan, mutation: Option<Mutation>) -> World<'a> {
        let zones = plan.zones.max(1);
        let engines = (0..plan.readers + plan.writers).map(|n| Engine::new(n < plan.readers, n % zones));
        let nodes = (0..plan.nodes).map(|n| Node {
            host: None,
            incarnation: 0,
            zone: n % zones,
            last_request_number: 0,
            notified: vec![None; plan.readers + plan.writers],
            list_delayed_until: 0,
            stopping: false,
            kept: BTreeMap::new(),
        });
        let mut world = World {
            plan,
            mutation,
            now: 0,
            serial: 0,
            events: BTreeMap::new(),
            wakes: vec![None; plan.nodes],
            nodes: nodes.collect(),
            engines: engines.collect(),
            partitions: Vec::new(),
            active: Vec::new(),
            attempts: BTreeMap::new(),
            release_calls: BTreeMap::new(),
            next: 0,
            checks: Checks::default(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed ^ 0x51a1),
            pending: VecDeque::new(),
            busy: false,
            asked: 0,
            served: 0,
            final_requests_from: Micros::MAX,
            final_served: 0,
            digest: Xxh3::new(),
            step_outcomes: BTreeSet::new(),
            trace: VecDeque::new(),
        };
        (0..plan.nodes).for_each(|n| world.start_node(n));
        for request in &plan.requests {
            world.schedule_at(request.at_ms * MS, Event::RequestDue(request.clone()));
        }
        for (number, fault) in plan.faults.iter().enumerate() {
            world.schedule_at(fault.from_ms * MS, Event::FaultToggled(number, true));
            world.schedule_at(fault.to_ms * MS, Event::FaultToggled(number, false));
        }
        world.schedule_at(HELD_CHECK_INTERVAL, Event::CheckHeld);
        world.schedule_at(plan.last_event_ms() * MS + SETTLE_TIME, Event::FinalRequests);
        world
    }

    fn run(&mut self) {
        let end = self.plan.last_event_ms() * MS + 2 * SETTLE_TIME;
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > end || self.checks.violation.is_some() {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.checks.now = at;
            self.checks.step += 1;
            self.handle_event(event);
        }
        if self.checks.violation.is_none() {
            self.check_end_state();
        }
    }

    /// Checks that nothing is left at the end and that the final requests were served.
    fn check_end_state(&mut self) {
        for node in 0..self.nodes.len() {
            let Some(host) = &self.nodes[node].host else { continue };
            let (held, waiting) = (host.open_requests(), host.pending_timers_and_releases().1);
            if held > 0 || waiting > 0 {
                let what = format!("n{node} keeps {held} requests and {waiting} calls at the end");
                self.checks.record_violation(Rule::Accounts, None, what);
            }
        }
        let incarnations: Vec<u32> = self.nodes.iter().map(|n| n.incarnation).collect();
        let held_state =
            self.engines.iter().flat_map(|e| &e.held).find(|s| incarnations[s.owner.0] == s.owner.1).cloned();
        if let Some(state) = held_state {
            let what = format!("request {} holds a state at the end", state.request.0);
            self.checks.record_violation(Rule::Pinned, Some(&state.request), what);
        }
        let unfinished =
            self.checks.requests.values().find(|k| k.over == 0 && !k.node_died).map(|k| k.id.clone());
        if let Some(id) = unfinished {
            self.checks.record_violation(
                Rule::Accounts,
                Some(&id),
                format!("request {} was never over", id.0),
            );
        }
        if self.final_served < MIN_FINAL_SERVED {
            let what =
                format!("{} of {FINAL_REQUESTS} requests were served when all was over", self.final_served);
            self.checks.record_violation(Rule::Service, None, what);
        }
    }

    pub(crate) fn schedule_at(&mut self, at: Micros, event: Event) {
        self.serial += 1;
        self.events.insert((at.max(self.now), self.serial), event);
    }

    pub(crate) fn schedule_after(&mut self, after: Micros, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    /// Adds a line with the current time to the trace and to its digest.
    pub(crate) fn record(&mut self, line: String) {
        let line = format!("{:9.3} {line}", self.now as f64 / 1e6);
        self.digest.update(line.as_bytes());
        if self.trace.len() == MAX_TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(line);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestDue(request) => self.start_request(&request),
            Event::ClientDeadline(key) => self.checks.client_deadline(key),
            Event::ClientLeaves(key) => self.client_leaves(key),
            Event::Connected(attempt_id) => self.connected(attempt_id),
            Event::ConnectTimeout(attempt_id) => self.connect_timed_out(attempt_id),
            Event::Delivered(attempt_id) => self.delivered(attempt_id),
            Event::FirstPartDone(attempt_id) => self.first_part_done(attempt_id),
            Event::AnswerDone(attempt_id) => self.answer_done(attempt_id),
            Event::MessageReceived(attempt_id, message) => self.receive_message(attempt_id, message),
            Event::TimedOut(attempt_id) => {
                let Some(f) = self.attempts.get(&attempt_id).filter(|f| !f.closed && !f.answer_begun) else {
                    return;
                };
                let outcome = if f.up { Outcome::TimedOut } else { Outcome::Unreachable };
                self.end_attempt(attempt_id, outcome, false);
            }
            Event::Stalled(attempt_id) => self.end_attempt(attempt_id, Outcome::ConnectionBroken, false),
            Event::CloseSeen(attempt_id) => self.close_seen(attempt_id),
            Event::ReleaseDelivered(call) => self.deliver_release(call),
            Event::ReleaseEnded(call, heard) => self.release_ended(call, heard),
            Event::ProbeAnswered(attempt_id) => {
                let open = self.attempts.get(&attempt_id).filter(|f| !f.closed && !f.answer_begun && f.up);
                let Some((key, attempt)) = open.map(|f| (f.key, f.attempt)) else { return };
                self.deliver_input(key.0, key.1, Input::DeliveryConfirmed(key.2, attempt));
            }
            Event::EndpointList(node, incarnation) => self.deliver_endpoint_list(node, incarnation),
            Event::CheckHeld => self.check_held(),
            Event::FaultToggled(number, on) => self.toggle_fault(number, on),
            Event::Start(node) => {
                if self.nodes[node].host.is_none() {
                    self.start_node(node);
                }
            }
            Event::Kill(node, incarnation) => {
                if self.nodes[node].incarnation == incarnation {
                    self.kill_node(node);
                }
            }
            Event::Wake(node) => {
                if self.wakes[node].is_some_and(|at| at <= self.now) {
                    self.wakes[node] = None;
                    self.pending.push_back((node, self.nodes[node].incarnation, None));
                    self.process_pending();
                }
            }
            Event::FinalRequests => {
                // Requests before the counted ones, which give restarted engines the traffic to warm up.
                let warm_up_requests = (self.plan.warm_ms + 2_000) / 100;
                self.final_requests_from = self.now + warm_up_requests * 100 * MS;
                for n in 0..warm_up_requests + FINAL_REQUESTS {
                    let request = PlannedRequest {
                        at_ms: 0,
                        node: n as usize % self.nodes.len(),
                        class: 0,
                        session: FIRST_FINAL_SESSION + n,
                        prompt: 400,
                        patience_ms: 2_000,
                        leaves_ms: None,
                    };
                    self.schedule_after(n * 100 * MS, Event::RequestDue(request));
                }
            }
        }
    }
}
