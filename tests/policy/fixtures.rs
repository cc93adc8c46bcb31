//! Fleets and helpers that several tests use.

use crate::common::*;
use pintally::interface::*;

pub fn pair() -> Vec<Endpoint> {
    vec![endpoint("r1", "near", 1), endpoint("w1", "near", 1)]
}

pub fn fleet() -> Vec<Endpoint> {
    let mut endpoints = vec![];
    for i in 1..=4 {
        endpoints.push(endpoint(&format!("r{i}"), "near", i % 2));
        endpoints.push(endpoint(&format!("w{i}"), "near", i % 2));
    }
    endpoints
}

pub fn serve(node: &mut Node, name: &str) {
    node.now += 50 * MS;
    node.attempt_ended(name, Outcome::Read);
    node.now += 20 * MS;
    node.first_token(name);
    node.now += 100 * MS;
    node.attempt_ended(name, Outcome::Served);
}

/// A session whose first prompt is sent to this engine of the fleet.
pub fn session_of(reader: &str, endpoints: &[Endpoint]) -> u64 {
    key_of(&[reader], endpoints, |session| request("x", 0, session))
}

/// The first key whose request is sent to one of these readers.
pub fn key_of(readers: &[&str], endpoints: &[Endpoint], request_of: impl Fn(u64) -> Request) -> u64 {
    let is_sent_to_reader = |key: &u64| {
        let mut node = Node::new(settings(), endpoints.to_vec());
        node.request_arrived(request_of(*key));
        node.engine_of("x").is_some_and(|at| readers.contains(&at))
    };
    (0..1_000).find(is_sent_to_reader).expect("each reader is preferred for some key")
}

pub fn report(node: &mut Node, name: &str, memory: f64) {
    let load = LoadReport { memory: Some(memory), ..LoadReport::default() };
    node.handle(Event::HealthChecked(engine(name), true, Some(load)));
}
