//! Where one release frees all that is held for a request: when it goes out, where it is repeated, and
//! that a late one never frees what a later attempt needs.

use std::sync::Arc;

use pintally::interface::*;
use pintally_config::NodeSettings;
use pintally_engine::Step;
use pintally_host::{
    AttemptOrder, Command, EngineEndpoint, FinalAnswer, Host, IncomingRequest, Input, ReleaseScope,
};
use serde_json::Value;

const SETTINGS: &str = r#"
(pintally
  (node (name "t") (engines "unused"))
  (limits (held 64) (connections 64) (answer-margin-ms 20) (stop-ms 4000))
  (rules (attempts 6) (warm-after-ms 0) (tip-window-ms 1))
  (class "safe" (effect safe) (aim-ms 2000) (patience-ms 8000))
  (kind "r" (role reader)) (kind "w" (role writer) (slots 4)))"#;

const MS: Micros = 1_000;

struct Node {
    host: Host,
    now: Micros,
    out: Vec<Command>,
}

/// A list of engines; those that begin with `r` read.
fn listed(engines: &[&str]) -> Vec<EngineEndpoint> {
    let listed = |(n, name): (usize, &&str)| EngineEndpoint {
        endpoint: Endpoint {
            engine: EngineId((*name).into()),
            zone: "a".into(),
            kind: name[..1].into(),
            rack: 1,
            state: EndpointState::Serving,
            weight: 1.0,
            started: None,
        },
        address: ([127, 0, 0, 1], 4000 + n as u16).into(),
        cell: None,
        started_unix_ms: None,
    };
    engines.iter().enumerate().map(listed).collect()
}

impl Node {
    fn new(engines: &[&str]) -> Node {
        Node::in_scope(engines, ReleaseScope::Request)
    }

    fn in_scope(engines: &[&str], scope: ReleaseScope) -> Node {
        let settings = NodeSettings::parse("test", SETTINGS).expect("they are sound");
        let host = Host::new(Arc::new(settings), 7).with_scope(scope);
        let mut node = Node { host, now: 1_000_000, out: Vec::new() };
        node.tell(Input::EndpointList(ListUpdate::Full, listed(engines)));
        node
    }

    /// A node with a request whose prompt has been read, and the fetch that went out for it.
    fn with_a_state(engines: &[&str]) -> (Node, AttemptOrder) {
        let mut node = Node::new(engines);
        node.arrive(1, "x");
        node.end(&node.attempt(), Outcome::Read);
        let fetch = node.attempt();
        (node, fetch)
    }

    fn tell(&mut self, input: Input) {
        self.host.handle(self.now, input, &mut self.out);
    }

    fn arrive(&mut self, ticket: u64, name: &str) {
        let name = Some(RequestId(name.into()));
        let (class, patience) = (Some(0), Some(8_000 * MS));
        let arrival = IncomingRequest {
            ticket,
            name,
            class,
            client_timeout: patience,
            prompt_tokens: 400,
            streamed: true,
            ..IncomingRequest::default()
        };
        self.tell(Input::RequestArrived(arrival));
    }

    fn end(&mut self, order: &AttemptOrder, outcome: Outcome) {
        self.now += 10 * MS;
        let state = (outcome == Outcome::Read).then(|| Arc::new(Value::Null));
        let (ticket, attempt) = (order.ticket, order.attempt);
        self.tell(Input::AttemptEnded { ticket, attempt, outcome, cached_tokens: 0, load: None, state });
    }

    /// The attempt that was commanded last, and the releases so far by request and port.
    fn attempt(&self) -> AttemptOrder {
        let mut orders =
            self.out.iter().filter_map(|c| if let Command::Attempt(o) = c { Some(o.clone()) } else { None });
        orders.next_back().expect("an attempt")
    }

    fn releases(&self) -> Vec<(String, u16)> {
        let release = |c: &Command| match c {
            Command::Release { name, address, .. } => Some((name.0.to_string(), address.port())),
            _ => None,
        };
        self.out.iter().filter_map(release).collect()
    }

    fn attempts(&self) -> usize {
        self.out.iter().filter(|c| matches!(c, Command::Attempt(_))).count()
    }

