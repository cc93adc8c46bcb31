//! The invariants that a node can see, over generated legal sequences of events. The recorder in
//! `common` asserts them at every action; there is no model of engines here.

mod common;

use common::*;
use pintally::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// One step of a sequence; numbers are taken modulo what there is to choose from.
#[derive(Clone, Debug)]
enum Step {
    Arrive { class: usize, session: u64, prefix: u64, tokens: u64, client_timeout: Micros },
    End { which: usize, outcome: usize, cached: u64 },
    First { which: usize },
    Withdraw { which: usize },
    List { full: bool, engine: usize, listing: usize, restarted: bool },
    Fire { watch: bool },
    Pass { span: Micros },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..4, 0u64..6, 0u64..4, 0u64..9_000, 50_000u64..6_000_000).prop_map(
            |(class, session, prefix, tokens, client_timeout)| Step::Arrive { class, session, prefix, tokens, client_timeout }
        ),
        8 => (0usize..64, 0usize..12, 0u64..4_000)
            .prop_map(|(which, outcome, cached)| Step::End { which, outcome, cached }),
        3 => (0usize..64).prop_map(|which| Step::First { which }),
        1 => (0usize..64).prop_map(|which| Step::Withdraw { which }),
        1 => (any::<bool>(), 0usize..8, 0usize..3, any::<bool>()).prop_map(
            |(full, engine, listing, restarted)| Step::List { full, engine, listing, restarted }
        ),
        1 => any::<bool>().prop_map(|watch| Step::Fire { watch }),
        4 => (0u64..400_000).prop_map(|span| Step::Pass { span }),
    ]
}

fn varied() -> impl Strategy<Value = Settings> {
    (any::<(bool, bool, bool, bool)>(), 2u32..7, 0usize..3, 1u32..4, 0usize..3).prop_map(
        |((cancellation, health_checks, retry_after, subscribe), max_attempts, group, nodes, reports)| {
            let group = [IdempotencyScope::All, IdempotencyScope::Zone, IdempotencyScope::Rack][group];
            // Few nodes, or so many that each sees next to nothing.
            let nodes = if nodes == 3 { 150 } else { nodes };
            let mut settings = Settings {
                cancellation_allowed: cancellation,
                health_checks_allowed: health_checks,
                clients_honour_retry_after: retry_after,
                max_attempts,
                node_count: nodes,
                ..settings()
            };
            settings.classes[2] = class("keyed", Idempotency::WithKey(group, SECOND));
            settings.discovery_mode = if subscribe { DiscoveryMode::Subscribe } else { DiscoveryMode::Push };
            settings.load_reporting =
                [LoadReporting::Inline, LoadReporting::OnHealthCheck, LoadReporting::Off][reports];
            settings.tenants = vec![Tenant { name: "t".into(), quota_per_s: 2.0 }];
            settings
        },
    )
}

fn names() -> Vec<&'static str> {
    vec!["r1", "r2", "w1", "w2", "m1", "r3", "w3", "m2"]
}

fn entry(index: usize) -> Endpoint {
    let zone = if index < 4 { "near" } else { "far" };
    endpoint(names()[index], zone, index as u64 / 2)
}

/// Requests with an attempt out, in a fixed order.
fn out(node: &Node, streaming: bool) -> Vec<RequestId> {
    let all = node
        .attempts
        .keys()
        .filter(|r| node.has_attempt_in_flight(r) && node.has_first_token(r) == streaming);
    all.cloned().collect()
}

fn reads(node: &Node, request: &RequestId) -> bool {
    node.attempts[request].last().is_some_and(|a| a.0 .0.starts_with('r'))
}

/// Ends the attempts whose time is up, as a host would, and fires the timer for pending requests.
fn pass(node: &mut Node, span: Micros) {
    let until = node.now + span;
    while node.now < until {
        node.now = until.min(node.now + 10 * MS);
        for request in out(node, false) {
            if node.now >= node.deadline(&request) {
                node.attempt_ended(&request.0, Outcome::TimedOut);
            }
        }
        node.fire_due_timers();
    }
}

fn play(settings: Settings, steps: &[Step]) -> Vec<Action> {
    let mut node = Node::new(settings, (0..5).map(entry).collect());
    for (number, step) in steps.iter().enumerate() {
        match step.clone() {
            Step::Arrive { class, session, prefix, tokens, client_timeout } => {
                node.request_arrived(Request {
                    class: (class < 3).then_some(class),
                    tenant: (session % 2 == 0).then_some(0),
                    prefix: (prefix > 0).then_some(prefix),
                    prefix_tokens: tokens / 2,
                    prompt_tokens: tokens,
                    client_timeout,
                    resumed: tokens % 5 == 0,
                    ..request(&format!("q{number:04}"), 0, session)
                });
            }
            Step::End { which, outcome, cached } => {
                let streaming = outcome >= 10;
                let open = out(&node, streaming);
                if open.is_empty() {
                    continue;
                }
                let request = open[which % open.len()].clone();
                let outcome = match outcome {
                    _ if streaming => [Outcome::Served, Outcome::ConnectionBroken][which % 2],
                    0..=4 if reads(&node, &request) => Outcome::Read,
                    0..=2 => Outcome::Served,
                    3 | 4 => Outcome::StateNotFound,
                    5 => Outcome::Overloaded,
                    6 => Outcome::Unreachable,
                    7 => Outcome::ConnectionBroken,
                    8 => Outcome::Error,
                    _ => Outcome::TimedOut,
                };
                let attempt = node.attempts[&request].len() - 1;
                node.attempt_ended_with(&request.0, attempt, outcome, cached);
            }
            Step::First { which } => {
                let open: Vec<_> = out(&node, false).into_iter().filter(|r| !reads(&node, r)).collect();
                if let Some(request) = open.get(which % open.len().max(1)).filter(|r| !node.is_over(r)) {
                    node.first_token(&request.0.clone());
                }
            }
            Step::Withdraw { which } => {
                let owed = node.unanswered();
                if let Some(request) = owed.get(which % owed.len().max(1)) {
                    node.client_left(&request.0.clone());
                }
            }
            Step::List { full, engine, listing, restarted } => {
                let listing = [EndpointState::Serving, EndpointState::Draining, EndpointState::Gone][listing];
                let started = restarted.then_some(node.now);
                let changed = Endpoint { state: listing, started, ..entry(engine) };
                if full {
                    node.update_endpoints(
                        ListUpdate::Full,
                        (0..engine).map(entry).chain([changed]).collect(),
                    );
                } else {
                    node.update_endpoints(ListUpdate::Delta, vec![changed]);
                }
            }
            Step::Fire { watch } => {
                node.handle(Event::TimerFired(if watch {
                    Timer::Maintenance
                } else {
                    Timer::DispatchPending
                }));
            }
            Step::Pass { span } => pass(&mut node, span),
        }
    }
    pass(&mut node, 8 * SECOND);
    assert_eq!(node.unanswered(), Vec::<RequestId>::new(), "every request has its final answer");
    node.actions
}

fn runner() -> TestRunner {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]))
}

#[test]
fn invariants_hold_over_any_legal_sequence() {
    let steps = prop::collection::vec(step(), 1..160);
    runner()
        .run(&(varied(), steps), |(settings, steps)| {
            play(settings, &steps);
            Ok(())
        })
        .unwrap();
}

#[test]
fn the_same_events_give_the_same_actions() {
    let steps = prop::collection::vec(step(), 1..80);
    runner()
        .run(&(varied(), steps), |(settings, steps)| {
            prop_assert_eq!(play(settings.clone(), &steps), play(settings, &steps));
            Ok(())
        })
        .unwrap();
}
