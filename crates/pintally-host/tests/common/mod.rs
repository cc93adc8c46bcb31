//! A node under test: a host with a simulated clock and a record of its commands.

// Each test file uses a part of this module.
#![allow(dead_code)]

use std::sync::Arc;

use pintally::interface::*;
use pintally_config::NodeSettings;
use pintally_host::{AttemptOrder, Command, EngineEndpoint, Host, IncomingRequest, Input, ReleaseScope};
use serde_json::Value;

/// Settings of the nodes under test.
pub const SETTINGS: &str = r#"
(pintally
  (node (name "t") (engines "unused"))
  (limits (held 64) (connections 64) (answer-margin-ms 20) (stop-ms 4000))
  (rules (attempts 6) (warm-after-ms 0) (tip-window-ms 1))
  (class "safe" (effect safe) (aim-ms 2000) (patience-ms 8000))
  (kind "r" (role reader)) (kind "w" (role writer) (slots 4)))"#;

/// One millisecond.
pub const MS: Micros = 1_000;

/// A host with its simulated time and the commands that it has issued.
pub struct TestNode {
    pub host: Host,
    pub now: Micros,
    pub out: Vec<Command>,
}

/// An endpoint list; engines whose names begin with `r` are readers.
pub fn endpoints(engines: &[&str]) -> Vec<EngineEndpoint> {
    let endpoints = |(n, name): (usize, &&str)| EngineEndpoint {
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
    engines.iter().enumerate().map(endpoints).collect()
}

impl TestNode {
    pub fn new(engines: &[&str]) -> TestNode {
        TestNode::with_release_scope(engines, ReleaseScope::Request)
    }

    pub fn with_release_scope(engines: &[&str], scope: ReleaseScope) -> TestNode {
        let settings = NodeSettings::parse("test", SETTINGS).expect("the settings are valid");
        let host = Host::new(Arc::new(settings), 7).with_release_scope(scope);
        let mut node = TestNode { host, now: 1_000_000, out: Vec::new() };
        node.handle(Input::EndpointList(ListUpdate::Full, endpoints(engines)));
        node
    }

    /// A node with a request whose prompt has been read, and the fetch that was sent for it.
    pub fn with_reservation(engines: &[&str]) -> (TestNode, AttemptOrder) {
        let mut node = TestNode::new(engines);
        node.arrive(1, "x");
        node.end(&node.last_attempt(), Outcome::Read);
        let fetch = node.last_attempt();
        (node, fetch)
    }

    pub fn handle(&mut self, input: Input) {
        self.host.handle(self.now, input, &mut self.out);
    }

    pub fn arrive(&mut self, number: u64, name: &str) {
        let name = Some(RequestId(name.into()));
        let (class, client_timeout) = (Some(0), Some(8_000 * MS));
        let arrival = IncomingRequest {
            number,
            name,
            class,
            client_timeout,
            prompt_tokens: 400,
            streamed: true,
            ..IncomingRequest::default()
        };
        self.handle(Input::RequestArrived(arrival));
    }

    pub fn end(&mut self, order: &AttemptOrder, outcome: Outcome) {
        self.now += 10 * MS;
        let state = (outcome == Outcome::Read).then(|| Arc::new(Value::Null));
        let (number, attempt) = (order.number, order.attempt);
        self.handle(Input::AttemptEnded { number, attempt, outcome, cached_tokens: 0, load: None, state });
    }

    /// The attempt that was commanded last.
    pub fn last_attempt(&self) -> AttemptOrder {
        let mut orders =
            self.out.iter().filter_map(|c| if let Command::Attempt(o) = c { Some(o.clone()) } else { None });
        orders.next_back().expect("an attempt")
    }

    /// The releases so far, by request and port of the engine.
    pub fn releases(&self) -> Vec<(String, u16)> {
        let release = |c: &Command| match c {
            Command::Release { name, address, .. } => Some((name.0.to_string(), address.port())),
            _ => None,
        };
        self.out.iter().filter_map(release).collect()
    }

    pub fn attempts(&self) -> usize {
        self.out.iter().filter(|c| matches!(c, Command::Attempt(_))).count()
    }

    /// Advances the time and handles all timers that expire on the way.
    pub fn advance(&mut self, until: Micros) {
        while let Some(at) = self.host.next_wake().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.host.tick(self.now, &mut self.out);
        }
        self.now = until;
    }

    /// Connection probes to the engines of request 1's attempts.
    pub fn probes(&self) -> usize {
        self.out.iter().filter(|c| matches!(c, Command::ProbeConnection(1, ..))).count()
    }

    /// Advances the time while the engine of an attempt of request 1 answers every connection probe.
    pub fn advance_confirming_delivery(&mut self, attempt: AttemptNumber, until: Micros) {
        while self.now < until {
            let before = self.probes();
            self.advance((self.now + MS).min(until));
            if self.probes() > before {
                self.handle(Input::DeliveryConfirmed(1, attempt));
            }
        }
    }

    /// Advances to the first release call and returns its time, or `None` if no call is made by the given time.
    pub fn first_release_by(&mut self, until: Micros) -> Option<Micros> {
        while self.releases().is_empty() && self.now < until {
            self.advance((self.now + MS).min(until));
        }
        (!self.releases().is_empty()).then_some(self.now)
    }

    pub fn release_result(&mut self, engine: &str, acknowledged: bool) {
        self.handle(Input::Released(RequestId("x".into()), EngineId(engine.into()), acknowledged));
    }
}

/// The default release deadline.
pub const RELEASE_DEADLINE: Micros = 500 * MS;
