//! The budgets of engines in slow start, from the text of the settings and of the endpoint list on.

mod common;

use std::sync::Arc;

use common::*;
use pintally::interface::*;
use pintally::EngineEstimate;
use pintally_config::NodeSettings;
use pintally_host::{Host, Input, ListChange, ListFollower};

const SLOW_START: Micros = 14_000 * MS;

/// The name of an engine, its weight in the list if it has one, and its start time if it has just started.
type Entry<'a> = (&'a str, Option<f64>, Option<u64>);

fn list_text(version: u64, engines: &[Entry]) -> String {
    let engine = |(name, weight, started): &Entry| {
        let started = started.map_or(String::new(), |ms| format!(" (started-unix-ms {ms})"));
        let weight = weight.map_or(String::new(), |weight| format!(" (weight {weight})"));
        let kind = &name[..1];
        format!(" (engine \"{name}\" (address \"127.0.0.1:1\") (kind \"{kind}\"){weight}{started})")
    };
    format!("(engines (version {version}){})", engines.iter().map(engine).collect::<String>())
}

/// A node with such `(weights ...)`, which has answered requests by two writers of the weight `warm`, and its estimates
/// once engines of the weights `new` have started.
fn estimates_of_new_engines(weights: &str, warm: f64, new: [Option<f64>; 2]) -> [EngineEstimate; 2] {
    let text = SETTINGS
        .replace("(warm-after-ms 0) (tip-window-ms 1)", "(warm-after-ms 14000) (tip-window-ms 2000)")
        .replace("(rules ", &format!("(rules (weights {weights}) "));
    let settings = NodeSettings::parse("test", &text).expect("the settings are valid");
    let mut node = TestNode { host: Host::new(Arc::new(settings), 7), now: 60_000 * MS, out: Vec::new() };
    let mut follower = ListFollower::new(SLOW_START);
    let warm = [("r0", Some(1.0), None), ("w0", Some(warm), None), ("w1", Some(warm), None)];
    apply(&mut follower, &mut node, &list_text(1, &warm));
    for number in 0..400 {
        node.arrive(number, &format!("x{number}"));
        node.end(&node.last_attempt(), Outcome::Read);
        let write = node.last_attempt();
        node.handle(Input::FirstToken(write.number, write.attempt));
        node.end(&write, Outcome::Served);
        node.advance(node.now + 20 * MS);
    }
    let started = Some(node.now / MS);
    let new = [("w8", new[0], started), ("w9", new[1], started)];
    apply(&mut follower, &mut node, &list_text(2, &[warm.as_slice(), &new].concat()));
    let estimates = node.host.engine_estimates(node.now);
    ["w8", "w9"].map(|name| {
        let estimate = estimates.iter().find(|estimate| &*estimate.engine.0 == name);
        estimate.expect("it is listed").clone()
    })
}

fn apply(follower: &mut ListFollower, node: &mut TestNode, text: &str) {
    let ListChange::Changes(update, changes) = follower.apply("list", text, node.now, |ms| ms * MS) else {
        panic!("the list is not applied: {text}");
    };
    node.handle(Input::EndpointList(update, changes));
}

/// Guards against sizes that the settings or the list of engines name and that get lost on the way to the budget of a
/// small engine, which then falls over.
#[test]
fn budgets_follow_listed_weights() {
    for (weights, ratio) in [("yes", 0.25), ("rough", 0.25 / 1.5), ("live", 0.25), ("no", 1.0)] {
        let [equal, smaller] = estimates_of_new_engines(weights, 2.0, [Some(2.0), Some(0.5)]);
        println!("weights {weights}: {equal:?} {smaller:?}");
        assert!(equal.warming_up_for > 0 && smaller.warming_up_for > 0, "{weights}");
        assert!((smaller.relative_capacity - ratio).abs() < 1e-9, "{weights}: {smaller:?}");
        assert!((equal.relative_capacity - 1.0).abs() < 1e-9, "{weights}: {equal:?}");
        let most = equal.slow_start_budget * ratio.min(1.0);
        assert!(equal.slow_start_budget > 8.0, "{weights}: {equal:?}");
        assert!(smaller.slow_start_budget <= most + 1e-9, "{weights}: {smaller:?}");
    }
}

/// Guards against an engine without a weight that counts as one of weight 1 among engines of any other unit: it got
/// six times the budget of an equal one.
#[test]
fn engine_without_a_weight_has_no_size() {
    for weight in [None, Some(0.0)] {
        let [equal, unknown] = estimates_of_new_engines("yes", 0.125, [Some(0.125), weight]);
        assert_eq!((equal.relative_capacity, unknown.relative_capacity), (1.0, 1.0), "{weight:?}");
        assert_eq!(equal.slow_start_budget, unknown.slow_start_budget, "{weight:?}");
    }
}
