//! One clock, and everything that it drives: nodes, engines, connections, clients, troubles.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use pintally::interface::{EndpointState, EngineId, Idempotency, IdempotencyScope, Outcome, RequestId};
use pintally_config::NodeSettings;
use pintally_engine::Step;
use pintally_host::{Host, Input, RequestNumber};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::Xxh3;

use crate::check::{Checks, Place, Rule, Violation};
use crate::engines::Engine;
use crate::mutation::Mutation;
use crate::plan::{Fault, Plan, PlannedRequest};
use crate::{Micros, MS};

/// What a message takes from one end to the other.
pub(crate) const HOP: Micros = 200;
/// A node waits so long for a connection, as the settings of [`settings`] say.
pub(crate) const CONNECT: Micros = 250 * MS;
/// A stream that says nothing for so long has broken.
pub(crate) const STALL: Micros = 4_600 * MS;
/// A connection that is not used is kept for so long.
pub(crate) const KEEP: Micros = 5_000 * MS;
/// How often it is looked at what is held.
pub(crate) const LOOK: Micros = 5 * MS;
/// Grace of a node after SIGTERM.
pub(crate) const STOP: Micros = 4_000 * MS;
/// A node is back so long after its end.
pub(crate) const START: Micros = 300 * MS;
/// What is left to be done after the last trouble gets so long, then requests show that service is back.
pub(crate) const SETTLE: Micros = 20_000 * MS;
/// So many of them, a tenth of a second apart, of which so many at least are served, when engines that came
/// back have had traffic for as long as they take to warm up, and 2 s.
pub(crate) const PROBES: u64 = 30;
pub(crate) const PROBES_SERVED: u32 = 27;
/// Steps that are remembered in words.
pub(crate) const TRACE: usize = 100_000;
/// Sessions of the last requests.
pub(crate) const PROBE_SESSION: u64 = 1_000;

pub(crate) enum Event {
    RequestDue(PlannedRequest),
    TimeIsUp(Place),
    Leave(Place),
    /// A flight's connection comes up, or has not by now.
    Up(u64),
    NotUp(u64),
    /// Its last byte comes to the engine; the engine has done with the first part of it, or all.
    Come(u64),
    Ready(u64),
    Done(u64),
    /// Word of it comes to the node.
    Word(u64, Word),
    TimedOut(u64),
    /// A stream that has begun has said nothing more.
    Stalled(u64),
    /// The engine sees that the node has closed its connection.
    Closed(u64),
    /// A call to let go comes to its engine, or has not been answered.
    Call(u64),
    CallOver(u64, bool),
    Carried(u64),
    List(usize, u32),
    Look,
    FaultToggled(usize, bool),
    Start(usize),
    Kill(usize, u32),
    Wake(usize),
    Probing,
}

#[derive(Clone, Copy)]
pub(crate) enum Word {
    First,
    End(Outcome),
}

/// An attempt under way.
pub(crate) struct Flight {
    pub(crate) place: Place,
    pub(crate) id: RequestId,
    pub(crate) attempt: u32,
    pub(crate) engine: usize,
    pub(crate) life: u32,
    pub(crate) step: Step,
    /// The state that it fetches, by its name.
    pub(crate) fetches: Option<String>,
    pub(crate) kept: bool,
    pub(crate) up: bool,
    /// The last byte has come to the engine.
    pub(crate) came: bool,
    /// What is sent on its connection, either way, is not heard from here on.
    pub(crate) silent: bool,
    /// The node has done with it.
    pub(crate) closed: bool,
    pub(crate) begun: bool,
    /// A connection probe was answered for it: on a connection opened for it that has fallen silent since, the node
    /// cannot tell.
    pub(crate) carried: bool,
}

/// A call to let go.
pub(crate) struct Call {
    pub(crate) node: usize,
    pub(crate) life: u32,
    pub(crate) id: RequestId,
    pub(crate) engine: usize,
    pub(crate) silent: bool,
    pub(crate) came: bool,
    pub(crate) over: bool,
}

pub(crate) struct Node {
    pub(crate) host: Option<Host>,
    pub(crate) life: u32,
    pub(crate) zone: usize,
    pub(crate) tickets: RequestNumber,
    /// The state of each engine that it was notified of.
    pub(crate) notified: Vec<Option<EndpointState>>,
    /// Lists wait until then.
    pub(crate) deaf_until: Micros,
    pub(crate) stopping: bool,
    /// Connections kept, by engine: since when, and whether each has fallen silent.
    pub(crate) kept: BTreeMap<usize, Vec<(Micros, bool)>>,
}

