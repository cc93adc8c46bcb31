//! The host under generated orders of events: a small world of engines and clients without sockets
//! plays whatever proptest draws, and checks after every step what the host answers for.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use pintally::interface::*;
use pintally_cells::{CellName, CellsFile};
use pintally_config::NodeSettings;
use pintally_engine::Step;
use pintally_host::{
    AttemptOrder, Command, EngineEndpoint, FinalAnswer, Host, IncomingRequest, Input, RequestNumber,
};
use proptest::prelude::*;

const SETTINGS: &str = r#"
(pintally
  (node (name "t") (engines "unused"))
  (limits (held 64) (connections 64) (answer-margin-ms 20) (stop-ms 4000))
  (rules (attempts 5) (warm-after-ms 0) (tip-window-ms 1))
  (class "safe" (effect safe) (aim-ms 500) (patience-ms 2000))
  (class "once" (effect unsafe) (aim-ms 500) (patience-ms 1500))
  (class "keyed" (effect keyed (group all) (window-ms 3000)) (aim-ms 500) (patience-ms 1500))
  (kind "r" (role reader)) (kind "w" (role writer) (slots 4)) (kind "m" (role mixed) (slots 4)))"#;

const CELLS: &str = r#"(cells (version 1) (cell "x" (readers 1) (writers 1)) (cell "y" (readers 1) (writers 1)
  (fallback "x")))"#;

const ENGINES: [(&str, &str, &str); 6] = [
    ("r0", "r", "a"),
    ("r1", "r", "b"),
    ("w0", "w", "a"),
    ("w1", "w", "b"),
    ("m0", "m", "a"),
    ("m1", "m", "b"),
];

/// Worlds with an even seed are divided: their first engines of each kind are cell x, the others y.
fn cell_of(engine: &str) -> Option<CellName> {
    Some(if engine.ends_with('0') { "x".into() } else { "y".into() })
}

struct Client {
    /// The cell in which it began.
    cell: Option<CellName>,
    class: usize,
    gone: bool,
    answer: Option<FinalAnswer>,
    due: Micros,
    streamed: bool,
    started: bool,
    /// The zone of the engine at which it may have run, if it may.
    ran: Option<String>,
}

