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

/// Guards against two sides of a partition that each admit everything: whatever the partition, the shares
/// add up to under one and a half.
#[test]
fn shares_add_up_to_under_one_and_a_half_in_every_partition() {
    for expected in 1..=9usize {
        for halves in 0..(1u32 << expected) {
            let one = halves.count_ones() as usize;
            let parts = [one, expected - one].into_iter().filter(|n| *n > 0);
            let sum: f64 =
                parts.map(|alive| alive as f64 * admission_share(FleetSize { alive, expected })).sum();
            assert!(sum < 1.5 + 1e-9, "{one} of {expected}: {sum}");
        }
    }
}

/// Guards against a fleet that relies on engines which are not reachable yet.
#[test]
fn engines_count_by_their_known_state() {
    let s = settings();
    let engine = |n: usize| EngineId(format!("e{n}").as_str().into());
    let mut capacity = Capacity::default();
    assert_eq!(capacity.warm_fraction(0, &s), 0.0, "no list");
    capacity.set_listed((0..4).map(engine).collect::<Vec<_>>().iter());
    assert_eq!(capacity.warm_fraction(0, &s), 0.25, "untried engines count as cold");
    (0..4).for_each(|n| capacity.engine_lost(500_000, &engine(n)));
    assert_eq!(capacity.warm_fraction(0, &s), 0.0);
    capacity.engine_answered(1_000_000, &engine(0));
    capacity.engine_answered(5_000_000, &engine(0));
    assert_eq!(
        capacity.warm_fraction(9_000_000, &s),
        0.25,
        "one of four is warm, by when it was first heard"
    );
    capacity.engine_lost(9_000_000, &engine(0));
    capacity.engine_answered(9_000_000, &engine(0));
    assert_eq!(capacity.warm_fraction(9_000_000, &s), 0.0625, "cold again after it was lost");
}

/// Guards against a large fleet that takes itself for cold, as each node has met few engines, and against
/// reports from before a restart: what a node has lost itself is younger than that.
#[test]
fn reports_of_other_nodes_count_unless_the_engine_was_lost_since() {
    let s = settings();
    let engines: Vec<EngineId> = (0..200).map(|n| EngineId(format!("e{n}").as_str().into())).collect();
    let all = || {
        let mut capacity = Capacity::default();
        capacity.set_listed(engines.iter());
        capacity
    };
    let (mut reporter, mut node) = (all(), all());
    engines.iter().for_each(|e| reporter.engine_answered(1_000_000, e));
    assert!(reporter.report(2_000_000).len() <= MAX_REPORTED_ENGINES);
    // One engine was lost here after the other node had heard it.
    node.engine_lost(3_000_000, &engines[7]);
    for second in 4..9 {
        let now = second * 1_000_000;
        node.apply_report(now + 30_000, &reporter.report(now));
    }
    assert_eq!(node.counts(), EngineCounts { answered: 199, listed: 200 });
    let part = node.warm_fraction(9_000_000, &s);
    // All others are warm but for the 30 ms that the reports took.
    assert!((0.99..0.995).contains(&part), "{part}");
    // When it answers again it is as young as that, whatever is reported of its earlier process.
    node.engine_answered(9_000_000, &engines[7]);
    (9..15).for_each(|second| node.apply_report(second * 1_000_000, &reporter.report(second * 1_000_000)));
    assert!(node.warm_fraction(9_000_000, &s) < 0.9975);
    // Reports of engines that are not listed are ignored.
    node.apply_report(9_000_000, &[u64::MAX]);
    assert_eq!(node.counts(), EngineCounts { answered: 200, listed: 200 });
}

#[test]
fn majority_divides_the_whole_among_its_live_nodes() {
    assert_eq!(admission_share(FleetSize { alive: 3, expected: 5 }), 1.0 / 3.0);
    assert_eq!(admission_share(FleetSize { alive: 2, expected: 5 }), 1.0 / 5.0);
    assert_eq!(admission_share(FleetSize { alive: 1, expected: 1 }), 1.0);
    // More nodes than expected, as while the settings lag behind: no more than the whole.
    assert_eq!(admission_share(FleetSize { alive: 7, expected: 5 }), 1.0 / 5.0);
}