/// How a day went.
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
    /// Stands for every step in its order: two plays that agree in it were the same.
    pub digest: u64,
    /// Pairs of an attempt's step and outcome that were met.
    pub met: BTreeSet<String>,
    /// The last steps in words, and all that concern the request of the broken rule.
    pub trace: Vec<String>,
}

/// Plays a day, by nodes that may be broken on purpose.
pub fn play(plan: &Plan, mutation: Option<Mutation>) -> RunReport {
    let mut world = World::new(plan, mutation);
    world.run();
    let about = world.checks.violation.as_ref().and_then(|b| b.request.clone());
    let trace = match about {
        Some(id) => world.trace.iter().filter(|l| l.contains(&id) || l.contains('#')).cloned().collect(),
        None => world.trace.iter().cloned().collect(),
    };
    RunReport {
        violation: world.checks.violation,
        steps: world.checks.step,
        asked: world.asked,
        served: world.served,
        digest: world.digest.digest(),
        met: world.met,
        trace,
    }
}

pub(crate) fn settings(plan: &Plan, number: usize, zone: usize) -> Arc<NodeSettings> {
    let background_call = plan.errand_ms();
    let patience = plan.asks.iter().map(|a| a.patience_ms).max().unwrap_or(2_000).max(2_000);
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
        CONNECT / MS,
        plan.warm_ms,
        plan.release_ms,
        patience / 2,
        patience / 2,
        patience / 2,
    );
    let mut settings = NodeSettings::parse("sim", &text).expect("the settings of a plan are sound");
    // Settings of a node by hand want a window over the deadline; other platforms' may be shorter.
    settings.core.classes[1].idempotency = Idempotency::WithKey(IdempotencyScope::All, plan.window_ms * MS);
    Arc::new(settings)
}

