use super::*;

fn settings() -> Settings {
    Settings {
        expected_nodes: 1,
        has_peers: false,
        peers_queried: 1,
        answer_timeout: 1,
        query_rounds: 1,
        max_slow_start: 10_000_000,
        slow_start_min_capacity: 0.25,
        slow_start_duration: 8_000_000,
        requests_per_second_per_engine: 1.0,
        uncached_capacity_fraction: 1.0,
        max_retry_after: 0,
        classes: Vec::new(),
    }
}

/// Guards against two sides of a partition that each admit all requests: in every partition the shares of all
/// nodes add up to less than one and a half.
#[test]
fn shares_sum_below_one_and_a_half_in_every_partition() {
    for expected in 1..=9usize {
        for partition in 0..(1u32 << expected) {
            let one_side = partition.count_ones() as usize;
            let sides = [one_side, expected - one_side].into_iter().filter(|n| *n > 0);
            let sum: f64 =
                sides.map(|alive| alive as f64 * admission_share(FleetSize { alive, expected })).sum();
            assert!(sum < 1.5 + 1e-9, "{one_side} of {expected}: {sum}");
        }
    }
}

/// Guards against counting the capacity of engines that are not reachable yet.
#[test]
fn engine_capacity_follows_known_state() {
    let s = settings();
    let engine = |n: usize| EngineId(format!("e{n}").as_str().into());
    let mut capacity = Capacity::default();
    assert_eq!(capacity.warm_fraction(0, &s), 0.0, "no list");
    capacity.set_listed((0..4).map(engine).collect::<Vec<_>>().iter());
    assert_eq!(capacity.warm_fraction(0, &s), 0.25, "untried engines count as cold");
    (0..4).for_each(|n| capacity.engine_unreachable(500_000, &engine(n)));
    assert_eq!(capacity.warm_fraction(0, &s), 0.0);
    capacity.engine_answered(1_000_000, &engine(0));
    capacity.engine_answered(5_000_000, &engine(0));
    assert_eq!(
        capacity.warm_fraction(9_000_000, &s),
        0.25,
        "one of four is warm, counted from its first answer"
    );
    capacity.engine_unreachable(9_000_000, &engine(0));
    capacity.engine_answered(9_000_000, &engine(0));
    assert_eq!(capacity.warm_fraction(9_000_000, &s), 0.0625, "cold again after it was unreachable");
}

/// Guards against a large fleet that counts as cold because each node has contacted only a few engines, and
/// against reports from before an engine's restart: a node ignores reports that are older than its own last
/// failure to reach the engine.
#[test]
fn peer_reports_count_unless_engine_failed_since() {
    let s = settings();
    let engines: Vec<EngineId> = (0..200).map(|n| EngineId(format!("e{n}").as_str().into())).collect();
    let new_capacity = || {
        let mut capacity = Capacity::default();
        capacity.set_listed(engines.iter());
        capacity
    };
    let (mut reporter, mut node) = (new_capacity(), new_capacity());
    engines.iter().for_each(|e| reporter.engine_answered(1_000_000, e));
    assert!(reporter.report(2_000_000).len() <= MAX_REPORTED_ENGINES);
    // This node fails to reach one engine after the engine has answered the other node.
    node.engine_unreachable(3_000_000, &engines[7]);
    for second in 4..9 {
        let now = second * 1_000_000;
        node.apply_report(now + 30_000, &reporter.report(now));
    }
    assert_eq!(node.counts(), EngineCounts { answered: 199, listed: 200 });
    let warm_fraction = node.warm_fraction(9_000_000, &s);
    // All other engines are warm, except for the 30 ms that the reports took to arrive.
    assert!((0.99..0.995).contains(&warm_fraction), "{warm_fraction}");
    // When the engine answers again, its warm-up starts then, whatever is reported of its earlier process.
    node.engine_answered(9_000_000, &engines[7]);
    (9..15).for_each(|second| node.apply_report(second * 1_000_000, &reporter.report(second * 1_000_000)));
    assert!(node.warm_fraction(9_000_000, &s) < 0.9975);
    // Reports of engines that are not listed are ignored.
    node.apply_report(9_000_000, &[u64::MAX]);
    assert_eq!(node.counts(), EngineCounts { answered: 200, listed: 200 });
}

#[test]
fn majority_shares_all_requests_among_live_nodes() {
    assert_eq!(admission_share(FleetSize { alive: 3, expected: 5 }), 1.0 / 3.0);
    assert_eq!(admission_share(FleetSize { alive: 2, expected: 5 }), 1.0 / 5.0);
    assert_eq!(admission_share(FleetSize { alive: 1, expected: 1 }), 1.0);
    // More nodes than expected, for example before the settings are updated: the shares do not exceed the
    // whole.
    assert_eq!(admission_share(FleetSize { alive: 7, expected: 5 }), 1.0 / 5.0);
}