    /// Lets time pass, with all timers that come due.
    fn pass(&mut self, until: Micros) {
        while let Some(at) = self.host.next_wake().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.host.tick(self.now, &mut self.out);
        }
        self.now = until;
    }

    /// Connection probes to the engines of request 1's attempts.
    fn probes(&self) -> usize {
        self.out.iter().filter(|c| matches!(c, Command::ProbeConnection(1, ..))).count()
    }

    /// Lets time pass while the engine of an attempt of request 1 answers every connection probe.
    fn pass_with_engine_there(&mut self, attempt: Attempt, until: Micros) {
        while self.now < until {
            let before = self.probes();
            self.pass((self.now + MS).min(until));
            if self.probes() > before {
                self.tell(Input::DeliveryConfirmed(1, attempt));
            }
        }
    }

    /// The first call that lets go; the time at which it goes out, if that is by then.
    fn let_go_by(&mut self, until: Micros) -> Option<Micros> {
        while self.releases().is_empty() && self.now < until {
            self.pass((self.now + MS).min(until));
        }
        (!self.releases().is_empty()).then_some(self.now)
    }

    fn heard(&mut self, engine: &str, heard: bool) {
        self.tell(Input::Released(RequestId("x".into()), EngineId(engine.into()), heard));
    }
}

/// What the settings above leave for letting go, by default.
const WITHIN: Micros = 500 * MS;

/// Guards against a state that stays held while one writer after another cannot be reached: each of those
/// attempts is out for the node, but none is at any engine, and the state's time runs on.
#[test]
fn a_state_is_let_go_in_time_although_attempts_go_out_that_reach_nobody() {
    for silence in [60, 110, 250, 499, 2_000] {
        let mut node = Node::new(&["r0", "w0", "w1", "w2", "w3", "w4"]);
        node.arrive(1, "x");
        node.end(&node.attempt(), Outcome::Read);
        let read = node.now;
        while node.releases().is_empty() && node.now < read + WITHIN {
            let fetch = node.attempt();
            let until = (node.now + silence * MS).min(read + WITHIN);
            if node.let_go_by(until).is_none() {
                node.end(&fetch, Outcome::Unreachable);
            }
        }
        let first = node.now - read;
        assert!(!node.releases().is_empty(), "nothing is let go within {} ms at {silence} ms", WITHIN / MS);
        // Four engines in a row may be silent.
        node.pass(read + WITHIN);
        let ports: std::collections::BTreeSet<u16> = node.releases().iter().map(|r| r.1).collect();
        assert!(ports.len() >= 4, "only {ports:?} from {} ms on at {silence} ms", first / MS);
    }
}

/// The same where a release is one state's and only its holder takes it.
#[test]
fn one_state_is_let_go_in_time_although_attempts_go_out_that_reach_nobody() {
    for silence in [250, 499, 2_000] {
        let mut node = Node::in_scope(&["r0", "w0", "w1", "w2", "w3", "w4"], ReleaseScope::Attempt);
        node.arrive(1, "x");
        node.end(&node.attempt(), Outcome::Read);
        let read = node.now;
        while node.releases().is_empty() && node.now < read + WITHIN {
            let fetch = node.attempt();
            let until = (node.now + silence * MS).min(read + WITHIN);
            if node.let_go_by(until).is_none() {
                node.end(&fetch, Outcome::Unreachable);
            }
        }
        assert_eq!(node.releases(), [("x.0".to_string(), 4000)], "at {silence} ms");
        assert_eq!(node.host.counters().releases_guarded, 1);
        // What was let go is not fetched but read again.
        node.end(&node.attempt(), Outcome::Unreachable);
        assert_eq!((&*node.attempt().engine.0, node.attempt().step), ("r0", Step::Read));
        // A writer that is there and merely slow keeps its state waiting.
        node.end(&node.attempt(), Outcome::Read);
        let (fetch, from) = (node.attempt(), node.now);
        node.out.clear();
        node.pass(from + WITHIN * 5 / 8);
        assert!(
            matches!(node.out[..], [Command::ProbeConnection(1, attempt, ..)] if attempt == fetch.attempt)
        );
        node.tell(Input::DeliveryConfirmed(1, fetch.attempt));
        node.pass_with_engine_there(fetch.attempt, from + 4 * WITHIN);
        assert_eq!(node.releases(), []);
    }
}

