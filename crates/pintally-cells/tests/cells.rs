//! Assignment, moves, loans, service levels and edge admission over generated histories, and an exhaustive check of
//! the versions of a move that three nodes may have.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::serving_endpoint;
use pintally::interface::*;
use pintally_cells::*;
use proptest::prelude::*;

fn core_settings(tenants: &[&str]) -> Settings {
    let tenant = |name: &&str| Tenant { name: name.to_string(), quota_per_s: 0.0 };
    let class = |name: &str, priority_weight: f64| Class {
        name: name.into(),
        idempotency: Idempotency::Idempotent,
        latency_objective: 1_000_000,
        latency_objective_per_1000_tokens: 0,
        token_interval_objective: 0,
        priority_weight,
        late_weight_fraction: 0.0,
    };
    Settings {
        zone: String::new(),
        node_index: 0,
        node_count: 1,
        classes: vec![class("low", 1.0), class("mid", 2.0), class("high", 3.0)],
        tenants: tenants.iter().map(tenant).collect(),
        engine_kinds: Vec::new(),
        discovery_mode: DiscoveryMode::Push,
        load_reporting: LoadReporting::Inline,
        weight_kind: WeightKind::Nominal,
        writers_read_prompts: false,
        cancellation_allowed: true,
        health_checks_allowed: true,
        health_check_cost: 0.0,
        clients_honour_retry_after: true,
        max_retry_after: 1_000_000,
        max_attempts: 6,
        slow_start_min_capacity: 0.3,
        slow_start_duration: 0,
        overload_factor: 2.5,
        overload_window: 1,
        connect_timeout: 0,
        release_deadline: 500_000,
        max_discovery_poll_interval: 0,
        remembered_service_rates: [0.0; 3],
    }
}

fn cell(name: &str, weight: f64, readers: usize, writers: usize) -> CellSpec {
    CellSpec {
        name: name.into(),
        weight,
        required_engines: RequiredEngines { readers, writers },
        fallback: None,
    }
}

fn equal_cells(count: usize) -> Vec<CellSpec> {
    (0..count).map(|i| cell(&format!("c{i}"), 1.0, 2, 2)).collect()
}

// ---- assignment ----

/// An additional cell gets about its fair share of the keys, and no key moves between the other cells.
#[test]
fn adding_a_cell_moves_only_its_fair_share() {
    const KEYS: u64 = 20_000;
    for count in [2, 4, 8, 16] {
        let (old_cells, new_cells) = (equal_cells(count), equal_cells(count + 1));
        let added = CellName::from(format!("c{count}").as_str());
        let mut moved = 0;
        for key in 0..KEYS {
            let before = &cells_by_hash(&old_cells, key, 1)[0];
            let after = &cells_by_hash(&new_cells, key, 1)[0];
            if before != after {
                assert_eq!(*after, added, "key {key} moved between old cells");
                moved += 1;
            }
        }
        let fair_share = KEYS as f64 / (count + 1) as f64;
        let ratio = moved as f64 / fair_share;
        assert!(
            (0.93..1.07).contains(&ratio),
            "{count} cells: {moved} keys moved, fair share {fair_share:.0}"
        );
    }
}

#[test]
fn assignment_follows_weights() {
    let cells = [cell("a", 1.0, 1, 1), cell("b", 3.0, 1, 1), cell("none", 0.0, 1, 1)];
    let mut keys_by_cell: BTreeMap<CellName, u64> = BTreeMap::new();
    (0..40_000)
        .for_each(|key| *keys_by_cell.entry(cells_by_hash(&cells, key, 1)[0].clone()).or_default() += 1);
    assert!(!keys_by_cell.contains_key(&"none".into()));
    let ratio = keys_by_cell[&CellName::from("b")] as f64 / keys_by_cell[&CellName::from("a")] as f64;
    assert!((2.85..3.15).contains(&ratio), "{ratio}");
}

/// With 2 of 8 cells per tenant, one pair of tenants in 28 shares both cells.
#[test]
fn two_sharded_tenants_seldom_share_all_cells() {
    let cells = equal_cells(8);
    let shards: Vec<BTreeSet<CellName>> =
        (0..400u64).map(|t| cells_by_hash(&cells, t, 2).into_iter().collect()).collect();
    let pairs = shards.len() * (shards.len() - 1) / 2;
    let same = (0..shards.len()).flat_map(|i| (0..i).map(move |j| (i, j)));
    let same = same.filter(|(i, j)| shards[*i] == shards[*j]).count();
    let share = same as f64 / pairs as f64;
    assert!((0.028..0.045).contains(&share), "{share}, 1/28 = 0.036");
}

