//! The invariants that are visible to a node, over generated legal sequences of events. The recording node in
//! `common` asserts them at every action; engines are not modelled.

mod common;

use common::*;
use pintally::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// One step of a sequence. The number `selector` is taken modulo the number of candidates.
#[derive(Clone, Debug)]
enum Step {
    RequestArrives { class: usize, session: u64, prefix: u64, tokens: u64, client_timeout: Micros },
    AttemptEnds { selector: usize, outcome: usize, cached: u64 },
    FirstToken { selector: usize },
    ClientLeaves { selector: usize },
    EndpointList { full: bool, engine: usize, state: usize, restarted: bool },
    TimerFires { maintenance: bool },
    TimePasses { duration: Micros },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..4, 0u64..6, 0u64..4, 0u64..9_000, 50_000u64..6_000_000).prop_map(
            |(class, session, prefix, tokens, client_timeout)| Step::RequestArrives { class, session, prefix, tokens, client_timeout }
        ),
        8 => (0usize..64, 0usize..12, 0u64..4_000)
            .prop_map(|(selector, outcome, cached)| Step::AttemptEnds { selector, outcome, cached }),
        3 => (0usize..64).prop_map(|selector| Step::FirstToken { selector }),
        1 => (0usize..64).prop_map(|selector| Step::ClientLeaves { selector }),
        1 => (any::<bool>(), 0usize..8, 0usize..3, any::<bool>()).prop_map(
            |(full, engine, state, restarted)| Step::EndpointList { full, engine, state, restarted }
        ),
        1 => any::<bool>().prop_map(|maintenance| Step::TimerFires { maintenance }),
        4 => (0u64..400_000).prop_map(|duration| Step::TimePasses { duration }),
    ]
}

fn generated_settings() -> impl Strategy<Value = Settings> {
    (any::<(bool, bool, bool, bool)>(), 2u32..7, 0usize..3, 1u32..4, 0usize..3).prop_map(
        |((cancellation, health_checks, retry_after, subscribe), max_attempts, scope, nodes, reports)| {
            let scope = [IdempotencyScope::All, IdempotencyScope::Zone, IdempotencyScope::Rack][scope];
            // Few nodes, or so many that each sees next to nothing of the traffic.
            let nodes = if nodes == 3 { 150 } else { nodes };
            let mut settings = Settings {
                cancellation_allowed: cancellation,
                health_checks_allowed: health_checks,
                clients_honour_retry_after: retry_after,
                max_attempts,
                node_count: nodes,
                ..settings()
            };
            settings.classes[2] = class("keyed", Idempotency::WithKey(scope, SECOND));
            settings.discovery_mode = if subscribe { DiscoveryMode::Subscribe } else { DiscoveryMode::Push };
            settings.load_reporting =
                [LoadReporting::Inline, LoadReporting::OnHealthCheck, LoadReporting::Off][reports];
            settings.tenants = vec![Tenant { name: "t".into(), quota_per_s: 2.0 }];
            settings
        },
    )
}

fn engine_names() -> Vec<&'static str> {
    vec!["r1", "r2", "w1", "w2", "m1", "r3", "w3", "m2"]
}

fn endpoint_at(index: usize) -> Endpoint {
    let zone = if index < 4 { "near" } else { "far" };
    endpoint(engine_names()[index], zone, index as u64 / 2)
}

/// Requests with an attempt in flight, in a fixed order.
fn in_flight(node: &Node, streaming: bool) -> Vec<RequestId> {
    let requests = node
        .attempts
        .keys()
        .filter(|r| node.has_attempt_in_flight(r) && node.has_first_token(r) == streaming);
    requests.cloned().collect()
}

fn is_read(node: &Node, request: &RequestId) -> bool {
    node.attempts[request].last().is_some_and(|a| a.0 .0.starts_with('r'))
}

/// Advances the time. Times out attempts at their request's deadline, as a host would, and fires due timers.
fn advance_time(node: &mut Node, duration: Micros) {
    let until = node.now + duration;
    while node.now < until {
        node.now = until.min(node.now + 10 * MS);
        for request in in_flight(node, false) {
            if node.now >= node.deadline(&request) {
                node.attempt_ended(&request.0, Outcome::TimedOut);
            }
        }
        node.fire_due_timers();
    }
}

fn run_steps(settings: Settings, steps: &[Step]) -> Vec<Action> {
    let mut node = Node::new(settings, (0..5).map(endpoint_at).collect());
    for (number, step) in steps.iter().enumerate() {
        match step.clone() {
            Step::RequestArrives { class, session, prefix, tokens, client_timeout } => {
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
            Step::AttemptEnds { selector, outcome, cached } => {
                let streaming = outcome >= 10;
                let candidates = in_flight(&node, streaming);
                if candidates.is_empty() {
                    continue;
                }
                let request = candidates[selector % candidates.len()].clone();
                let outcome = match outcome {
                    _ if streaming => [Outcome::Served, Outcome::ConnectionBroken][selector % 2],
                    0..=4 if is_read(&node, &request) => Outcome::Read,
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
            Step::FirstToken { selector } => {
                let candidates: Vec<_> =
                    in_flight(&node, false).into_iter().filter(|r| !is_read(&node, r)).collect();
                if let Some(request) =
                    candidates.get(selector % candidates.len().max(1)).filter(|r| !node.is_finished(r))
                {
                    node.first_token(&request.0.clone());
                }
            }
            Step::ClientLeaves { selector } => {
                let candidates = node.unanswered();
                if let Some(request) = candidates.get(selector % candidates.len().max(1)) {
                    node.client_left(&request.0.clone());
                }
            }
            Step::EndpointList { full, engine, state, restarted } => {
                let state = [EndpointState::Serving, EndpointState::Draining, EndpointState::Gone][state];
                let started = restarted.then_some(node.now);
                let changed = Endpoint { state, started, ..endpoint_at(engine) };
                if full {
                    node.update_endpoints(
                        ListUpdate::Full,
                        (0..engine).map(endpoint_at).chain([changed]).collect(),
                    );
                } else {
                    node.update_endpoints(ListUpdate::Delta, vec![changed]);
                }
            }
            Step::TimerFires { maintenance } => {
                node.handle(Event::TimerFired(if maintenance {
                    Timer::Maintenance
                } else {
                    Timer::DispatchPending
                }));
            }
            Step::TimePasses { duration } => advance_time(&mut node, duration),
        }
    }
    advance_time(&mut node, 8 * SECOND);
    assert_eq!(node.unanswered(), Vec::<RequestId>::new(), "every request has its final answer");
    node.actions
}

fn seeded_runner() -> TestRunner {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]))
}

#[test]
fn invariants_hold_over_any_legal_sequence() {
    let steps = prop::collection::vec(step(), 1..160);
    seeded_runner()
        .run(&(generated_settings(), steps), |(settings, steps)| {
            run_steps(settings, &steps);
            Ok(())
        })
        .unwrap();
}

#[test]
fn same_events_give_same_actions() {
    let steps = prop::collection::vec(step(), 1..80);
    seeded_runner()
        .run(&(generated_settings(), steps), |(settings, steps)| {
            prop_assert_eq!(run_steps(settings.clone(), &steps), run_steps(settings, &steps));
            Ok(())
        })
        .unwrap();
}