struct World {
    now: Micros,
    host: Host,
    clients: BTreeMap<RequestNumber, Client>,
    out: BTreeMap<RequestNumber, (AttemptOrder, Micros, bool)>,
    cancelled: BTreeSet<RequestNumber>,
    states: BTreeSet<(String, EngineId)>,
    listing: BTreeMap<&'static str, EndpointState>,
    stopped: bool,
    over: BTreeSet<RequestNumber>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut settings = NodeSettings::parse("test", SETTINGS).unwrap();
        let divided = seed.is_multiple_of(2);
        settings.cells_file = divided.then(|| "cells".to_string());
        let settings = Arc::new(settings);
        let file = CellsFile::parse("cells", CELLS, &settings.core).unwrap();
        let mut world = World {
            now: 1_000_000,
            host: Host::new(settings, seed),
            clients: BTreeMap::new(),
            out: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            states: BTreeSet::new(),
            listing: ENGINES.iter().map(|e| (e.0, EndpointState::Serving)).collect(),
            stopped: false,
            over: BTreeSet::new(),
        };
        world.list(ListUpdate::Full);
        if divided {
            world.handle(Input::Cells(Box::new(file)));
        }
        world
    }

    fn list(&mut self, form: ListUpdate) {
        let members = ENGINES.iter().map(|(id, kind, zone)| {
            let member = Endpoint {
                engine: EngineId((*id).into()),
                zone: zone.to_string(),
                kind: kind.to_string(),
                rack: 0,
                state: self.listing[id],
                weight: 1.0,
                started: None,
            };
            EngineEndpoint {
                endpoint: member,
                address: "127.0.0.1:9".parse().unwrap(),
                cell: cell_of(id),
                started_unix_ms: None,
            }
        });
        let members = members.collect();
        self.handle(Input::EndpointList(form, members));
    }

    fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.host.handle(self.now, input, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Attempt(order) => self.attempt(order),
                Command::Answer(ticket, answer) => self.answer(ticket, answer),
                Command::Cancel(ticket, attempt) => {
                    let (order, _, started) = &self.out[&ticket];
                    assert_eq!(order.attempt, attempt);
                    assert!(!started || self.clients[&ticket].answer.is_some());
                    self.cancelled.insert(ticket);
                }
                Command::Release { name, engine, .. } => {
                    // Every third release gets lost on its way.
                    let heard = !(self.now + name.0.len() as u64).is_multiple_of(3);
                    if heard {
                        self.states.remove(&(name.0.to_string(), engine.clone()));
                    }
                    self.handle(Input::Released(name, engine, heard));
                }
                Command::HealthCheck(engine, _, _) => self.handle(Input::HealthChecked(engine, true, None)),
                Command::Stopped => {
                    assert!(!std::mem::replace(&mut self.stopped, true), "stopped twice");
                }
                Command::Over(ticket) => {
                    assert!(self.over.insert(ticket), "over twice");
                    assert!(!self.out.contains_key(&ticket), "over with an attempt out");
                }
                Command::ProbeConnection(ticket, attempt, engine, _) => {
                    let out = self.out.get(&ticket).is_some_and(|o| o.0.attempt == attempt);
                    assert!(out, "a connection probe for an attempt that is not out");
                    // Behind every third engine's silence there is nobody.
                    if !engine.0.ends_with('1') || ticket % 3 != 0 {
                        self.handle(Input::DeliveryConfirmed(ticket, attempt));
                    }
                }
                Command::QueryPeer(_)
                | Command::WithdrawReleases(_)
                | Command::RecoveryStage(_)
                | Command::RequestQuota(_)
                | Command::PublishOutlierReport(_)
                | Command::PublishZoneReport(..) => {
                    panic!("it knows no others")
                }
                Command::ReloadEndpointList | Command::Log(_) => {}
            }
        }
    }

    fn attempt(&mut self, order: AttemptOrder) {
        let client = self.clients.get_mut(&order.ticket).expect("an attempt for nobody");
        let cell = client.cell.get_or_insert_with(|| order.cell.clone());
        assert_eq!(*cell, order.cell, "a request changed its cell");
        assert!(
            cell.0.is_empty() || cell_of(&order.engine.0).as_ref() == Some(cell),
            "an engine of another cell"
        );
        assert!(client.answer.is_none() && !client.gone, "an attempt after the end");
        assert!(!self.over.contains(&order.ticket), "an attempt after all was over");
        assert!(!self.out.contains_key(&order.ticket), "two attempts at once");
        assert_eq!(self.listing[&*order.engine.0], EndpointState::Serving, "an attempt at a drained engine");
        assert!(order.timeout > 0 && self.now + order.timeout <= client.due);
        if let Some(zone) = &client.ran {
            assert!(client.class == 0 || client.class == 2, "an effect might happen twice, first in {zone}");
        }
        if order.step == Step::Fetch {
            assert!(order.state.is_some(), "a fetch without what fetches it");
        }
        let by = self.now + order.timeout;
        self.out.insert(order.ticket, (order, by, false));
    }

    fn answer(&mut self, ticket: RequestNumber, answer: FinalAnswer) {
        let client = self.clients.get_mut(&ticket).expect("an answer for nobody");
        assert!(client.answer.replace(answer).is_none(), "two final answers");
        assert!(!client.gone, "an answer to a client that has left");
        assert!(self.now <= client.due || (client.streamed && client.started), "an answer too late");
        if matches!(answer, FinalAnswer::Rejected(_)) {
            assert!(client.ran.is_none() || client.class != 1, "refused, but it may have run");
        }
    }

    fn end(&mut self, ticket: RequestNumber, outcome: Outcome, leaves_state: bool) {
        let Some((order, _, _)) = self.out.remove(&ticket) else { return };
        self.cancelled.remove(&ticket);
        let name = (format!("{}.{}", order.request.0, order.attempt), order.engine.clone());
        let mut state = None;
        let read = order.step == Step::Read;
        let proven = matches!(outcome, Outcome::Overloaded | Outcome::Unreachable | Outcome::NeverSent);
        if read && (outcome == Outcome::Read || (leaves_state && !proven)) {
            self.states.insert(name);
            state = (outcome == Outcome::Read).then(|| Arc::new(serde_json::json!({ "n": order.attempt })));
        }
        if outcome == Outcome::Served {
            self.fetched(&order);
        }
        let sure = matches!(
            outcome,
            Outcome::Read
                | Outcome::Overloaded
                | Outcome::StateNotFound
                | Outcome::Unreachable
                | Outcome::NeverSent
        );
        let client = self.clients.get_mut(&ticket).unwrap();
        if !read && !sure && client.ran.is_none() {
            let zone = ENGINES.iter().find(|e| e.0 == &*order.engine.0).unwrap().2;
            client.ran = Some(zone.to_string());
        }
        let attempt = order.attempt;
        self.handle(Input::AttemptEnded { ticket, attempt, outcome, cached_tokens: 0, load: None, state });
    }

    fn fetched(&mut self, order: &AttemptOrder) {
        if let Some(n) = order.state.as_ref().and_then(|s| s["n"].as_u64()) {
            let name = format!("{}.{n}", order.request.0);
            self.states.retain(|(s, _)| *s != name);
        }
    }

    fn first_token(&mut self, ticket: RequestNumber) {
        let Some((order, _, started)) = self.out.get_mut(&ticket) else { return };
        if order.step == Step::Read || std::mem::replace(started, true) {
            return;
        }
        let order = order.clone();
        self.fetched(&order);
        self.clients.get_mut(&ticket).unwrap().started = true;
        self.handle(Input::FirstToken(ticket, order.attempt));
    }

    /// Time passes; what was promised for a time happens at that time.
    fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        loop {
            let timeouts = self.out.values().filter(|(_, _, started)| !started).map(|(_, by, _)| *by);
            let wholes = self.out.iter().filter(|(t, (_, _, s))| *s && !self.clients[t].streamed);
            let wholes = wholes.map(|(t, _)| self.clients[t].due - 20_000);
            let next = timeouts.chain(wholes).chain(self.host.next_wake()).min().unwrap_or(until);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            let mut out = Vec::new();
            self.host.tick(self.now, &mut out);
            self.carry_out(out);
            let late: Vec<RequestNumber> = self
                .out
                .iter()
                .filter(|(t, (_, by, started))| match started {
                    false => *by <= self.now,
                    true => !self.clients[t].streamed && self.clients[t].due - 20_000 <= self.now,
                })
                .map(|(t, _)| *t)
                .collect();
            for ticket in late {
                self.end(ticket, Outcome::TimedOut, ticket % 2 == 0);
            }
            self.call_off();
        }
        self.now = until;
    }

    fn call_off(&mut self) {
        for ticket in std::mem::take(&mut self.cancelled) {
            self.end(ticket, Outcome::Cancelled, ticket % 2 == 0);
        }
    }

    fn play(&mut self, step: &(u8, u8, u16)) {
        let (what, which, amount) = *step;
        let pick =
            |out: &BTreeMap<RequestNumber, _>| out.keys().nth(usize::from(which) % out.len().max(1)).copied();
        match what % 12 {
            0..=2 => {
                let ticket = self.clients.len() as u64 + 1;
                let class = usize::from(which) % 3;
                let own = (amount % 4 == 0).then_some(Micros::from(amount) * 40 + 21_000);
                let usual = [2_000_000, 1_500_000, 1_500_000][class];
                let streamed = amount % 2 == 0;
                let due = self.now + own.unwrap_or(usual).min(usual);
                let client = Client {
                    cell: None,
                    class,
                    gone: false,
                    answer: None,
                    due,
                    streamed,
                    started: false,
                    ran: None,
                };
                self.clients.insert(ticket, client);
                self.handle(Input::RequestArrived(IncomingRequest {
                    ticket,
                    class: Some(class),
                    session: Some(u64::from(which) % 5),
                    prompt_tokens: u64::from(amount),
                    client_timeout: own,
                    streamed,
                    ..IncomingRequest::default()
                }));
            }
            3..=6 => {
                let Some(ticket) = pick_of(&self.out, which) else { return };
                let (order, _, started) = &self.out[&ticket];
                let outcome = match (order.step, started, amount % 10) {
                    (Step::Read, _, 0..=5) => Outcome::Read,
                    (_, true, 0..=6) => Outcome::Served,
                    (_, true, _) => Outcome::ConnectionBroken,
                    (Step::Fetch, _, 0) => Outcome::StateNotFound,
                    (_, _, 1..=3) if order.step != Step::Read => Outcome::Served,
                    (_, _, 6) => Outcome::Overloaded,
                    (_, _, 7) => Outcome::Unreachable,
                    (_, _, 8) => Outcome::ConnectionBroken,
                    _ => Outcome::Error,
                };
                self.end(ticket, outcome, amount % 3 == 0);
            }
            7 => {
                if let Some(ticket) = pick(&self.out) {
                    self.first_token(ticket);
                }
            }
            8 => {
                let open: Vec<RequestNumber> = self
                    .clients
                    .iter()
                    .filter(|(_, c)| c.answer.is_none() && !c.gone)
                    .map(|c| *c.0)
                    .collect();
                if let Some(ticket) = open.get(usize::from(which) % open.len().max(1)).copied() {
                    self.clients.get_mut(&ticket).unwrap().gone = true;
                    self.handle(Input::ClientLeft(ticket));
                    if self.out.get(&ticket).is_some_and(|o| o.2) {
                        self.end(ticket, Outcome::Cancelled, false);
                    }
                }
            }
            9 => {
                let engine = ENGINES[usize::from(which) % ENGINES.len()].0;
                let states = [
                    EndpointState::Serving,
                    EndpointState::Draining,
                    EndpointState::Gone,
                    EndpointState::Serving,
                ];
                self.listing.insert(engine, states[usize::from(amount) % 4]);
                if self.listing[engine] == EndpointState::Gone {
                    self.states.retain(|(_, e)| &*e.0 != engine);
                }
                self.list(if amount % 8 == 0 { ListUpdate::Full } else { ListUpdate::Delta });
            }
            // Word that fits nothing: of what is over, of what never was, twice.
            10 => {
                let ticket = RequestNumber::from(which);
                if !self.out.contains_key(&ticket) {
                    self.handle(Input::FirstToken(ticket, 0));
                    let (outcome, state) = (Outcome::Served, None);
                    self.handle(Input::AttemptEnded {
                        ticket,
                        attempt: 9,
                        outcome,
                        cached_tokens: 0,
                        load: None,
                        state,
                    });
                }
            }
            _ => self.pass(Micros::from(amount) * 10),
        }
        self.call_off();
    }

    fn finish(mut self) {
        self.handle(Input::Stop);
        for _ in 0..40 {
            let started: Vec<RequestNumber> = self.out.iter().filter(|o| o.1 .2).map(|o| *o.0).collect();
            started.into_iter().for_each(|t| self.end(t, Outcome::Served, false));
            self.pass(500_000);
        }
        for (ticket, client) in &self.clients {
            assert!(client.gone || client.answer.is_some(), "request {ticket} has no final answer");
        }
        assert_eq!(self.over.len(), self.clients.len(), "not all were told that all is over");
        assert_eq!(self.host.open_requests(), 0, "requests are left in the ledger");
        assert!(self.stopped, "it never said that it has stopped");
        let listing = &self.listing;
        self.states.retain(|(_, e)| listing[&*e.0] != EndpointState::Gone);
        assert!(self.states.is_empty(), "states are left pinned: {:?}", self.states);
        assert_eq!(self.host.open().1, 0, "releases are left open");
        let c = self.host.counters();
        assert_eq!(c.accepted, c.served + c.rejected + c.failed + c.streams_cut + c.clients_left, "{c:?}");
        assert_eq!(c.accepted, self.clients.len() as u64);
        assert_eq!(c.overdue, 0, "the core left requests without an answer");
    }
}