/// Guards against the states of a name that its client uses again: while the first request's state is
/// being let go and nobody has heard it, a second one of the same name is read and fetched undisturbed.
#[test]
fn a_name_used_again_keeps_its_state_while_the_first_ones_is_let_go() {
    for first in [Outcome::Read, Outcome::Cancelled, Outcome::ConnectionBroken] {
        let mut node = Node::new(&["r0", "w0", "w1"]);
        node.arrive(1, "x");
        let read = node.attempt();
        if first == Outcome::Read {
            node.end(&read, Outcome::Read);
        }
        node.tell(Input::ClientLeft(1));
        node.end(&node.attempt(), if first == Outcome::Read { Outcome::Cancelled } else { first });
        assert!(!node.releases().is_empty(), "the first one's state is let go");
        assert!(!node.host.knows(&RequestId("x".into())));
        // The client comes again with the same name, before any engine has heard a call.
        node.arrive(2, "x");
        let again = node.attempt();
        assert_eq!((again.ticket, again.step), (2, Step::Read));
        node.end(&again, Outcome::Read);
        // From the end of that read on nothing of the first one's is called any more.
        assert!(node.out.iter().any(|c| matches!(c, Command::WithdrawReleases(id) if &*id.0 == "x")));
        let (fetch, from) = (node.attempt(), node.now);
        assert_eq!((fetch.ticket, fetch.step), (2, Step::Fetch));
        node.out.clear();
        node.pass(from + WITHIN / 2);
        assert_eq!(node.releases(), [], "after {first:?}");
        // A late word of the first one's calls says nothing of the second one's state.
        node.heard("w0", true);
        node.end(&fetch, Outcome::Overloaded);
        assert_eq!((node.attempt().ticket, node.attempt().step), (2, Step::Fetch));
        // And what is left of the second one is let go like any other's.
        node.tell(Input::ClientLeft(2));
        let over = node.now;
        node.end(&node.attempt(), Outcome::Cancelled);
        assert!(node.let_go_by(over + WITHIN).is_some());
        node.heard("r0", true);
        assert_eq!((node.host.open_requests(), node.host.open().1), (0, 0));
    }
}

/// Guards against an attempt that is spent on a state which was let go: the prompt is read again.
#[test]
fn what_was_let_go_is_not_fetched_but_read_again() {
    let (mut node, first) = Node::with_a_state(&["r0", "w0", "w1", "w2"]);
    node.let_go_by(node.now + WITHIN).expect("it is let go");
    node.heard("r0", true);
    node.end(&first, Outcome::Unreachable);
    assert_eq!(&*node.attempt().engine.0, "r0", "it is read again");
    node.end(&node.attempt(), Outcome::Read);
    let second = node.attempt();
    assert_eq!(&second.engine.0[..1], "w");
    node.tell(Input::FirstToken(1, second.attempt));
    node.end(&second, Outcome::Served);
    assert!(node.out.iter().any(|c| matches!(c, Command::Answer(1, FinalAnswer::Served))));
    assert_eq!((node.host.open_requests(), node.host.open().1), (0, 0));
}

/// Guards against the guard itself: a writer that was reached and waits has its state, whatever was let
/// go meanwhile, and so has the next one if the first turns it away.
#[test]
fn a_fetch_that_waits_at_its_writer_loses_nothing_by_the_guard() {
    let (mut node, first) = Node::with_a_state(&["r0", "w0", "w1"]);
    node.let_go_by(node.now + WITHIN).expect("it is let go");
    node.heard("r0", true);
    node.end(&first, Outcome::Overloaded);
    let second = node.attempt();
    assert_eq!(&second.engine.0[..1], "w");
    assert_ne!(second.engine, first.engine);
    // The state's time began anew with that word.
    let from = node.now;
    node.out.clear();
    let again = node.let_go_by(from + WITHIN).expect("it is let go once more");
    assert!(again > from + WITHIN / 2, "after {} ms", (again - from) / MS);
    // A first token frees the rest: nothing is called any more.
    node.tell(Input::FirstToken(1, second.attempt));
    assert!(node.out.iter().any(|c| matches!(c, Command::WithdrawReleases(_))));
    node.out.clear();
    node.pass(from + 4 * WITHIN);
    assert_eq!(node.releases(), []);
}