// ---- the file ----

const FILE: &str = r#"(cells (version 3)
  (cell "a" (weight 1) (readers 2) (writers 2) (fallback "b"))
  (cell "b" (weight 1) (readers 2) (writers 2))
  (tenant "t" (cells "a"))
  (tenant "u" (shards 2))
  (move "t" (to "b") (over-ms 1000) (step both) (since-unix-ms 5000)))"#;

#[test]
fn file_determines_cell_of_request() {
    let core = core_settings(&["t", "u", "v"]);
    let file = CellsFile::parse("cells", FILE, &core).unwrap();
    assert_eq!(file.home("t"), ["a".into()]);
    assert_eq!(file.home("u").len(), 2);
    assert_eq!(file.home("v").len(), 1);
    assert!((0..500).all(|s| file.cell_for(Some("t"), s, 4999) == Some("a".into())));
    assert!((0..500).all(|s| file.cell_for(Some("t"), s, 6000) == Some("b".into())));
    let moved = (0..2000).filter(|s| file.cell_for(Some("t"), *s, 5500) == Some("b".into())).count();
    assert!((900..1100).contains(&moved), "{moved} of 2000 sessions moved halfway");
}

#[test]
fn rendered_file_parses_to_same_file() {
    let core = core_settings(&["t", "u", "v"]);
    for phase in [
        "(step prepare)",
        "(step both) (since-unix-ms 5)",
        "(step done) (since-unix-ms 5)",
        "(step back) (since-unix-ms 5) (back-unix-ms 9)",
    ] {
        let text = FILE.replace("(step both) (since-unix-ms 5000)", phase);
        let file = CellsFile::parse("cells", &text, &core).unwrap();
        assert_eq!(CellsFile::parse("again", &file.render(), &core).unwrap(), file);
    }
}

#[test]
fn invalid_files_are_rejected_with_reason() {
    let core = core_settings(&["t", "u", "v"]);
    for (from, to, reason) in [
        ("(version 3)", "", "requires `(version"),
        ("(cell \"b\"", "(cell \"a\"", "given twice"),
        ("(writers 2) (fallback", "(writers 0) (fallback", "without writers"),
        ("(fallback \"b\")", "(fallback \"z\")", "no other cell"),
        ("(fallback \"b\")", "(fallback \"a\")", "no other cell"),
        ("(cells \"a\")", "(cells \"z\")", "no cell is named"),
        ("(cells \"a\")", "(cells)", "at least one cell"),
        ("(cells \"a\")", "(cells \"a\" \"a\")", "named twice"),
        ("(cells \"a\")", "(cells \"a\") (shards 2)", "not both"),
        ("(tenant \"u\" (shards 2))", "(tenant \"u\")", "neither"),
        ("(tenant \"u\"", "(tenant \"t\"", "given twice"),
        ("(tenant \"u\"", "(tenant \"nobody\"", "no tenant"),
        ("(step both)", "(step sideways)", "not prepare"),
        ("(step both)", "(step prepare)", "no times"),
        ("(since-unix-ms 5000)", "", "since-unix-ms"),
        ("(over-ms 1000)", "(over-ms 0)", "must be from"),
    ] {
        assert!(FILE.contains(from), "{from}");
        let error = CellsFile::parse("cells", &FILE.replacen(from, to, 1), &core).expect_err(to);
        assert!(error.message.contains(reason), "{to}: {error}");
        assert!(error.line > 0, "{to}: {error}");
    }
    let zero_weights = FILE.replace("(weight 1)", "(weight 0)");
    assert!(CellsFile::parse("cells", &zero_weights, &core).unwrap_err().message.contains("in no cell"));
    let mut with_zone_keys = core.clone();
    with_zone_keys.classes[0].idempotency = Idempotency::WithKey(IdempotencyScope::Zone, 1_000_000);
    let error = CellsFile::parse("cells", FILE, &with_zone_keys).unwrap_err();
    assert!(error.rule.is_some_and(|r| r.contains("twice")), "{error}");
}

// ---- moves ----