/// An engine by its number.
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
    pub(crate) cuts: Vec<(usize, usize)>,
    pub(crate) active: Vec<Fault>,
    pub(crate) flights: BTreeMap<u64, Flight>,
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) next: u64,
    pub(crate) checks: Checks,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) pending: VecDeque<(usize, u32, Option<Input>)>,
    pub(crate) busy: bool,
    pub(crate) asked: u64,
    pub(crate) served: u64,
    /// Requests that are asked from then on show that service is back.
    pub(crate) count_from: Micros,
    pub(crate) probes_served: u32,
    pub(crate) digest: Xxh3,
    pub(crate) met: BTreeSet<String>,
    pub(crate) trace: VecDeque<String>,
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan, mutation: Option<Mutation>) -> World<'a> {
        let zones = plan.zones.max(1);
        let engines = (0..plan.readers + plan.writers).map(|n| Engine::new(n < plan.readers, n % zones));
        let nodes = (0..plan.nodes).map(|n| Node {
            host: None,
            life: 0,
            zone: n % zones,
            tickets: 0,
            notified: vec![None; plan.readers + plan.writers],
            deaf_until: 0,
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
            cuts: Vec::new(),
            active: Vec::new(),
            flights: BTreeMap::new(),
            calls: BTreeMap::new(),
            next: 0,
            checks: Checks::default(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed ^ 0x51a1),
            pending: VecDeque::new(),
            busy: false,
            asked: 0,
            served: 0,
            count_from: Micros::MAX,
            probes_served: 0,
            digest: Xxh3::new(),
            met: BTreeSet::new(),
            trace: VecDeque::new(),
        };
        (0..plan.nodes).for_each(|n| world.start(n));
        for ask in &plan.asks {
            world.at(ask.at_ms * MS, Event::RequestDue(ask.clone()));
        }
        for (number, t) in plan.troubles.iter().enumerate() {
            world.at(t.from_ms * MS, Event::FaultToggled(number, true));
            world.at(t.to_ms * MS, Event::FaultToggled(number, false));
        }
        world.at(LOOK, Event::Look);
        world.at(plan.over_ms() * MS + SETTLE, Event::Probing);
        world
    }

    fn run(&mut self) {
        let end = self.plan.over_ms() * MS + 2 * SETTLE;
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > end || self.checks.violation.is_some() {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.checks.now = at;
            self.checks.step += 1;
            self.happen(event);
        }
        if self.checks.violation.is_none() {
            self.at_the_end();
        }
    }

    /// Nothing is left of a day that is over.
    fn at_the_end(&mut self) {
        for node in 0..self.nodes.len() {
            let Some(host) = &self.nodes[node].host else { continue };
            let (held, waiting) = (host.open_requests(), host.pending_timers_and_releases().1);
            if held > 0 || waiting > 0 {
                let what = format!("n{node} keeps {held} requests and {waiting} calls at the end");
                self.checks.record_violation(Rule::Accounts, None, what);
            }
        }
        let lives: Vec<u32> = self.nodes.iter().map(|n| n.life).collect();
        let left = self.engines.iter().flat_map(|e| &e.held).find(|s| lives[s.owner.0] == s.owner.1).cloned();
        if let Some(state) = left {
            let what = format!("request {} holds a state at the end", state.request.0);
            self.checks.record_violation(Rule::Pinned, Some(&state.request), what);
        }
        let never = self.checks.known.values().find(|k| k.over == 0 && !k.died).map(|k| k.id.clone());
        if let Some(id) = never {
            self.checks.record_violation(
                Rule::Accounts,
                Some(&id),
                format!("request {} was never over", id.0),
            );
        }
        if self.probes_served < PROBES_SERVED {
            let what = format!("{} of {PROBES} requests were served when all was over", self.probes_served);
            self.checks.record_violation(Rule::Service, None, what);
        }
    }

    pub(crate) fn at(&mut self, at: Micros, event: Event) {
        self.serial += 1;
        self.events.insert((at.max(self.now), self.serial), event);
    }

    pub(crate) fn soon(&mut self, after: Micros, event: Event) {
        self.at(self.now + after, event);
    }

    pub(crate) fn say(&mut self, line: String) {
        let line = format!("{:9.3} {line}", self.now as f64 / 1e6);
        self.digest.update(line.as_bytes());
        if self.trace.len() == TRACE {
            self.trace.pop_front();
        }
        self.trace.push_back(line);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::RequestDue(ask) => self.ask(&ask),
            Event::TimeIsUp(place) => self.checks.time_is_up(place),
            Event::Leave(place) => self.leave(place),
            Event::Up(flight) => self.up(flight),
            Event::NotUp(flight) => self.not_up(flight),
            Event::Come(flight) => self.come(flight),
            Event::Ready(flight) => self.ready(flight),
            Event::Done(flight) => self.done(flight),
            Event::Word(flight, word) => self.word(flight, word),
            Event::TimedOut(flight) => {
                let Some(f) = self.flights.get(&flight).filter(|f| !f.closed && !f.begun) else { return };
                let outcome = if f.up { Outcome::TimedOut } else { Outcome::Unreachable };
                self.end(flight, outcome, false);
            }
            Event::Stalled(flight) => self.end(flight, Outcome::ConnectionBroken, false),
            Event::Closed(flight) => self.closed(flight),
            Event::Call(call) => self.call(call),
            Event::CallOver(call, heard) => self.call_over(call, heard),
            Event::Carried(flight) => {
                let open = self.flights.get(&flight).filter(|f| !f.closed && !f.begun && f.up);
                let Some((place, attempt)) = open.map(|f| (f.place, f.attempt)) else { return };
                self.tell(place.0, place.1, Input::DeliveryConfirmed(place.2, attempt));
            }
            Event::List(node, life) => self.list(node, life),
            Event::Look => self.look(),
            Event::FaultToggled(number, on) => self.toggle_fault(number, on),
            Event::Start(node) => {
                if self.nodes[node].host.is_none() {
                    self.start(node);
                }
            }
            Event::Kill(node, life) => {
                if self.nodes[node].life == life {
                    self.kill(node);
                }
            }
            Event::Wake(node) => {
                if self.wakes[node].is_some_and(|at| at <= self.now) {
                    self.wakes[node] = None;
                    self.pending.push_back((node, self.nodes[node].life, None));
                    self.work_off();
                }
            }
            Event::Probing => {
                let early = (self.plan.warm_ms + 2_000) / 100;
                self.count_from = self.now + early * 100 * MS;
                for n in 0..early + PROBES {
                    let ask = PlannedRequest {
                        at_ms: 0,
                        node: n as usize % self.nodes.len(),
                        class: 0,
                        session: PROBE_SESSION + n,
                        prompt: 400,
                        patience_ms: 2_000,
                        leaves_ms: None,
                    };
                    self.soon(n * 100 * MS, Event::RequestDue(ask));
                }
            }
        }
    }
}