/// Guards against prompts that are read anew because a writer is merely slow: its machine is probed
/// before what it may be waiting for is let go, and an answer leaves the state where it is.
#[test]
fn a_state_stays_for_an_attempt_that_has_come_to_its_engine() {
    let (mut node, fetch) = Node::with_a_state(&["r0", "w0", "w1"]);
    let from = node.now;
    node.pass_with_engine_there(fetch.attempt, from + 4 * WITHIN);
    // One probe for each 5/8 of the time, and no more.
    assert_eq!((node.releases(), node.probes()), (vec![], 6));
    // With its end time begins anew, and for the next attempt there is a probe of its own.
    node.end(&fetch, Outcome::TimedOut);
    let again = node.now;
    assert_ne!(node.attempt().engine, fetch.engine);
    assert!(node.let_go_by(again + WITHIN).expect("it is let go") > again + WITHIN / 2);
    assert_eq!(node.probes(), 7);
}

/// Guards against a state that stays held for an attempt whose engine was there when it was probed and has
/// vanished since: the node hears nothing of that until the attempt's own time-out, seconds later.
#[test]
fn a_state_does_not_stay_for_an_engine_that_vanished_after_it_was_seen() {
    for seen_for in [1, 2, 5] {
        let (mut node, fetch) = Node::with_a_state(&["r0", "w0", "w1"]);
        let mut seen_at = node.now;
        for _ in 0..seen_for {
            let before = node.probes();
            while node.probes() == before {
                node.pass(node.now + MS);
            }
            node.tell(Input::DeliveryConfirmed(1, fetch.attempt));
            seen_at = node.now;
        }
        assert_eq!(node.releases(), []);
        let at = node.let_go_by(seen_at + WITHIN).expect("it is let go although the attempt is out");
        assert!(at > seen_at + WITHIN / 2, "a slow connection is given time");
    }
}

/// What comes from the engine on other connections shows as well as a probe that it is there.
#[test]
fn an_engine_that_is_heard_on_other_connections_is_not_probed() {
    let (mut node, fetch) = Node::with_a_state(&["r0", "w0"]);
    let from = node.now;
    node.pass_with_engine_there(fetch.attempt, from + WITHIN);
    let before = node.probes();
    for n in 0..40 {
        node.heard(&fetch.engine.0, true);
        node.pass(from + WITHIN + n * WITHIN / 10);
    }
    assert_eq!((node.probes(), node.releases()), (before, vec![]));
}

/// Guards against a call for older states that lets go of the one that has just been read.
#[test]
fn calls_that_were_not_heard_are_taken_back_when_the_prompt_has_been_read_again() {
    let (mut node, first) = Node::with_a_state(&["r0", "w0", "w1", "w2"]);
    node.let_go_by(node.now + WITHIN).expect("it is let go");
    node.end(&first, Outcome::Unreachable);
    let read = node.attempt();
    assert_eq!(&*read.engine.0, "r0");
    node.out.clear();
    node.end(&read, Outcome::Read);
    let taken_back =
        node.out.iter().position(|c| matches!(c, Command::WithdrawReleases(_))).expect("a call back");
    let fetch = node.out.iter().position(|c| matches!(c, Command::Attempt(_))).expect("a fetch");
    assert!(taken_back < fetch);
    // An engine had that read: the time of all that is held began anew with its outcome.
    assert_eq!(node.releases(), []);
    let from = node.now;
    let at = node.let_go_by(from + WITHIN).expect("it is let go");
    assert!(at > from + WITHIN / 2, "after {} ms", (at - from) / MS);
}