fn tenant_move(phase: MovePhase) -> TenantMove {
    TenantMove { tenant: "t".into(), to: vec!["b".into()], over_ms: 1000, phase }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A session that has moved stays while the phase is `both`; one that has returned stays while it is `back`.
    #[test]
    fn sessions_move_once_and_return_once(session in any::<u64>(), back in 0u64..3000, times in prop::collection::vec(0u64..6000, 2..40)) {
        let mut times = times;
        times.sort_unstable();
        let forward = tenant_move(MovePhase::Both { since: 500 });
        let moved: Vec<bool> = times.iter().map(|t| forward.has_moved(session, *t)).collect();
        prop_assert!(moved.is_sorted());
        let at = 500 + back;
        let backward = tenant_move(MovePhase::Back { since: 500, at });
        let moved: Vec<bool> = times.iter().filter(|t| **t >= at).map(|t| backward.has_moved(session, *t)).collect();
        prop_assert!(moved.iter().rev().is_sorted());
        // No session changes its cell at the moment in which the move is reversed.
        prop_assert_eq!(forward.has_moved(session, at), backward.has_moved(session, at));
        prop_assert!(!backward.has_moved(session, at + 1001));
    }
}

/// Checks all combinations of versions that three nodes may have, since a node may receive a version late, miss one or
/// restart, and requests at each node at all times.
#[test]
fn three_nodes_agree_on_every_history_of_a_move() {
    let core = core_settings(&["t"]);
    let base = "(cells (version NUMBER) (cell \"a\") (cell \"b\") (tenant \"t\" (cells \"a\")) MOVE)";
    let version = |v: usize, phase: &str| {
        let text = base.replace("NUMBER", &v.to_string());
        let move_form = if phase.is_empty() {
            String::new()
        } else {
            format!("(move \"t\" (to \"b\") (over-ms 1000) {phase})")
        };
        CellsFile::parse("cells", &text.replace("MOVE", &move_form), &core).unwrap()
    };
    let histories = [
        // All sessions move.
        vec![
            version(1, ""),
            version(2, "(step prepare)"),
            version(3, "(step both) (since-unix-ms 2000)"),
            version(4, "(step done) (since-unix-ms 2000)"),
        ],
        // The move is reversed halfway.
        vec![
            version(1, ""),
            version(2, "(step prepare)"),
            version(3, "(step both) (since-unix-ms 2000)"),
            version(4, "(step back) (since-unix-ms 2000) (back-unix-ms 2500)"),
        ],
        // The move is reversed before any session has moved, and then removed from the file.
        vec![
            version(1, ""),
            version(2, "(step prepare)"),
            version(3, "(step back) (back-unix-ms 1500)"),
            version(4, ""),
        ],
    ];
    let mut states = 0;
    for history in &histories {
        // The index of the version at each node. A node never goes back to an older version, but may skip versions.
        for combination in 0..4usize.pow(3) {
            let at = [combination % 4, combination / 4 % 4, combination / 16];
            for now in (0..5000).step_by(125) {
                for session in 0..12u64 {
                    states += 1;
                    let cells: Vec<Option<CellName>> =
                        at.iter().map(|v| history[*v].cell_for(Some("t"), session, now)).collect();
                    // Every node has a cell for the session, whichever version it has.
                    assert!(cells.iter().all(Option::is_some));
                    // Nodes with the same version agree, restarted or not.
                    for (i, j) in [(0, 1), (0, 2), (1, 2)] {
                        assert!(at[i] != at[j] || cells[i] == cells[j]);
                    }
                    // The phases `both` and `done` agree.
                    if history[3].moves.iter().any(|m| matches!(m.phase, MovePhase::Done { .. })) {
                        assert_eq!(
                            history[2].cell_for(Some("t"), session, now),
                            history[3].cell_for(Some("t"), session, now)
                        );
                    }
                }
            }
            // A node accepts each version that is not earlier than the one it has, and no other.
            let mut node = Cells::new(history[at[0]].clone(), 10, 1 << 20, &core);
            for (v, next) in history.iter().enumerate() {
                assert_eq!(node.replace_file(0, next.clone()).is_ok(), v >= node_version(&node, history));
            }
        }
    }
    assert!(states > 90_000, "{states}");
}

fn node_version(node: &Cells, history: &[CellsFile]) -> usize {
    history.iter().position(|f| f.version >= node.file().version).unwrap_or(0)
}

