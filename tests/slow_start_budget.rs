//! What many independent nodes send to engines that have just started, all together.
//!
//! Nodes know their number and how many they are, and nothing of each other. In every window of the
//! settings an engine in slow start bears `N` requests of mean work, `N` being the settings' multiple of what it can
//! do meanwhile. Chance has to be allowed for: the operators count an engine as overloaded above
//! `N + 2 sqrt(N) + 2`.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use pintally::interface::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Engines of each role before and after two more of each start.
const WARM_ENGINES: usize = 6;
const NEW_ENGINES: usize = 2;
/// Requests a second that a warm engine can do, and how far the fleet is used before the burst.
const CAPACITY_PER_S: f64 = 4.0;
const UTILISATION: f64 = 0.6;
/// Traffic before the engines start, and how long the new ones are watched.
const BEFORE: Micros = 40 * SECOND;
const WATCHED: Micros = 8 * SECOND;
/// How long a read and a whole answer take, and how often a node's timers are looked at.
const READ_TIME: Micros = 150 * MS;
const ANSWER_TIME: Micros = 900 * MS;
const STEP: Micros = 50 * MS;
/// How many times the usual traffic comes once the engines have started, and the seeds played.
const BURST: f64 = 1.7;
const SEEDS: std::ops::Range<u64> = 1..6;
/// Shared prefixes, and the part of the requests that has one.
const SHARED_PREFIXES: u64 = 12;
const SHARED_PART: f64 = 0.75;

/// What a fleet goes through while new engines start.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    nodes: u32,
    /// The part of the nodes that restart at that moment.
    restarted: f64,
    /// The part of the requests that have one and the same prefix.
    hot_prefix: f64,
    /// That prefix changes at that moment to one that nobody has seen.
    unseen: bool,
}

fn engines(from: usize, to: usize, started: Option<Micros>) -> Vec<Endpoint> {
    let names = (from..to).flat_map(|i| [(format!("r{i}"), i), (format!("w{i}"), i)]);
    names.map(|(name, i)| Endpoint { started, ..endpoint(&name, "near", (i % 2) as u64) }).collect()
}

/// How much of the traffic each node sees: some see several times the mean.
fn weights(nodes: u32, dice: &mut ChaCha8Rng) -> Vec<f64> {
    let drawn: Vec<f64> = (0..nodes).map(|_| -dice.random_range(1e-9..1.0f64).ln()).collect();
    let sum: f64 = drawn.iter().sum();
    drawn.iter().map(|weight| weight / sum).collect()
}

fn drawn_request(name: &str, scenario: Scenario, fresh: Option<u64>, dice: &mut ChaCha8Rng) -> Request {
    let plain = request(name, 0, dice.random_range(1..1 << 40));
    let prefix = match dice.random_range(0.0..1.0) {
        // Nobody has seen it before the engines start.
        draw if draw < scenario.hot_prefix => Some(fresh.unwrap_or(2)),
        draw if draw < scenario.hot_prefix + (1.0 - scenario.hot_prefix) * SHARED_PART => {
            Some(3 + dice.random_range(0..SHARED_PREFIXES))
        }
        _ => None,
    };
    Request { prefix, prefix_tokens: prefix.map_or(0, |_| 1_200), ..plain }
}