/// Guards against reads whose answer was lost and whose states stay while the next reads reach nobody.
#[test]
fn what_a_lost_read_may_have_left_is_let_go_while_the_next_ones_reach_nobody() {
    let mut node = Node::new(&["r0", "r1", "r2", "r3", "w0"]);
    node.arrive(1, "x");
    node.end(&node.attempt(), Outcome::ConnectionBroken);
    let lost = node.now;
    while node.releases().is_empty() && node.now < lost + WITHIN {
        let next = node.attempt();
        if node.let_go_by((node.now + 200 * MS).min(lost + WITHIN)).is_none() {
            node.end(&next, Outcome::Unreachable);
        }
    }
    assert!(!node.releases().is_empty());
    assert!(node.attempts() >= 2);
    // Nobody waits for that state: once it is heard nothing is left.
    node.heard("r0", true);
    let next = node.attempt();
    node.out.clear();
    node.tell(Input::ClientLeft(1));
    node.end(&next, Outcome::Unreachable);
    assert_eq!(node.releases(), []);
    assert_eq!((node.host.open_requests(), node.host.open().1), (0, 0));
}

/// Guards against a release that is dropped because its holder has left the list, or the whole list has.
#[test]
fn what_an_engine_off_the_list_holds_is_let_go_by_another() {
    let (mut node, fetch) = Node::with_a_state(&["r0", "w0"]);
    node.tell(Input::EndpointList(ListUpdate::Full, listed(&["w0"])));
    node.tell(Input::ClientLeft(1));
    node.end(&fetch, Outcome::Cancelled);
    assert_eq!(node.releases().last(), Some(&("x".to_string(), 4000)));
    assert_eq!(node.host.open().1, 1);
    node.heard("w0", true);
    assert_eq!((node.host.open_requests(), node.host.open().1), (0, 0));
}

/// Guards against states that stay held when no engine is reachable at all for longer than all calls take:
/// it is counted and said, and as soon as anything is heard of any engine it is called for anew.
#[test]
fn where_nobody_hears_it_is_counted_and_the_first_word_of_an_engine_calls_for_it_anew() {
    let (mut node, fetch) = Node::with_a_state(&["r0", "w0"]);
    node.tell(Input::ClientLeft(1));
    node.end(&fetch, Outcome::Cancelled);
    for _ in 0..60 {
        node.heard("r0", false);
        node.heard("w0", false);
        node.pass(node.now + WITHIN);
    }
    assert_eq!(node.host.counters().releases_lost, 1);
    let warning = "release not acknowledged by any engine: request_id=x";
    assert!(node.out.iter().any(|command| matches!(command, Command::Log(text) if text == warning)));
    assert_eq!((node.host.open_requests(), node.host.open().1), (0, 1));
    // Another request is read: r0 is there again, and hears it within the time.
    node.arrive(2, "y");
    node.end(&node.attempt(), Outcome::Read);
    let by = node.now + WITHIN;
    while node.host.open().1 > 0 {
        assert!(node.now < by, "{:?}", node.releases());
        node.out.clear();
        node.pass(node.now + MS);
        if node.releases().iter().any(|r| *r == ("x".to_string(), 4000)) {
            node.heard("r0", true);
        }
    }
}

/// The same where a call lets go of one state, at its engine.
#[test]
fn a_state_at_an_engine_that_was_cut_off_for_long_is_let_go_when_the_engine_is_heard() {
    let mut node = Node::in_scope(&["r0", "w0"], ReleaseScope::Attempt);
    node.arrive(1, "x");
    node.end(&node.attempt(), Outcome::Read);
    let fetch = node.attempt();
    node.tell(Input::ClientLeft(1));
    node.end(&fetch, Outcome::Cancelled);
    let mut calls = 0;
    while node.host.counters().releases_lost == 0 {
        calls += 1;
        assert_eq!(node.releases().len(), calls);
        node.tell(Input::Released(RequestId("x.0".into()), EngineId("r0".into()), false));
        node.pass(node.now + 60 * WITHIN);
    }
    assert_eq!((calls, node.host.open().1), (9, 1));
    node.out.clear();
    node.arrive(2, "y");
    node.end(&node.attempt(), Outcome::Read);
    node.pass(node.now + 1);
    assert_eq!(node.releases().first(), Some(&("x.0".to_string(), 4000)));
}