/// Each possible command produces a version that a node with the previous version accepts.
#[test]
fn move_commands_are_accepted_in_order_only() {
    let core = core_settings(&["t", "u", "v"]);
    let text = "(cells (version 1) (cell \"a\") (cell \"b\") (tenant \"t\" (cells \"a\")))";
    let first = CellsFile::parse("cells", text, &core).unwrap();
    let begin = MoveCommand::Begin { to: vec!["b".into()], over_ms: 1000 };
    for early in [MoveCommand::Go, MoveCommand::Done, MoveCommand::Back, MoveCommand::Settle] {
        assert!(first.apply_move_command("t", early, 0).is_err());
    }
    assert!(first
        .apply_move_command("t", MoveCommand::Begin { to: vec!["a".into()], over_ms: 1 }, 0)
        .is_err());
    assert!(first
        .apply_move_command("t", MoveCommand::Begin { to: vec!["z".into()], over_ms: 1 }, 0)
        .is_err());
    let apply_all = |commands: &[(MoveCommand, u64)]| {
        let mut node = Cells::new(first.clone(), 10, 1 << 20, &core);
        let mut file = first.clone();
        for (command, at) in commands {
            file = file.apply_move_command("t", command.clone(), *at).unwrap();
            assert_eq!(CellsFile::parse("again", &file.render(), &core).unwrap(), file);
            node.replace_file(0, file.clone()).unwrap();
        }
        file
    };
    let settled = apply_all(&[
        (begin.clone(), 0),
        (MoveCommand::Go, 10),
        (MoveCommand::Done, 1010),
        (MoveCommand::Settle, 2000),
    ]);
    assert_eq!((settled.version, settled.home("t"), settled.moves.len()), (5, vec!["b".into()], 0));
    let reversed = apply_all(&[
        (begin.clone(), 0),
        (MoveCommand::Go, 10),
        (MoveCommand::Back, 500),
        (MoveCommand::Settle, 5000),
    ]);
    assert_eq!((reversed.home("t"), reversed.moves.len()), (vec!["a".into()], 0));
    let cancelled = apply_all(&[(begin.clone(), 0), (MoveCommand::Back, 5), (MoveCommand::Settle, 6)]);
    assert_eq!(cancelled.home("t"), ["a".into()]);
    // `Done` is rejected before all sessions have moved, and no command is accepted twice.
    let moving = first
        .apply_move_command("t", begin.clone(), 0)
        .unwrap()
        .apply_move_command("t", MoveCommand::Go, 10)
        .unwrap();
    assert!(moving.apply_move_command("t", MoveCommand::Done, 500).unwrap_err().to_string().contains("49%"));
    assert!(moving.apply_move_command("t", begin, 500).is_err());
    assert!(moving.apply_move_command("t", MoveCommand::Go, 500).is_err());
    assert!(moving
        .apply_move_command("t", MoveCommand::Back, 500)
        .unwrap()
        .apply_move_command("t", MoveCommand::Settle, 600)
        .is_err());
}

#[test]
fn contradicting_move_phases_are_rejected() {
    let both = tenant_move(MovePhase::Both { since: 10 });
    assert!(!tenant_move(MovePhase::Both { since: 11 }).may_follow(&both));
    assert!(!tenant_move(MovePhase::Prepare).may_follow(&both));
    assert!(
        !tenant_move(MovePhase::Both { since: 10 }).may_follow(&tenant_move(MovePhase::Done { since: 10 }))
    );
    assert!(tenant_move(MovePhase::Back { since: 10, at: 20 }).may_follow(&both));
    assert!(!tenant_move(MovePhase::Back { since: 10, at: 5 }).may_follow(&both));
}

// ---- service levels, loans and edge admission ----

#[test]
fn level_falls_at_once_and_rises_step_by_step() {
    let mut health = CellHealth::new([1.0, 2.0, 3.0].into_iter());
    let second = 1_000_000;
    assert!(health.update(0, 0.2, 0.2));
    assert_eq!(health.level(), ServiceLevel::Shedding);
    // A capacity just over the threshold does not raise the level.
    for s in 1..20 {
        health.update(s * second, 0.42, 0.42);
    }
    assert_eq!(health.level(), ServiceLevel::Shedding);
    health.update(20 * second, 1.0, 1.0);
    assert_eq!(health.level(), ServiceLevel::Shedding);
    health.update(26 * second, 1.0, 1.0);
    assert_eq!(health.level(), ServiceLevel::Constrained);
    health.update(27 * second, 1.0, 1.0);
    assert_eq!(health.level(), ServiceLevel::Constrained);
    health.update(32 * second, 1.0, 1.0);
    assert_eq!(health.level(), ServiceLevel::Normal);
    health.update(33 * second, 0.0, 0.0);
    assert_eq!(health.level(), ServiceLevel::Unavailable);
    // A cell that is able to serve again leaves the level at once.
    health.update(34 * second, 0.5, 0.5);
    assert_eq!(health.level(), ServiceLevel::Shedding);
}