fn pick_of<T>(out: &BTreeMap<RequestNumber, T>, which: u8) -> Option<RequestNumber> {
    out.keys().nth(usize::from(which) % out.len().max(1)).copied()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever order things end in: one final answer each, in time, nothing after it, no effect
    /// twice, no drained engine, no state left, nothing left in the ledger.
    #[test]
    fn any_order_of_events_keeps_what_the_host_answers_for(
        seed in any::<u64>(),
        steps in prop::collection::vec(any::<(u8, u8, u16)>(), 1..200),
    ) {
        let mut world = World::new(seed);
        steps.iter().for_each(|s| world.play(s));
        world.finish();
    }

    /// The same inputs always give the same commands.
    #[test]
    fn the_same_inputs_give_the_same_commands(
        seed in any::<u64>(),
        steps in prop::collection::vec(any::<(u8, u8, u16)>(), 1..80),
    ) {
        let play = || {
            let mut world = World::new(seed);
            steps.iter().for_each(|s| world.play(s));
            let (out, answers): (Vec<_>, Vec<_>) = (
                world.out.values().map(|o| format!("{:?}", o.0)).collect(),
                world.clients.values().map(|c| c.answer).collect(),
            );
            (out, answers, world.host.counters())
        };
        prop_assert_eq!(play(), play());
    }
}
