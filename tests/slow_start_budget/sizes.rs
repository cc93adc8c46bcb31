//! The budgets of engines that are smaller or larger than the others.

use crate::common::*;
use crate::simulation::*;
use pintally::interface::*;

/// Requests per second that a warm engine of size 1 can do.
const CAPACITY_PER_S: f64 = 6.0;
/// First tokens come on target, so that nodes start as many requests as arrive.
const FIRST_TOKEN_TIME: Micros = 100 * MS;
/// An engine gets at most this fraction of what makes it fall over, in any window.
const LIMIT_FRACTION: f64 = 0.7;

fn scenario(nodes: u32, new_engines: usize, sizes: Sizes) -> Scenario {
    Scenario {
        nodes,
        restarted: 0.0,
        hot_prefix: 0.0,
        unseen: false,
        capacity_per_s: CAPACITY_PER_S,
        fleet_change: FleetChange::AddedUnderLoad(new_engines),
        first_token_time: FIRST_TOKEN_TIME,
        sizes,
    }
}

/// Checks that every engine that starts stays within the bound for its own size.
fn check_limits(scenario: Scenario) {
    for seed in SEEDS {
        for ((engine, number), sends) in sends_by_engine(scenario, seed) {
            let size = scenario.sizes.of(number);
            let budget = requests_per_window(&settings(), CAPACITY_PER_S * size);
            let bound = LIMIT_FRACTION * overload_limit(budget);
            let most = max_in_window(&sends);
            println!("{scenario:?}, seed {seed}: {engine:?} of size {size}: at most {most} of {bound:.1}");
            assert!(
                most as f64 <= bound,
                "{scenario:?}, seed {seed}: {engine:?} of size {size}: {most} of {bound:.1}"
            );
        }
    }
}

/// Guards against the budget of a mean engine for one that is smaller: it fell over within a second.
#[test]
fn nodes_respect_slow_start_budget_of_other_sizes() {
    let fleets: [(&[f64], &[f64]); 4] = [
        (&[2.0], &[0.25, 0.5, 1.0, 2.0]),
        (&[2.0], &[0.25, 0.25, 0.25]),
        (&[1.0], &[8.0, 4.0, 2.0]),
        (&[0.5, 1.0, 4.0], &[0.5, 4.0, 8.0]),
    ];
    for (warm, new) in fleets {
        for nodes in [1, 3, 30, 300] {
            let sizes = Sizes { warm, new, weight_kind: WeightKind::Nominal };
            check_limits(scenario(nodes, new.len(), sizes));
        }
    }
}

/// Guards against weights that are taken for sizes although they are estimates, or sizes over loads: an engine
/// without load is then listed as many times as large as its peers.
#[test]
fn nodes_respect_slow_start_budget_for_each_kind_of_weight() {
    let fleets: [(WeightKind, &[f64]); 3] = [
        (WeightKind::Rough, &[0.25, 0.5, 2.0, 8.0]),
        (WeightKind::Live, &[0.25, 2.0, 8.0]),
        (WeightKind::Off, &[2.0, 8.0]),
    ];
    for (weight_kind, new) in fleets {
        for nodes in [1, 3, 30, 300] {
            let sizes = Sizes { warm: &[2.0], new, weight_kind };
            check_limits(scenario(nodes, new.len(), sizes));
        }
    }
}

/// Guards against sizes that change the budgets of engines which are as large as all others.
#[test]
fn equal_sizes_act_as_no_sizes() {
    for nodes in [1, 3, 30] {
        let without_sizes = Sizes { weight_kind: WeightKind::Off, ..Sizes::EQUAL };
        let equal = Sizes { warm: &[7.0], new: &[7.0], ..Sizes::EQUAL };
        for seed in SEEDS {
            let expected = sends_by_engine(scenario(nodes, 2, without_sizes), seed);
            for weight_kind in [WeightKind::Off, WeightKind::Nominal] {
                let sizes = Sizes { weight_kind, ..equal };
                let scenario = Scenario { capacity_per_s: CAPACITY_PER_S / 7.0, ..scenario(nodes, 2, sizes) };
                assert_eq!(sends_by_engine(scenario, seed), expected, "{scenario:?}, seed {seed}");
            }
        }
    }
}

/// Guards against the budget of a mean engine for one that is larger, whose capacity then waits for the end of
/// slow start.
#[test]
fn larger_engine_gets_more_during_slow_start() {
    let sends = |nodes, new| {
        let sizes = Sizes { new, ..Sizes::EQUAL };
        let all = SEEDS.map(|seed| sends_by_engine(scenario(nodes, 1, sizes), seed));
        all.flat_map(|by_engine| by_engine.into_values()).map(|sends| sends.len()).sum::<usize>()
    };
    for nodes in [1, 3, 30] {
        let (equal, larger) = (sends(nodes, &[1.0]), sends(nodes, &[4.0]));
        println!("{nodes} nodes, seeds {SEEDS:?}: {equal} sends to equal engines, {larger} to larger ones");
        assert!(
            larger as f64 > 1.2 * equal as f64,
            "{nodes} nodes: {larger} sends, {equal} to equal engines"
        );
    }
}