/// Guards against a call that is heard before the read that it lets go of, on a connection that is silent or
/// at an engine that hangs: such a state is called for again.
#[test]
fn a_read_that_ended_without_a_word_is_let_go_of_again_behind_the_first_call() {
    let mut node = Node::in_scope(&["r0", "w0"], ReleaseScope::Attempt);
    node.arrive(1, "x");
    node.tell(Input::ClientLeft(1));
    node.end(&node.attempt(), Outcome::TimedOut);
    let mut calls = 0;
    for _ in 0..40 {
        let called = node.releases().len();
        if called > calls {
            calls = called;
            node.tell(Input::Released(RequestId("x.0".into()), EngineId("r0".into()), true));
        }
        node.pass(node.now + WITHIN / 4);
    }
    assert_eq!(calls, 4, "{:?}", node.releases());
    assert_eq!((node.host.open_requests(), node.host.open().1), (0, 0));
}

#[test]
fn a_name_that_is_in_use_is_turned_away_and_the_open_request_goes_on() {
    let mut node = Node::new(&["r0", "w0"]);
    node.arrive(1, "x");
    let read = node.attempt();
    node.arrive(2, "x");
    assert!(node.out.iter().any(|c| matches!(c, Command::Answer(2, FinalAnswer::Rejected(_)))));
    node.end(&read, Outcome::Read);
    assert_eq!((node.attempt().ticket, &*node.attempt().engine.0), (1, "w0"));
    assert!(node.host.knows(&RequestId("x".into())));
}

/// Guards against a state that stays pinned because its reader cannot be reached: each further try
/// goes to another engine, and none after one was heard.
#[test]
fn a_release_that_is_not_heard_is_repeated_elsewhere() {
    let mut node = Node::new(&["r0", "w0", "w1"]);
    node.arrive(1, "x");
    node.end(&node.attempt(), Outcome::Read);
    node.tell(Input::ClientLeft(1));
    node.end(&node.attempt(), Outcome::Cancelled);
    assert_eq!(node.releases(), [("x".to_string(), 4000)]);
    // Nobody's word is waited for: the next call goes to another engine.
    let first = node.now;
    node.pass(first + 200 * MS);
    let ports: Vec<u16> = node.releases().iter().map(|r| r.1).collect();
    assert_eq!(ports.len(), 4, "{ports:?}");
    let mut different = ports[..3].to_vec();
    different.sort_unstable();
    assert_eq!(different, [4000, 4001, 4002]);
    node.heard("w1", true);
    assert!(node.out.iter().any(|c| matches!(c, Command::WithdrawReleases(_))));
    node.out.clear();
    node.pass(first + 4 * WITHIN);
    assert_eq!(node.releases(), []);
    assert_eq!(node.host.open().1, 0);
    assert_eq!(node.host.open_requests(), 0);
}

/// What a life would leave is what its next one lets go of: as soon as its engine is listed, unless a list from
/// its source no longer has it, and never a state of its own.
#[test]
fn what_a_life_leaves_its_next_one_lets_go_of() {
    let mut node = Node::in_scope(&["r0", "r1", "w0"], ReleaseScope::Attempt);
    node.arrive(1, "held");
    node.end(&node.attempt(), Outcome::Read);
    node.arrive(2, "reads");
    node.arrive(3, "unheard");
    node.end(&node.attempt(), Outcome::Error);
    let mut left = node.host.reservations_at_exit(16);
    left.sort();
    let names: Vec<&str> = left.iter().map(|(_, name)| &*name.0).collect();
    assert!(["held.0", "reads.0", "unheard.0", "unheard.1"].iter().all(|n| names.contains(n)), "{names:?}");
    assert_eq!(node.host.reservations_at_exit(1).len(), 1);

    // Two of their engines are listed at once, one comes later, one never again.
    let mut settings = NodeSettings::parse("test", SETTINGS).expect("they are sound");
    settings.name = "m".into();
    let lost = |engine: &str, name: &str| (EngineId(engine.into()), RequestId(name.into()));
    let own = lost("r0", "m-00000007-5.0");
    let all = vec![lost("r0", "a.0"), lost("w9", "b.0"), lost("r9", "c.1"), own];
    node.host = Host::new(Arc::new(settings), 7).with_orphaned_reservations(all);
    node.out.clear();
    node.tell(Input::EndpointList(ListUpdate::Full, listed(&["r0", "w0"])));
    assert_eq!(node.releases(), [("a.0".to_string(), 4000)]);
    let kept: Vec<_> = node.host.reservations_at_exit(16).into_iter().map(|l| l.1 .0.to_string()).collect();
    assert_eq!(kept, ["a.0", "b.0", "c.1"], "what is not heard yet is kept for one more life");
    node.tell(Input::EndpointList(ListUpdate::Delta, listed(&["r9"])));
    assert_eq!(node.releases().len(), 2);
    for (engine, name) in [("r0", "a.0"), ("r9", "c.1")] {
        node.tell(Input::Released(RequestId(name.into()), EngineId(engine.into()), true));
    }
    node.tell(Input::EndpointListConfirmed);
    assert_eq!(node.host.reservations_at_exit(16), []);
    assert_eq!((node.host.open().1, node.host.counters().orphaned_releases), (0, 2));
}