/// One node's part of the scenario: its sends to engines in slow start.
fn play(number: u32, weight: f64, scenario: Scenario, seed: u64) -> Vec<(EngineId, Micros)> {
    let mut dice = ChaCha8Rng::seed_from_u64(seed << 16 | u64::from(number));
    let settings = Settings { node_index: number, node_count: scenario.nodes, ..settings() };
    let mut node = Node::new(settings.clone(), engines(0, WARM_ENGINES, None));
    let start = node.now + BEFORE;
    let rate = CAPACITY_PER_S * WARM_ENGINES as f64 * UTILISATION * weight;
    let mut listed = false;
    let mut serial = 0;
    // Requests by name and the time of their next event: a read's end, then an answer's.
    let mut under_way: Vec<(Micros, String)> = Vec::new();
    let mut seen = BTreeSet::new();
    let mut sends = Vec::new();
    while node.now < start + WATCHED {
        if node.now >= start && !listed {
            listed = true;
            if dice.random_range(0.0..1.0) < scenario.restarted {
                let now = node.now;
                node = Node::new(settings.clone(), engines(0, WARM_ENGINES, None));
                node.now = now;
                under_way.clear();
            }
            node.update_endpoints(
                ListUpdate::Delta,
                engines(WARM_ENGINES, WARM_ENGINES + NEW_ENGINES, Some(start)),
            );
        }
        let wanted = rate * if listed { BURST } else { 1.0 } * STEP as f64 / 1e6;
        let whole = wanted.floor() as usize;
        let many = whole + usize::from(dice.random_range(0.0..1.0) < wanted - whole as f64);
        let fresh = (listed && scenario.unseen).then_some(1_000 + seed);
        for _ in 0..many {
            serial += 1;
            let name = format!("n{number}-{serial}");
            node.request_arrived(drawn_request(&name, scenario, fresh, &mut dice));
        }
        node.fire_due_timers();
        for (_, name) in extract_due(&mut under_way, node.now) {
            let reads = node.engine_of(&name).is_some_and(|at| at.starts_with('r'));
            if reads {
                node.attempt_ended(&name, Outcome::Read);
            } else {
                node.first_token(&name);
                node.attempt_ended(&name, Outcome::Served);
            }
        }
        let fresh = node.attempts.iter().filter(|(id, all)| !seen.contains(&((*id).clone(), all.len())));
        let fresh: Vec<_> =
            fresh.map(|(id, all)| (id.clone(), all.len(), all[all.len() - 1].clone())).collect();
        for (id, attempts, (engine, at, _)) in fresh {
            seen.insert((id.clone(), attempts));
            let takes = if engine.0.starts_with('r') { READ_TIME } else { ANSWER_TIME };
            under_way.push((at + takes, id.0.to_string()));
            let index: usize = engine.0[1..].parse().expect("a number");
            if listed && index >= WARM_ENGINES {
                sends.push((engine, at));
            }
        }
        node.now += STEP;
    }
    sends
}

fn extract_due(under_way: &mut Vec<(Micros, String)>, now: Micros) -> Vec<(Micros, String)> {
    let (due, later) = std::mem::take(under_way).into_iter().partition(|(at, _)| *at <= now);
    *under_way = later;
    due
}

/// The most that any new engine got within one window, and what all new ones got together.
fn most_and_all(scenario: Scenario, seed: u64) -> (usize, usize) {
    let mut dice = ChaCha8Rng::seed_from_u64(seed);
    let weights = weights(scenario.nodes, &mut dice);
    let mut by_engine: BTreeMap<EngineId, Vec<Micros>> = BTreeMap::new();
    for (number, weight) in weights.iter().enumerate() {
        for (engine, at) in play(number as u32, *weight, scenario, seed) {
            by_engine.entry(engine).or_default().push(at);
        }
    }
    let window = settings().overload_window;
    let within =
        |all: &[Micros], from: Micros| all.iter().filter(|at| (from..from + window).contains(at)).count();
    let most =
        by_engine.values().flat_map(|all| all.iter().map(|from| within(all, *from))).max().unwrap_or(0);
    (most, by_engine.values().map(Vec::len).sum())
}

/// Holds the sum over all nodes to the bound, whatever their number: each of them only knows its own part of
/// the traffic, some see several times the mean, a burst comes just as the engines start, half of it or
/// nearly all of it may have one and the same prefix, seen before or not, and all nodes may have
/// restarted in the same moment. Nor may they be starved: readers and writers together get a sixteenth of what
/// they bear on the mean, in a fleet where warm ones have capacity.
#[test]
fn independent_nodes_stay_within_slow_start_budget_without_starvation() {
    let settings = settings();
    let windows = (WATCHED / settings.overload_window) as f64;
    let borne = settings.overload_factor
        * settings.slow_start_min_capacity
        * CAPACITY_PER_S
        * settings.overload_window as f64
        / 1e6;
    let bound = borne + 2.0 * borne.sqrt() + 2.0;
    let engines = (2 * NEW_ENGINES) as f64;
    for nodes in [1, 3, 30, 300] {
        for hot_prefix in [0.0, 0.5, 0.95] {
            for (restarted, unseen) in [(0.0, false), (1.0, false), (0.0, true), (1.0, true)] {
                let scenario = Scenario { nodes, restarted, hot_prefix, unseen };
                let results: Vec<_> = SEEDS.map(|seed| most_and_all(scenario, seed)).collect();
                let most = results.iter().map(|(most, _)| *most).max().unwrap_or(0);
                let all: usize = results.iter().map(|(_, all)| *all).sum();
                let mean = all as f64 / results.len() as f64 / windows / engines;
                println!("{scenario:?}, seeds {SEEDS:?}: at most {most} of {bound:.1}, mean {mean:.2}");
                assert!(most as f64 <= bound, "{scenario:?}: {most} in one window, {bound:.1} at most");
                assert!(mean >= borne / 16.0, "{scenario:?}: starved with {mean:.2} of {borne:.1}");
            }
        }
    }
}
