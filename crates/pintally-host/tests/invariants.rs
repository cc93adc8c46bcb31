//! Property tests of the host: a simulation of engines and clients without sockets runs generated sequences of events
//! and checks the guarantees of the host after every step.

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

/// Simulations with an even seed have cells: the first engine of each kind is in cell x, the others in y.
fn cell_of(engine: &str) -> Option<CellName> {
    Some(if engine.ends_with('0') { "x".into() } else { "y".into() })
}

struct Client {
    /// The cell that routes the request.
    cell: Option<CellName>,
    class: usize,
    has_left: bool,
    answer: Option<FinalAnswer>,
    deadline: Micros,
    streamed: bool,
    has_first_token: bool,
    /// The zone of the first engine at which the request may have run.
    may_have_run_in: Option<String>,
}

struct Simulation {
    now: Micros,
    host: Host,
    clients: BTreeMap<RequestNumber, Client>,
    /// Attempts in flight, when they time out, and whether their first token has arrived.
    in_flight: BTreeMap<RequestNumber, (AttemptOrder, Micros, bool)>,
    cancelled: BTreeSet<RequestNumber>,
    reservations: BTreeSet<(String, EngineId)>,
    listing: BTreeMap<&'static str, EndpointState>,
    stopped: bool,
    complete: BTreeSet<RequestNumber>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut settings = NodeSettings::parse("test", SETTINGS).unwrap();
        let has_cells = seed.is_multiple_of(2);
        settings.cells_file = has_cells.then(|| "cells".to_string());
        let settings = Arc::new(settings);
        let file = CellsFile::parse("cells", CELLS, &settings.core).unwrap();
        let mut simulation = Simulation {
            now: 1_000_000,
            host: Host::new(settings, seed),
            clients: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            reservations: BTreeSet::new(),
            listing: ENGINES.iter().map(|e| (e.0, EndpointState::Serving)).collect(),
            stopped: false,
            complete: BTreeSet::new(),
        };
        simulation.send_endpoint_list(ListUpdate::Full);
        if has_cells {
            simulation.handle(Input::Cells(Box::new(file)));
        }
        simulation
    }

    fn send_endpoint_list(&mut self, update: ListUpdate) {
        let endpoints = ENGINES.iter().map(|(id, kind, zone)| {
            let endpoint = Endpoint {
                engine: EngineId((*id).into()),
                zone: zone.to_string(),
                kind: kind.to_string(),
                rack: 0,
                state: self.listing[id],
                weight: 1.0,
                started: None,
            };
            EngineEndpoint {
                endpoint,
                address: "127.0.0.1:9".parse().unwrap(),
                cell: cell_of(id),
                started_unix_ms: None,
            }
        });
        let endpoints = endpoints.collect();
        self.handle(Input::EndpointList(update, endpoints));
    }

    fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.host.handle(self.now, input, &mut out);
        self.execute(out);
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Attempt(order) => self.attempt(order),
                Command::Answer(number, answer) => self.answer(number, answer),
                Command::Cancel(number, attempt) => {
                    let (order, _, has_first_token) = &self.in_flight[&number];
                    assert_eq!(order.attempt, attempt);
                    assert!(!has_first_token || self.clients[&number].answer.is_some());
                    self.cancelled.insert(number);
                }
                Command::Release { name, engine, .. } => {
                    // Every third release is lost.
                    let acknowledged = !(self.now + name.0.len() as u64).is_multiple_of(3);
                    if acknowledged {
                        self.reservations.remove(&(name.0.to_string(), engine.clone()));
                    }
                    self.handle(Input::Released(name, engine, acknowledged));
                }
                Command::HealthCheck(engine, _, _) => self.handle(Input::HealthChecked(engine, true, None)),
                Command::Stopped => {
                    assert!(!std::mem::replace(&mut self.stopped, true), "shutdown reported complete twice");
                }
                Command::RequestComplete(number) => {
                    assert!(self.complete.insert(number), "request reported complete twice");
                    assert!(!self.in_flight.contains_key(&number), "complete with an attempt in flight");
                }
                Command::ProbeConnection(number, attempt, engine, _) => {
                    let is_in_flight = self.in_flight.get(&number).is_some_and(|o| o.0.attempt == attempt);
                    assert!(is_in_flight, "a connection probe for an attempt that is not in flight");
                    // Every third probe of some engines is not answered.
                    if !engine.0.ends_with('1') || number % 3 != 0 {
                        self.handle(Input::DeliveryConfirmed(number, attempt));
                    }
                }
                Command::QueryPeer(_)
                | Command::WithdrawReleases(_)
                | Command::RecoveryStage(_)
                | Command::RequestQuota(_)
                | Command::PublishOutlierReport(_)
                | Command::PublishZoneReport(..) => {
                    panic!("the settings define none of these")
                }
                Command::ReloadEndpointList | Command::Log(_) => {}
            }
        }
    }

    fn attempt(&mut self, order: AttemptOrder) {
        let client = self.clients.get_mut(&order.number).expect("an attempt for an unknown request");
        let cell = client.cell.get_or_insert_with(|| order.cell.clone());
        assert_eq!(*cell, order.cell, "a request changed its cell");
        assert!(
            cell.0.is_empty() || cell_of(&order.engine.0).as_ref() == Some(cell),
            "an engine of another cell"
        );
        assert!(
            client.answer.is_none() && !client.has_left,
            "an attempt after the final answer or after the client left"
        );
        assert!(!self.complete.contains(&order.number), "an attempt after the request was complete");
        assert!(!self.in_flight.contains_key(&order.number), "two attempts at once");
        assert_eq!(self.listing[&*order.engine.0], EndpointState::Serving, "an attempt at a drained engine");
        assert!(order.timeout > 0 && self.now + order.timeout <= client.deadline);
        if let Some(zone) = &client.may_have_run_in {
            assert!(
                client.class == 0 || client.class == 2,
                "a request that is not idempotent may run twice, first in {zone}"
            );
        }
        if order.step == Step::Fetch {
            assert!(order.state.is_some(), "a fetch without transfer parameters");
        }
        let times_out_at = self.now + order.timeout;
        self.in_flight.insert(order.number, (order, times_out_at, false));
    }

    fn answer(&mut self, number: RequestNumber, answer: FinalAnswer) {
        let client = self.clients.get_mut(&number).expect("an answer for an unknown request");
        assert!(client.answer.replace(answer).is_none(), "two final answers");
        assert!(!client.has_left, "an answer to a client that has left");
        assert!(
            self.now <= client.deadline || (client.streamed && client.has_first_token),
            "an answer too late"
        );
        if matches!(answer, FinalAnswer::Rejected(_)) {
            assert!(client.may_have_run_in.is_none() || client.class != 1, "rejected, but it may have run");
        }
    }

    fn end(&mut self, number: RequestNumber, outcome: Outcome, creates_reservation: bool) {
        let Some((order, _, _)) = self.in_flight.remove(&number) else { return };
        self.cancelled.remove(&number);
        let name = (format!("{}.{}", order.request.0, order.attempt), order.engine.clone());
        let mut state = None;
        let is_read = order.step == Step::Read;
        let has_no_reservation =
            matches!(outcome, Outcome::Overloaded | Outcome::Unreachable | Outcome::NeverSent);
        if is_read && (outcome == Outcome::Read || (creates_reservation && !has_no_reservation)) {
            self.reservations.insert(name);
            state = (outcome == Outcome::Read).then(|| Arc::new(serde_json::json!({ "n": order.attempt })));
        }
        if outcome == Outcome::Served {
            self.remove_fetched(&order);
        }
        let never_ran = matches!(
            outcome,
            Outcome::Read
                | Outcome::Overloaded
                | Outcome::StateNotFound
                | Outcome::Unreachable
                | Outcome::NeverSent
        );
        let client = self.clients.get_mut(&number).unwrap();
        if !is_read && !never_ran && client.may_have_run_in.is_none() {
            let zone = ENGINES.iter().find(|e| e.0 == &*order.engine.0).unwrap().2;
            client.may_have_run_in = Some(zone.to_string());
        }
        let attempt = order.attempt;
        self.handle(Input::AttemptEnded { number, attempt, outcome, cached_tokens: 0, load: None, state });
    }

    fn remove_fetched(&mut self, order: &AttemptOrder) {
        if let Some(n) = order.state.as_ref().and_then(|s| s["n"].as_u64()) {
            let name = format!("{}.{n}", order.request.0);
            self.reservations.retain(|(s, _)| *s != name);
        }
    }

    fn first_token(&mut self, number: RequestNumber) {
        let Some((order, _, has_first_token)) = self.in_flight.get_mut(&number) else { return };
        if order.step == Step::Read || std::mem::replace(has_first_token, true) {
            return;
        }
        let order = order.clone();
        self.remove_fetched(&order);
        self.clients.get_mut(&number).unwrap().has_first_token = true;
        self.handle(Input::FirstToken(number, order.attempt));
    }

    /// Advances the time and handles the attempts that time out and the timers that expire on the way.
    fn advance(&mut self, span: Micros) {
        let until = self.now + span;
        loop {
            let token_timeouts = self
                .in_flight
                .values()
                .filter(|(_, _, has_first_token)| !has_first_token)
                .map(|(_, at, _)| *at);
            let complete_answers = self
                .in_flight
                .iter()
                .filter(|(n, (_, _, has_first_token))| *has_first_token && !self.clients[n].streamed);
            let answer_timeouts = complete_answers.map(|(n, _)| self.clients[n].deadline - 20_000);
            let next =
                token_timeouts.chain(answer_timeouts).chain(self.host.next_wake()).min().unwrap_or(until);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            let mut out = Vec::new();
            self.host.tick(self.now, &mut out);
            self.execute(out);
            let timed_out: Vec<RequestNumber> = self
                .in_flight
                .iter()
                .filter(|(n, (_, times_out_at, has_first_token))| match has_first_token {
                    false => *times_out_at <= self.now,
                    true => !self.clients[n].streamed && self.clients[n].deadline - 20_000 <= self.now,
                })
                .map(|(n, _)| *n)
                .collect();
            for number in timed_out {
                self.end(number, Outcome::TimedOut, number % 2 == 0);
            }
            self.end_cancelled();
        }
        self.now = until;
    }

    fn end_cancelled(&mut self) {
        for number in std::mem::take(&mut self.cancelled) {
            self.end(number, Outcome::Cancelled, number % 2 == 0);
        }
    }

    fn run_step(&mut self, step: &(u8, u8, u16)) {
        let (kind, index, amount) = *step;
        match kind % 12 {
            0..=2 => {
                let number = self.clients.len() as u64 + 1;
                let class = usize::from(index) % 3;
                let stated_timeout = (amount % 4 == 0).then_some(Micros::from(amount) * 40 + 21_000);
                let class_timeout = [2_000_000, 1_500_000, 1_500_000][class];
                let streamed = amount % 2 == 0;
                let deadline = self.now + stated_timeout.unwrap_or(class_timeout).min(class_timeout);
                let client = Client {
                    cell: None,
                    class,
                    has_left: false,
                    answer: None,
                    deadline,
                    streamed,
                    has_first_token: false,
                    may_have_run_in: None,
                };
                self.clients.insert(number, client);
                self.handle(Input::RequestArrived(IncomingRequest {
                    number,
                    class: Some(class),
                    session: Some(u64::from(index) % 5),
                    prompt_tokens: u64::from(amount),
                    client_timeout: stated_timeout,
                    streamed,
                    ..IncomingRequest::default()
                }));
            }
            3..=6 => {
                let Some(number) = pick_in_flight(&self.in_flight, index) else { return };
                let (order, _, has_first_token) = &self.in_flight[&number];
                let outcome = match (order.step, has_first_token, amount % 10) {
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
                self.end(number, outcome, amount % 3 == 0);
            }
            7 => {
                if let Some(number) = pick_in_flight(&self.in_flight, index) {
                    self.first_token(number);
                }
            }
            8 => {
                let open: Vec<RequestNumber> = self
                    .clients
                    .iter()
                    .filter(|(_, c)| c.answer.is_none() && !c.has_left)
                    .map(|c| *c.0)
                    .collect();
                if let Some(number) = open.get(usize::from(index) % open.len().max(1)).copied() {
                    self.clients.get_mut(&number).unwrap().has_left = true;
                    self.handle(Input::ClientLeft(number));
                    if self.in_flight.get(&number).is_some_and(|o| o.2) {
                        self.end(number, Outcome::Cancelled, false);
                    }
                }
            }
            9 => {
                let engine = ENGINES[usize::from(index) % ENGINES.len()].0;
                let states = [
                    EndpointState::Serving,
                    EndpointState::Draining,
                    EndpointState::Gone,
                    EndpointState::Serving,
                ];
                self.listing.insert(engine, states[usize::from(amount) % 4]);
                if self.listing[engine] == EndpointState::Gone {
                    self.reservations.retain(|(_, e)| &*e.0 != engine);
                }
                self.send_endpoint_list(if amount % 8 == 0 { ListUpdate::Full } else { ListUpdate::Delta });
            }
            // Inputs that match no attempt: for requests that are complete or never existed, or repeated ones.
            10 => {
                let number = RequestNumber::from(index);
                if !self.in_flight.contains_key(&number) {
                    self.handle(Input::FirstToken(number, 0));
                    let (outcome, state) = (Outcome::Served, None);
                    self.handle(Input::AttemptEnded {
                        number,
                        attempt: 9,
                        outcome,
                        cached_tokens: 0,
                        load: None,
                        state,
                    });
                }
            }
            _ => self.advance(Micros::from(amount) * 10),
        }
        self.end_cancelled();
    }

    fn finish(mut self) {
        self.handle(Input::Stop);
        for _ in 0..40 {
            let begun: Vec<RequestNumber> = self.in_flight.iter().filter(|o| o.1 .2).map(|o| *o.0).collect();
            begun.into_iter().for_each(|number| self.end(number, Outcome::Served, false));
            self.advance(500_000);
        }
        for (number, client) in &self.clients {
            assert!(client.has_left || client.answer.is_some(), "request {number} has no final answer");
        }
        assert_eq!(self.complete.len(), self.clients.len(), "not all requests were reported complete");
        assert_eq!(self.host.open_requests(), 0, "requests remain in the ledger");
        assert!(self.stopped, "the host never reported that it has stopped");
        let listing = &self.listing;
        self.reservations.retain(|(_, e)| listing[&*e.0] != EndpointState::Gone);
        assert!(self.reservations.is_empty(), "reservations remain: {:?}", self.reservations);
        assert_eq!(self.host.pending_timers_and_releases().1, 0, "releases remain pending");
        let c = self.host.counters();
        assert_eq!(c.accepted, c.served + c.rejected + c.failed + c.streams_cut + c.clients_left, "{c:?}");
        assert_eq!(c.accepted, self.clients.len() as u64);
        assert_eq!(c.overdue, 0, "the core left requests without an answer");
    }
}

