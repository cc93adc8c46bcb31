//! Hand-written plans of the most dangerous overlaps of faults, each with the share that must be served.

use pintally_sim::{play, Fault, FaultKind, FreeScope, Plan, PlannedRequest, RunReport};

/// A plan of 8 s with three nodes, four readers and four writers in two zones, 25 requests a second.
fn base_plan(seed: u64, faults: Vec<Fault>) -> Plan {
    let requests = (0..200u64).map(|n| PlannedRequest {
        at_ms: 100 + n * 40,
        node: n as usize % 3,
        class: n as usize % 3,
        session: n % 30,
        prompt: 200 + n % 7 * 300,
        patience_ms: 3_000,
        leaves_ms: None,
    });
    Plan {
        seed,
        free_scope: if seed.is_multiple_of(2) { FreeScope::Request } else { FreeScope::State },
        nodes: 3,
        readers: 4,
        writers: 4,
        zones: 2,
        release_ms: 500,
        window_ms: 2_000,
        warm_ms: 1_000,
        requests: requests.collect(),
        faults,
    }
}

fn fault(kind: FaultKind, target: usize, from_ms: u64, to_ms: u64) -> Fault {
    Fault { kind, from_ms, to_ms, target, zone: 0, share: 1.0 }
}

/// Runs a plan with both release scopes on several seeds; each run must keep all rules and serve at least
/// the share `least`.
fn assert_rules_kept(name: &str, least: f64, faults: &[Fault], change: impl Fn(&mut Plan)) -> Vec<RunReport> {
    let play_one = |seed| {
        let mut plan = base_plan(seed, faults.to_vec());
        change(&mut plan);
        assert_eq!(plan.check(), Ok(()));
        let played = play(&plan, None);
        let share = played.served as f64 / played.asked as f64;
        println!("{name}, seed {seed}: {} asked, {share:.2} served", played.asked);
        if let Some(broken) = &played.violation {
            // `pintally sim play` prints the steps of this plan.
            panic!("{name}, seed {seed}: {broken}\n{}", serde_json::to_string(&plan).unwrap());
        }
        assert!(share >= least, "{name}, seed {seed}: {share:.2} of {least}");
        played
    };
    (1..=12).map(play_one).collect()
}

fn unchanged(_: &mut Plan) {}

#[test]
fn rolling_deploy_with_node_death() {
    let mut all: Vec<_> =
        (0..8).map(|e| fault(FaultKind::Drain, e, 500 + e as u64 * 800, 1_100 + e as u64 * 800)).collect();
    all.push(fault(FaultKind::Kill, 1, 2_000, 4_000));
    assert_rules_kept("deploy", 0.9, &all, unchanged);
}

#[test]
fn all_nodes_restart_within_ten_seconds() {
    let all: Vec<_> =
        (0..3).map(|n| fault(FaultKind::Stop, n, 500 + n as u64 * 2_500, 1_000 + n as u64 * 2_500)).collect();
    assert_rules_kept("restarts", 0.9, &all, unchanged);
}

#[test]
fn all_nodes_die_while_zone_is_unreachable() {
    let mut all: Vec<_> = (0..3).map(|n| fault(FaultKind::Kill, n, 3_000, 3_100)).collect();
    all.extend((0..3).map(|n| fault(FaultKind::Cut, n, 2_500, 5_000)));
    assert_rules_kept("deaths", 0.7, &all, unchanged);
}

/// A read that waits at a hanging engine is given up and read elsewhere, and the engine completes it later.
#[test]
fn readers_hang_in_turn_and_resume() {
    let all: Vec<_> =
        (0..4).map(|e| fault(FaultKind::Hang, e, 500 + e as u64 * 1_500, 1_900 + e as u64 * 1_500)).collect();
    assert_rules_kept("hangs", 0.8, &all, unchanged);
}

/// Three of four writers vanish together, three times, as in the worst outages that operators report.
#[test]
fn most_writers_vanish_repeatedly() {
    let at = |n: u64| 600 + n * 2_600;
    let all = (0..3).flat_map(|n| (4..7).map(move |e| fault(FaultKind::Vanish, e, at(n), at(n) + 1_800)));
    assert_rules_kept("silence", 0.6, &all.collect::<Vec<_>>(), unchanged);
}

/// Two in five new connections are established late or never and answers are lost while endpoint lists are
/// late. Guards against release calls that use new connections only. (If all connections were late, no call
/// could arrive in time.)
#[test]
fn late_connections_lost_answers_and_late_lists_overlap() {
    let late = |e| Fault { share: 0.4, ..fault(FaultKind::LateConnections, e, 1_000, 6_000) };
    let mut all: Vec<_> = (0..8).map(late).collect();
    all.extend((0..8).map(|e| Fault { share: 0.2, ..fault(FaultKind::LoseAnswers, e, 2_000, 7_000) }));
    all.push(fault(FaultKind::LateLists, 0, 1_500, 4_500));
    all.push(fault(FaultKind::Drain, 0, 2_000, 3_000));
    all.push(fault(FaultKind::Drain, 5, 2_500, 3_500));
    assert_rules_kept("crossed", 0.5, &all, unchanged);
}

/// Clients leave at each of the first milliseconds of a request, also in the step that answers it.
#[test]
fn clients_leave_at_every_step() {
    assert_rules_kept("leaving", 0.0, &[], |plan| {
        for (n, request) in plan.requests.iter_mut().enumerate() {
            request.leaves_ms = Some(n as u64 / 2);
        }
    });
}

/// No requests arrive while the nodes are cut off from all engines: held states must be released all the same.
#[test]
fn states_are_released_after_cut_from_all_engines() {
    let mut all: Vec<_> = (0..3).map(|n| fault(FaultKind::Cut, n, 4_000, 15_000)).collect();
    all.extend((0..3).map(|n| Fault { zone: 1, ..fault(FaultKind::Cut, n, 4_000, 15_000) }));
    assert_rules_kept("cut", 0.4, &all, |plan| plan.requests.retain(|a| a.at_ms < 6_000));
}
