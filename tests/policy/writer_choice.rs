//! The choice of a writer.

use crate::common::*;
use crate::fixtures::{report, serve, session_of};
use pintally::interface::*;

#[test]
fn least_loaded_writer_is_chosen_and_nearest_among_equals() {
    let endpoints = vec![
        endpoint("r1", "near", 1),
        endpoint("w1", "far", 3),
        endpoint("w2", "near", 2),
        endpoint("w3", "near", 1),
    ];
    let mut node = Node::new(settings(), endpoints);
    let mut chosen = vec![];
    for i in 0..6 {
        let name = format!("s{i}");
        node.request_arrived(request(&name, 0, i));
        node.attempt_ended(&name, Outcome::Read);
        chosen.push(node.engine_of(&name).unwrap().to_string());
        node.now += 5 * MS;
        node.first_token(&name);
    }
    assert_eq!(chosen[0], "w3", "the reader's rack first");
    assert!(
        chosen.contains(&"w2".to_string()),
        "the reader's zone when the writer in the rack has more streams"
    );
    assert!(chosen.contains(&"w1".to_string()), "then other zones");
}

#[test]
fn slow_link_keeps_states_in_rack() {
    let endpoints = vec![endpoint("r1", "near", 1), endpoint("w1", "near", 1), endpoint("w2", "far", 2)];
    let mut node = Node::new(settings(), endpoints);
    let mut far_of_last_20 = 0;
    for i in 0..40 {
        let name = format!("s{i}");
        node.request_arrived(request(&name, 0, i));
        node.now += 10 * MS;
        node.attempt_ended(&name, Outcome::Read);
        let went_far = node.engine_of(&name) == Some("w2");
        node.now += if went_far { 900 * MS } else { 10 * MS };
        node.first_token(&name);
        far_of_last_20 += usize::from(i >= 20 && went_far);
    }
    assert!(far_of_last_20 <= 2, "{far_of_last_20} of the last 20 left the rack");
}

#[test]
fn mixed_engines_write_only_where_all_writers_are_overloaded() {
    let endpoints = vec![endpoint("r1", "near", 1), endpoint("w1", "near", 2), endpoint("m1", "near", 1)];
    let session = session_of("r1", &endpoints);
    for (memory, writer) in [(0.5, "w1"), (0.95, "m1")] {
        let mut node = Node::new(settings(), endpoints.clone());
        report(&mut node, "w1", memory);
        report(&mut node, "m1", 0.1);
        node.request_arrived(request("a", 0, session));
        assert_eq!(node.engine_of("a"), Some("r1"));
        node.attempt_ended("a", Outcome::Read);
        assert_eq!(node.engine_of("a"), Some(writer));
    }
}

#[test]
fn old_load_report_loses_weight() {
    let endpoints = vec![
        endpoint("r1", "near", 1),
        endpoint("w1", "near", 1),
        endpoint("w2", "near", 2),
        endpoint("w3", "near", 2),
    ];
    // The near writer has reported a high load: a far one is chosen at first, and the near one again later.
    for (wait, near) in [(0, false), (20 * SECOND, true)] {
        let mut node = Node::new(Settings { node_count: 100, ..settings() }, endpoints.clone());
        for (name, memory) in [("w1", 0.85), ("w2", 0.1), ("w3", 0.1)] {
            report(&mut node, name, memory);
        }
        node.now += wait;
        node.request_arrived(request("a", 0, 1));
        node.attempt_ended("a", Outcome::Read);
        assert_eq!(node.engine_of("a") == Some("w1"), near, "after {wait} us");
    }
}

#[test]
fn without_reports_near_writers_take_their_even_share() {
    // One rack has five readers and one writer, the other one reader and five writers. All writers are equally
    // loaded as far as the node can see, so the near one would always be chosen.
    let mut endpoints = vec![endpoint("w1", "near", 1), endpoint("r6", "near", 2)];
    endpoints.extend((1..=5).map(|i| endpoint(&format!("r{i}"), "near", 1)));
    endpoints.extend((2..=6).map(|i| endpoint(&format!("w{i}"), "near", 2)));
    for (reports, mostly) in [(LoadReporting::Off, false), (LoadReporting::Inline, true)] {
        let mut node =
            Node::new(Settings { load_reporting: reports, node_count: 200, ..settings() }, endpoints.clone());
        let (mut near, mut read) = (0, 0);
        for i in 0..400 {
            let name = format!("q{i}");
            node.request_arrived(request(&name, 0, i));
            if node.engine_of(&name) == Some("r6") {
                serve(&mut node, &name);
                continue;
            }
            read += 1;
            node.now += 50 * MS;
            node.attempt_ended(&name, Outcome::Read);
            near += usize::from(node.engine_of(&name) == Some("w1"));
            node.first_token(&name);
            node.attempt_ended(&name, Outcome::Served);
            node.now += SECOND;
        }
        assert!(read > 250 && near > 20, "{near} of {read}");
        assert_eq!(near > read / 2, mostly, "{reports:?}: {near} of {read} at the near writer");
    }
}

#[test]
fn weights_are_relative_to_role_mean() {
    // Guards against absolute weights: with weights of 22, 22 streams counted as one and near writers were
    // chosen whatever their load.
    for weight in [1.0, 22.0] {
        let weighted = |name: &str, rack| Endpoint { weight, ..endpoint(name, "near", rack) };
        let endpoints = vec![weighted("r1", 1), weighted("w1", 1), weighted("w2", 2), weighted("w3", 2)];
        let mut node = Node::new(settings(), endpoints);
        let mut near = 0;
        for i in 0..9 {
            let name = format!("q{i}");
            node.request_arrived(request(&name, 0, i));
            node.now += 20 * MS;
            node.attempt_ended(&name, Outcome::Read);
            near += usize::from(node.engine_of(&name) == Some("w1"));
            node.first_token(&name);
        }
        assert!((3..=6).contains(&near), "weight {weight}: {near} of 9 streams at the near writer");
    }
}

#[test]
fn rejection_of_one_tenant_concerns_only_that_tenant() {
    let tenants = ["one", "other"].map(|name| Tenant { name: name.into(), quota_per_s: 100.0 }).to_vec();
    let endpoints = vec![endpoint("r1", "near", 1), endpoint("w1", "near", 1), endpoint("w2", "near", 2)];
    let of = |name: &str, tenant| Request { tenant: Some(tenant), ..request(name, 0, 1) };
    let mut node = Node::new(Settings { tenants, ..settings() }, endpoints);
    report(&mut node, "w1", 0.2);
    report(&mut node, "w2", 0.2);
    node.request_arrived(of("a", 0));
    node.attempt_ended("a", Outcome::Read);
    assert_eq!(node.engine_of("a"), Some("w1"));
    node.attempt_ended("a", Outcome::Overloaded);
    node.first_token("a");
    let mut next = |name: &str, tenant, wait| {
        node.now += wait;
        node.request_arrived(of(name, tenant));
        node.attempt_ended(name, Outcome::Read);
        let at = node.engine_of(name).map(str::to_string);
        node.first_token(name);
        node.attempt_ended(name, Outcome::Served);
        at
    };
    assert_eq!(next("b", 0, SECOND).as_deref(), Some("w2"), "the rejected tenant avoids it");
    assert_eq!(next("c", 1, MS).as_deref(), Some("w1"), "the other tenant does not");
    assert_eq!(next("d", 0, 20 * SECOND).as_deref(), Some("w1"), "the rejected tenant tries it again");
}
