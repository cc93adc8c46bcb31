//! Where one release frees all that is held for a request: when it goes out, where it is repeated, and
//! that a late one never frees what a later attempt needs.

use std::sync::Arc;

use pintally::interface::*;
use pintally_config::NodeSettings;
use pintally_host::{Arrival, Command, Final, Host, Input, Listed, Order, Scope};
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

impl Node {
    fn new(engines: &[&str]) -> Node {
        let settings = NodeSettings::parse("test", SETTINGS).expect("they are sound");
        let host = Host::new(Arc::new(settings), 7).with_scope(Scope::Request);
        let mut node = Node { host, now: 1_000_000, out: Vec::new() };
        let listed = |(n, name): (usize, &&str)| Listed {
            member: Member {
                engine: EngineId((*name).into()),
                zone: "a".into(),
                kind: name[..1].into(),
                rack: 1,
                listing: Listing::Serving,
                weight: 1.0,
                started: None,
            },
            address: ([127, 0, 0, 1], 4000 + n as u16).into(),
            cell: None,
            started_unix_ms: None,
        };
        node.tell(Input::List(ListForm::Full, engines.iter().enumerate().map(listed).collect()));
        node
    }

    fn tell(&mut self, input: Input) {
        self.host.handle(self.now, input, &mut self.out);
    }

    fn arrive(&mut self, ticket: u64, name: &str) {
        let name = Some(RequestId(name.into()));
        let (class, patience) = (Some(0), Some(8_000 * MS));
        let arrival = Arrival {
            ticket,
            name,
            class,
            patience,
            prompt_tokens: 400,
            streamed: true,
            ..Arrival::default()
        };
        self.tell(Input::Arrived(arrival));
    }

    fn end(&mut self, order: &Order, outcome: Outcome) {
        self.now += 10 * MS;
        let state = (outcome == Outcome::Read).then(|| Arc::new(Value::Null));
        let (ticket, attempt) = (order.ticket, order.attempt);
        self.tell(Input::Ended { ticket, attempt, outcome, kept: 0, load: None, state });
    }

    /// The attempt that was commanded last, and the releases so far by request and port.
    fn attempt(&self) -> Order {
        let mut orders =
            self.out.iter().filter_map(|c| if let Command::Attempt(o) = c { Some(o.clone()) } else { None });
        orders.next_back().expect("an attempt")
    }

    fn releases(&self) -> Vec<(String, u16)> {
        let release = |c: &Command| match c {
            Command::Release(id, _, address) => Some((id.0.to_string(), address.port())),
            _ => None,
        };
        self.out.iter().filter_map(release).collect()
    }
}

#[test]
fn a_name_that_is_in_use_is_turned_away_and_the_open_request_goes_on() {
    let mut node = Node::new(&["r0", "w0"]);
    node.arrive(1, "x");
    let read = node.attempt();
    node.arrive(2, "x");
    assert!(node.out.iter().any(|c| matches!(c, Command::Answer(2, Final::Refused(_)))));
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
    node.tell(Input::Left(1));
    node.end(&node.attempt(), Outcome::Cancelled);
    assert_eq!(node.releases(), [("x".to_string(), 4000)]);
    let engine = EngineId("r0".into());
    for tries in 2..6 {
        node.tell(Input::Released(RequestId("x".into()), engine.clone(), false));
        // The core's own timers come between.
        for _ in 0..200 {
            if node.releases().len() < tries {
                node.now = node.host.next_wake().expect("it is repeated");
                node.host.tick(node.now, &mut node.out);
            }
        }
        let last = node.releases().last().cloned().expect("a release");
        assert_eq!(node.releases().len(), tries);
        assert!(last.1 != 4000, "try {tries} went where nobody hears");
    }
    node.tell(Input::Released(RequestId("x".into()), engine, true));
    assert_eq!(node.host.open().1, 0);
    assert_eq!(node.host.held(), 0);
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
    assert_eq!((node.host.held(), node.host.open().1), (0, 0));
}

/// Guards against a writer's word that it has read being taken for a state that waits there.
#[test]
fn a_writer_that_says_it_has_read_has_failed() {
    let mut node = Node::new(&["r0", "w0", "w1"]);
    node.arrive(1, "x");
    node.end(&node.attempt(), Outcome::Read);
    let first = node.attempt();
    node.end(&first, Outcome::Read);
    let second = node.attempt();
    assert_eq!(&second.engine.0[..1], "w");
    assert_ne!(second.engine, first.engine, "the state is still the reader's, and another writer fetches it");
}