/// Two names at one address, as while one engine takes over another's, are two engines: what each holds is let
/// go of under its own name, and neither is forgotten with the other.
#[test]
fn two_engines_at_one_address_are_told_apart() {
    let mut node = Node::in_scope(&["r0"], ReleaseScope::Attempt);
    let mut both = listed(&["r0", "r1"]);
    both[1].address = both[0].address;
    node.arrive(1, "x");
    node.end(&node.attempt(), Outcome::Read);
    both[0].endpoint.state = EndpointState::Draining;
    node.tell(Input::EndpointList(ListUpdate::Full, both.clone()));
    node.arrive(2, "y");
    assert_eq!(&*node.attempt().engine.0, "r1");
    node.end(&node.attempt(), Outcome::Read);
    both.remove(0);
    node.tell(Input::EndpointList(ListUpdate::Full, both));
    for ticket in [1, 2] {
        node.tell(Input::ClientLeft(ticket));
    }
    let released = |c: &Command| match c {
        Command::Release { name, engine, .. } => Some((name.0.to_string(), engine.0.to_string())),
        _ => None,
    };
    node.pass(node.now + WITHIN);
    let all: std::collections::BTreeSet<_> = node.out.iter().filter_map(released).collect();
    let want = [("x.0", "r0"), ("y.0", "r1")].map(|(name, engine)| (name.to_string(), engine.to_string()));
    assert_eq!(all.into_iter().collect::<Vec<_>>(), want);
}

/// Guards against a late release that frees the state of a younger read: while an attempt is out
/// nothing is let go, and a release that waits is taken back until the request is over.
#[test]
fn nothing_is_let_go_while_an_attempt_is_out() {
    let mut node = Node::new(&["r0", "r1", "w0"]);
    node.arrive(1, "x");
    // A read without an end may have left a state; the next read is out at once.
    node.end(&node.attempt(), Outcome::TimedOut);
    assert!(node.attempt().attempt > 0, "it is read again");
    assert_eq!(node.releases(), []);
    node.end(&node.attempt(), Outcome::Read);
    let write = node.attempt();
    assert_eq!(&*write.engine.0, "w0");
    assert_eq!(node.releases(), []);
    // The first token frees whatever is left.
    node.tell(Input::FirstToken(1, write.attempt));
    node.end(&write, Outcome::Served);
    assert_eq!(node.releases(), []);
    assert_eq!((node.host.open_requests(), node.host.open().1), (0, 0));
}

/// Guards against a writer's word that it has read being taken for a state that waits there.
#[test]
fn a_writer_that_says_it_has_read_has_failed() {
    let (mut node, first) = Node::with_a_state(&["r0", "w0", "w1"]);
    node.end(&first, Outcome::Read);
    let second = node.attempt();
    assert_eq!(&second.engine.0[..1], "w");
    assert_ne!(second.engine, first.engine, "the state is still the reader's, and another writer fetches it");
}