fn pick_in_flight<T>(in_flight: &BTreeMap<RequestNumber, T>, index: u8) -> Option<RequestNumber> {
    in_flight.keys().nth(usize::from(index) % in_flight.len().max(1)).copied()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// In any order of events, each request gets one final answer in time and no attempt after it, no request that
    /// is not idempotent runs twice, no attempt goes to a draining engine, and no reservation and no record remains.
    #[test]
    fn invariants_hold_for_any_order_of_events(
        seed in any::<u64>(),
        steps in prop::collection::vec(any::<(u8, u8, u16)>(), 1..200),
    ) {
        let mut simulation = Simulation::new(seed);
        steps.iter().for_each(|s| simulation.run_step(s));
        simulation.finish();
    }

    /// The same inputs always give the same commands.
    #[test]
    fn host_is_deterministic(
        seed in any::<u64>(),
        steps in prop::collection::vec(any::<(u8, u8, u16)>(), 1..80),
    ) {
        let run = || {
            let mut simulation = Simulation::new(seed);
            steps.iter().for_each(|s| simulation.run_step(s));
            let (in_flight, answers): (Vec<_>, Vec<_>) = (
                simulation.in_flight.values().map(|o| format!("{:?}", o.0)).collect(),
                simulation.clients.values().map(|c| c.answer).collect(),
            );
            (in_flight, answers, simulation.host.counters())
        };
        prop_assert_eq!(run(), run());
    }
}