/// A node that starts knows the cells before it receives the endpoint list; that must not count as a loss of engines.
#[test]
fn cells_without_endpoint_list_are_not_unavailable() {
    let core = core_settings(&["t", "u", "v"]);
    let mut node = Cells::new(CellsFile::parse("cells", FILE, &core).unwrap(), 10, 1 << 20, &core);
    node.set_engines(0, Vec::new());
    assert!(node.status(9).iter().all(|s| s.level == ServiceLevel::Normal));
    let mut all = Vec::new();
    for cell in ["a", "b"] {
        for (id, role) in
            [("r0", Role::Reader), ("r1", Role::Reader), ("w0", Role::Writer), ("w1", Role::Writer)]
        {
            all.push((serving_endpoint(&format!("{cell}{id}")), role, Some(CellName::from(cell))));
        }
    }
    node.set_engines(1, all.clone());
    assert!(node.status(9).iter().all(|s| s.level == ServiceLevel::Normal));
    // After the first list an empty one means that all engines are gone.
    node.set_engines(2, Vec::new());
    assert!(node.status(9).iter().all(|s| s.level == ServiceLevel::Unavailable));
}

/// The admitted fraction grows while the cell is not overloaded, and shrinks while it is.
#[test]
fn shedding_cell_admits_more_while_not_overloaded() {
    let mut health = CellHealth::new([1.0, 2.0, 3.0].into_iter());
    let second = 1_000_000;
    health.update(0, 0.2, 0.2);
    health.update_admission(0, false);
    let admitted = |health: &mut CellHealth| (0..300).filter(|n| health.admits(Some(n % 3))).count();
    assert_eq!(admitted(&mut health), 100);
    (1..=6).for_each(|s| health.update_admission(s * second, false));
    assert_eq!(admitted(&mut health), 300, "at 0.8 the class of the lowest priority is admitted too");
    (7..=9).for_each(|s| health.update_admission(s * second, true));
    assert_eq!(admitted(&mut health), 100);
    assert!(health.usable_fraction() >= 0.2);
}

#[test]
fn shedding_cell_admits_highest_priority_classes() {
    let mut health = CellHealth::new([1.0, 2.0, 3.0].into_iter());
    health.update(0, 0.3, 0.3);
    let mut admitted = [0; 3];
    for n in 0..3000 {
        let class = n % 3;
        admitted[class] += usize::from(health.admits(Some(class)));
    }
    assert_eq!((admitted[0], admitted[2]), (0, 1000));
    assert!(!health.admits(None));
}

