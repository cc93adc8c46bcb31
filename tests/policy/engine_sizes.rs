//! What the router takes an engine to be able to do, by the registered weights of its role.

use crate::common::*;
use crate::fixtures::serve;
use pintally::interface::*;

fn writer(name: &str, weight: f64) -> Endpoint {
    Endpoint { weight, ..endpoint(name, "near", 1) }
}

/// A node that knows a reader and these writers, and has served for a while.
fn warm_node(weight_kind: WeightKind, writers: &[f64]) -> Node {
    let mut endpoints = vec![endpoint("r1", "near", 1)];
    endpoints.extend(writers.iter().enumerate().map(|(i, weight)| writer(&format!("w{i}"), *weight)));
    let mut node = Node::new(Settings { weight_kind, ..settings() }, endpoints);
    for session in 0..60 {
        let name = format!("a{session}");
        node.request_arrived(request(&name, 0, session));
        serve(&mut node, &name);
        node.fire_due_timers();
    }
    node
}

fn relative_capacity(node: &Node, name: &str) -> f64 {
    let estimates = node.router.engine_estimates(node.now);
    estimates.into_iter().find(|estimate| estimate.engine == engine(name)).expect("listed").relative_capacity
}

/// The capacity of a writer that starts with this weight beside writers of weight 2.
fn capacity_of_new_writer(weight_kind: WeightKind, weight: f64) -> f64 {
    let mut node = warm_node(weight_kind, &[2.0, 2.0]);
    let starting = Endpoint { started: Some(node.now), ..writer("w9", weight) };
    node.update_endpoints(ListUpdate::Delta, vec![starting]);
    relative_capacity(&node, "w9")
}

#[test]
fn capacity_follows_the_kind_of_weight() {
    // Each line: the weight of the new engine, and its capacity by nominal, rough and live weights.
    let cases = [
        (0.25, 0.125, 0.25 / 3.0, 0.125),
        (0.5, 0.25, 0.5 / 3.0, 0.25),
        (1.5, 0.75, 1.0, 0.75),
        (2.0, 1.0, 1.0, 1.0),
        (2.8, 1.4, 1.0, 1.0),
        (16.0, 8.0, 16.0 / 3.0, 1.0),
    ];
    for (weight, nominal, rough, live) in cases {
        let expected = [
            (WeightKind::Nominal, nominal),
            (WeightKind::Rough, rough),
            (WeightKind::Live, live),
            (WeightKind::Off, 1.0),
        ];
        for (weight_kind, capacity) in expected {
            let found = capacity_of_new_writer(weight_kind, weight);
            assert!((found - capacity).abs() < 1e-9, "{weight_kind:?} {weight}: {found} is not {capacity}");
        }
    }
}

/// Guards against budgets without bound, or of a mean of 1 in any unit, where a size is missing or makes no sense.
#[test]
fn engine_without_a_plausible_size_counts_as_a_mean_one() {
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e9] {
        for weight_kind in [WeightKind::Off, WeightKind::Nominal, WeightKind::Rough, WeightKind::Live] {
            let found = capacity_of_new_writer(weight_kind, weight);
            assert_eq!(found, 1.0, "{weight_kind:?} {weight}");
        }
    }
    // Nor does such a peer change what the others count as.
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e9] {
        let node = warm_node(WeightKind::Nominal, &[2.0, weight, 2.0, 1.0]);
        let found = relative_capacity(&node, "w3");
        assert!((found - 0.6).abs() < 1e-9, "beside {weight}: {found}");
    }
}

/// Guards against the budget of a mean engine for one without a size, which may be as small as the smallest of its
/// kind.
#[test]
fn engine_without_a_size_counts_as_the_smallest_of_its_kind() {
    let cases = [
        (WeightKind::Nominal, 1.0 / 3.0),
        (WeightKind::Rough, 1.0 / 3.0 / 1.5),
        // The engine with the least live weight may be the one with the most load.
        (WeightKind::Live, 1.0),
        (WeightKind::Off, 1.0),
    ];
    for (weight_kind, expected) in cases {
        for weight in [0.0, -1.0, f64::NAN, 1e9] {
            // Under live weights, 1e9 may be the size of an engine without load.
            if weight == 1e9 && weight_kind == WeightKind::Live {
                continue;
            }
            let mut node = warm_node(weight_kind, &[2.0, 2.0, 0.5]);
            let starting = Endpoint { started: Some(node.now), ..writer("w9", weight) };
            node.update_endpoints(ListUpdate::Delta, vec![starting]);
            let found = relative_capacity(&node, "w9");
            assert!((found - expected).abs() < 1e-9, "{weight_kind:?} {weight}: {found} is not {expected}");
        }
    }
}

#[test]
fn live_weight_of_an_engine_under_load_does_not_hide_its_size() {
    let mut node = warm_node(WeightKind::Live, &[2.0, 2.0]);
    // The load of the peers grows to 19 requests per unit of size; the new engine is without load.
    node.update_endpoints(ListUpdate::Delta, vec![writer("w0", 0.1), writer("w1", 0.1)]);
    let starting = Endpoint { started: Some(node.now), ..writer("w9", 0.5) };
    node.update_endpoints(ListUpdate::Delta, vec![starting.clone()]);
    assert!((relative_capacity(&node, "w9") - 0.25).abs() < 1e-9);
    // Later it has load too.
    node.update_endpoints(ListUpdate::Delta, vec![Endpoint { weight: 0.1, ..starting }]);
    assert!((relative_capacity(&node, "w9") - 0.25).abs() < 1e-9);
    // Its replacement under the same name is smaller.
    let restarted = Endpoint { started: Some(node.now + SECOND), ..writer("w9", 0.2) };
    node.update_endpoints(ListUpdate::Delta, vec![restarted]);
    assert!((relative_capacity(&node, "w9") - 0.1).abs() < 1e-9);
}

#[test]
fn size_that_changes_while_an_engine_starts_counts_at_once() {
    let mut node = warm_node(WeightKind::Nominal, &[2.0, 2.0]);
    let starting = Endpoint { started: Some(node.now), ..writer("w9", 2.0) };
    node.update_endpoints(ListUpdate::Delta, vec![starting.clone()]);
    let before = node.router.engine_estimates(node.now)[3].slow_start_budget;
    let smaller = Endpoint { weight: 0.5, ..starting };
    node.update_endpoints(ListUpdate::Delta, vec![smaller.clone()]);
    // A later entry without a size does not change it.
    node.update_endpoints(ListUpdate::Delta, vec![Endpoint { weight: 0.0, ..smaller }]);
    let estimate = &node.router.engine_estimates(node.now)[3];
    assert_eq!((estimate.engine.clone(), estimate.relative_capacity), (engine("w9"), 0.25));
    assert!(estimate.slow_start_budget < before / 2.0, "{} after {before}", estimate.slow_start_budget);
}

#[test]
fn kind_of_machine_tells_the_capacity_where_no_weight_does() {
    let engine_kinds =
        vec![kind("r", Role::Reader), kind("w-large", Role::Writer), kind("w-small", Role::Writer)];
    let settings = Settings { engine_kinds, weight_kind: WeightKind::Off, ..settings() };
    let of_kind = |name: &str, kind: &str| Endpoint { kind: kind.into(), ..endpoint(name, "near", 1) };
    let writers = [of_kind("w1", "w-large"), of_kind("w2", "w-small")];
    let mut node = Node::new(settings, [vec![endpoint("r1", "near", 1)], writers.to_vec()].concat());
    let mut answers = [0, 0];
    for session in 0..400 {
        node.now += 500 * MS;
        node.fire_due_timers();
        let name = format!("a{session}");
        node.request_arrived(request(&name, 0, session));
        node.attempt_ended(&name, Outcome::Read);
        // The small one rejects three of four requests, which then go to the large one.
        if node.engine_of(&name) == Some("w2") && session % 4 > 0 {
            node.attempt_ended(&name, Outcome::Overloaded);
        }
        answers[usize::from(node.engine_of(&name) == Some("w2"))] += 1;
        node.first_token(&name);
        node.attempt_ended(&name, Outcome::Served);
    }
    println!("answers of the large and the small writer: {answers:?}");
    let starting = |name: &str, kind: &str| Endpoint { started: Some(node.now), ..of_kind(name, kind) };
    let new = vec![starting("w8", "w-large"), starting("w9", "w-small")];
    node.update_endpoints(ListUpdate::Delta, new);
    let (large, small) = (relative_capacity(&node, "w8"), relative_capacity(&node, "w9"));
    assert!((1.5..=2.0).contains(&large) && small < 0.5, "large {large}, small {small}");
}