fn engine(id: &str, role: Role, cell: Option<&str>) -> ServingEngine {
    ServingEngine { engine: EngineId(id.into()), role, cell: cell.map(CellName::from) }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 200, ..ProptestConfig::default() })]

    /// While engines come and go, only serving spare engines are lent; no cell lacks an engine while a spare one of the
    /// role is not lent; loans do not change while the engines stay the same; and they do not depend on the order of
    /// the list.
    #[test]
    fn loans_keep_invariants_over_any_history(history in prop::collection::vec((0usize..12, any::<bool>(), 0u64..12), 1..60)) {
        let specs = [cell("a", 1.0, 2, 2), cell("b", 1.0, 2, 2)];
        let mut all = Vec::new();
        for c in ["a", "b"] {
            for i in 0..2 {
                all.push(engine(&format!("{c}r{i}"), Role::Reader, Some(c)));
                all.push(engine(&format!("{c}w{i}"), Role::Writer, Some(c)));
            }
        }
        all.extend([engine("s0", Role::Reader, None), engine("s1", Role::Writer, None)]);
        all.extend([engine("s2", Role::Mixed, None), engine("s3", Role::Writer, None)]);
        let mut up = vec![true; all.len()];
        let (mut loans, mut other_loans) = (Loans::default(), Loans::default());
        let mut now = 0;
        for (index, is_up, seconds) in history {
            up[index % all.len()] = is_up;
            now += seconds * 1_000_000;
            let serving: Vec<ServingEngine> = all.iter().zip(&up).filter(|(_, up)| **up).map(|(e, _)| e.clone()).collect();
            loans.update(now, &specs, &serving, |_| 0);
            let mut other_order = serving.clone();
            other_order.reverse();
            other_loans.update(now, &specs, &other_order, |_| 0);
            for e in &all {
                prop_assert_eq!(loans.borrower(&e.engine), other_loans.borrower(&e.engine));
                if loans.borrower(&e.engine).is_some() {
                    prop_assert!(e.cell.is_none() && serving.contains(e));
                }
            }
            prop_assert!(!loans.update(now, &specs, &serving, |_| 0), "a second update with the same engines changed something");
            // No cell lacks an engine while a spare one of the role is not lent.
            for spec in &specs {
                let is_in_cell = |s: &&ServingEngine| s.cell.as_ref() == Some(&spec.name) || loans.borrower(&s.engine) == Some(&spec.name);
                for (role, required) in [(Role::Reader, 2), (Role::Writer, 2)] {
                    let has = serving.iter().filter(is_in_cell).filter(|s| s.role == role || s.role == Role::Mixed).count();
                    let free = serving.iter().any(|s| s.cell.is_none() && s.role == role && loans.borrower(&s.engine).is_none());
                    prop_assert!(has >= required || !free, "{:?} lacks {:?} while one is spare", spec.name, role);
                }
            }
        }
    }

    /// A cell within its quota is never rejected; no cell is displaced below its quota; reserved and released slots
    /// add up.
    #[test]
    fn edge_quotas_are_guaranteed(steps in prop::collection::vec((0usize..3, 0usize..3, any::<bool>()), 1..400)) {
        let names: Vec<CellName> = ["a", "b", "c"].map(CellName::from).to_vec();
        let tenants = [Some("x"), Some("y"), None];
        let mut edge = EdgeAdmission::default();
        edge.divide(30, 0, names.iter().map(|n| (n, 1.0)));
        let mut reserved: Vec<(usize, usize)> = Vec::new();
        for (c, t, arrives) in steps {
            if !arrives {
                if let Some(at) = reserved.iter().position(|h| *h == (c, t)) {
                    reserved.swap_remove(at);
                    edge.release(&names[c], tenants[t], 0);
                }
                continue;
            }
            let SlotUsage { quota, used } = edge.usage(&names[c]);
            match edge.decide(&names[c], tenants[t], 1.0) {
                EdgeDecision::Admit => {
                    edge.reserve(&names[c], tenants[t], 0);
                    reserved.push((c, t));
                }
                EdgeDecision::Displace(other) => {
                    let SlotUsage { quota: other_quota, used } = edge.usage(&other);
                    prop_assert!(used > other_quota || other == names[c], "displaced at {} of {}", used, other_quota);
                    let heaviest = edge.heaviest_tenant(&other).unwrap();
                    edge.release(&other, heaviest.as_deref(), 0);
                    let index = names.iter().position(|n| *n == other).unwrap();
                    let tenant = tenants.iter().position(|t| t.map(str::to_string) == heaviest).unwrap();
                    reserved.swap_remove(reserved.iter().position(|h| *h == (index, tenant)).unwrap());
                    edge.reserve(&names[c], tenants[t], 0);
                    reserved.push((c, t));
                }
                EdgeDecision::Reject(after) => {
                    prop_assert!(used >= quota, "rejected with {} of {} used", used, quota);
                    prop_assert!((1..=2000).contains(&after));
                }
            }
            prop_assert_eq!(edge.used_slots(), reserved.len());
            prop_assert!(reserved.len() <= 30);
        }
    }
}

/// If one tenant floods its cell, another tenant of the cell still gets its equal part of the slots.
#[test]
fn flooding_tenant_leaves_fair_slots_to_others() {
    let name = CellName::from("a");
    let mut edge = EdgeAdmission::default();
    edge.divide(20, 0, [(&name, 1.0)].into_iter());
    let mut flood = 0;
    while edge.decide(&name, Some("flood"), 1.0) == EdgeDecision::Admit {
        edge.reserve(&name, Some("flood"), 0);
        flood += 1;
    }
    assert_eq!(flood, 20);
    for _ in 0..10 {
        assert_eq!(edge.decide(&name, Some("calm"), 1.0), EdgeDecision::Displace(name.clone()));
        assert_eq!(edge.heaviest_tenant(&name), Some(Some("flood".into())));
        edge.release(&name, Some("flood"), 0);
        edge.reserve(&name, Some("calm"), 0);
    }
    assert!(matches!(edge.decide(&name, Some("calm"), 1.0), EdgeDecision::Reject(_)));
    assert!(matches!(edge.decide(&name, Some("flood"), 1.0), EdgeDecision::Reject(_)));
}
