//! Assignment, moves, loans, levels and edge admission over generated histories, and an exhaustive search of moves
//! as three nodes see them.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::member;
use pintally::interface::*;
use pintally_cells::*;
use proptest::prelude::*;

fn core(tenants: &[&str]) -> Settings {
    let tenant = |n: &&str| Tenant { name: n.to_string(), quota_per_s: 0.0 };
    let class = |name: &str, worth: f64| Class {
        name: name.into(),
        idempotency: Idempotency::Idempotent,
        latency_objective: 1_000_000,
        latency_objective_per_1000_tokens: 0,
        token_interval_objective: 0,
        priority_weight: worth,
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
        use_registered_weights: true,
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

fn cells(many: usize) -> Vec<CellSpec> {
    (0..many).map(|i| cell(&format!("c{i}"), 1.0, 2, 2)).collect()
}

// ---- assignment ----

/// An additional cell takes about its fair part of the keys, and no key moves between the others.
#[test]
fn adding_a_cell_moves_only_its_fair_part() {
    const KEYS: u64 = 20_000;
    for many in [2, 4, 8, 16] {
        let (few, more) = (cells(many), cells(many + 1));
        let fresh = CellName::from(format!("c{many}").as_str());
        let mut moved = 0;
        for key in 0..KEYS {
            let (before, after) = (&cells_by_hash(&few, key, 1)[0], &cells_by_hash(&more, key, 1)[0]);
            if before != after {
                assert_eq!(*after, fresh, "key {key} moved between old cells");
                moved += 1;
            }
        }
        let fair = KEYS as f64 / (many + 1) as f64;
        let ratio = moved as f64 / fair;
        assert!((0.93..1.07).contains(&ratio), "{many} cells: {moved} keys moved, {fair:.0} are fair");
    }
}

#[test]
fn assignment_follows_weights() {
    let cells = [cell("a", 1.0, 1, 1), cell("b", 3.0, 1, 1), cell("none", 0.0, 1, 1)];
    let mut won: BTreeMap<CellName, u64> = BTreeMap::new();
    (0..40_000).for_each(|key| *won.entry(cells_by_hash(&cells, key, 1)[0].clone()).or_default() += 1);
    assert!(!won.contains_key(&"none".into()));
    let ratio = won[&CellName::from("b")] as f64 / won[&CellName::from("a")] as f64;
    assert!((2.85..3.15).contains(&ratio), "{ratio}");
}

/// Of 8 cells two tenants with 2 each share both in one pair of 28.
#[test]
fn two_sharded_tenants_seldom_share_all_cells() {
    let cells = cells(8);
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
    let core = core(&["t", "u", "v"]);
    let file = CellsFile::parse("cells", FILE, &core).unwrap();
    assert_eq!(file.home("t"), ["a".into()]);
    assert_eq!(file.home("u").len(), 2);
    assert_eq!(file.home("v").len(), 1);
    assert!((0..500).all(|s| file.cell_for(Some("t"), s, 4999) == Some("a".into())));
    assert!((0..500).all(|s| file.cell_for(Some("t"), s, 6000) == Some("b".into())));
    let over = (0..2000).filter(|s| file.cell_for(Some("t"), *s, 5500) == Some("b".into())).count();
    assert!((900..1100).contains(&over), "{over} of 2000 halfway");
}

#[test]
fn rendered_file_parses_to_same_file() {
    let core = core(&["t", "u", "v"]);
    for step in [
        "(step prepare)",
        "(step both) (since-unix-ms 5)",
        "(step done) (since-unix-ms 5)",
        "(step back) (since-unix-ms 5) (back-unix-ms 9)",
    ] {
        let text = FILE.replace("(step both) (since-unix-ms 5000)", step);
        let file = CellsFile::parse("cells", &text, &core).unwrap();
        assert_eq!(CellsFile::parse("again", &file.render(), &core).unwrap(), file);
    }
}

#[test]
fn invalid_files_are_rejected_with_reason() {
    let core = core(&["t", "u", "v"]);
    for (from, to, why) in [
        ("(version 3)", "", "lacks `(version"),
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
        ("(over-ms 1000)", "(over-ms 0)", "outside"),
    ] {
        assert!(FILE.contains(from), "{from}");
        let error = CellsFile::parse("cells", &FILE.replacen(from, to, 1), &core).expect_err(to);
        assert!(error.message.contains(why), "{to}: {error}");
        assert!(error.line > 0, "{to}: {error}");
    }
    let homeless = FILE.replace("(weight 1)", "(weight 0)");
    assert!(CellsFile::parse("cells", &homeless, &core).unwrap_err().message.contains("in no cell"));
    let mut keyed = core.clone();
    keyed.classes[0].idempotency = Idempotency::WithKey(IdempotencyScope::Zone, 1_000_000);
    let error = CellsFile::parse("cells", FILE, &keyed).unwrap_err();
    assert!(error.rule.is_some_and(|r| r.contains("twice")), "{error}");
}

// ---- moves ----

fn a_move(phase: MovePhase) -> TenantMove {
    TenantMove { tenant: "t".into(), to: vec!["b".into()], over_ms: 1000, phase }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A session that has moved stays while the move goes forward; one that has returned stays while it goes back.
    #[test]
    fn sessions_move_once_and_return_once(session in any::<u64>(), back in 0u64..3000, times in prop::collection::vec(0u64..6000, 2..40)) {
        let mut times = times;
        times.sort_unstable();
        let forward = a_move(MovePhase::Both { since: 500 });
        let over: Vec<bool> = times.iter().map(|t| forward.has_moved(session, *t)).collect();
        prop_assert!(over.is_sorted());
        let at = 500 + back;
        let backward = a_move(MovePhase::Back { since: 500, at });
        let over: Vec<bool> = times.iter().filter(|t| **t >= at).map(|t| backward.has_moved(session, *t)).collect();
        prop_assert!(over.iter().rev().is_sorted());
        // No session changes its cell at the moment in which the move is reversed.
        prop_assert_eq!(forward.has_moved(session, at), backward.has_moved(session, at));
        prop_assert!(!backward.has_moved(session, at + 1001));
    }
}

/// Exhaustive: three nodes see the versions of a move late, or never, in every combination, and
/// restart; requests arrive at every node in every state.
#[test]
fn three_nodes_agree_on_every_history_of_a_move() {
    let core = core(&["t"]);
    let base = "(cells (version NUMBER) (cell \"a\") (cell \"b\") (tenant \"t\" (cells \"a\")) MOVE)";
    let version = |v: usize, step: &str| {
        let text = base.replace("NUMBER", &v.to_string());
        let line = if step.is_empty() {
            String::new()
        } else {
            format!("(move \"t\" (to \"b\") (over-ms 1000) {step})")
        };
        CellsFile::parse("cells", &text.replace("MOVE", &line), &core).unwrap()
    };
    let histories = [
        // Forward to its end, then the home is changed and the move leaves the file.
        vec![
            version(1, ""),
            version(2, "(step prepare)"),
            version(3, "(step both) (since-unix-ms 2000)"),
            version(4, "(step done) (since-unix-ms 2000)"),
        ],
        // Reversed halfway.
        vec![
            version(1, ""),
            version(2, "(step prepare)"),
            version(3, "(step both) (since-unix-ms 2000)"),
            version(4, "(step back) (since-unix-ms 2000) (back-unix-ms 2500)"),
        ],
        // Reversed before any session moved.
        vec![
            version(1, ""),
            version(2, "(step prepare)"),
            version(3, "(step back) (back-unix-ms 1500)"),
            version(4, ""),
        ],
    ];
    let mut states = 0;
    for history in &histories {
        // The version at each node at each time; a node never goes back to an older one, but may skip versions.
        for held in 0..4usize.pow(3) {
            let at = [held % 4, held / 4 % 4, held / 16];
            for now in (0..5000).step_by(125) {
                for session in 0..12u64 {
                    states += 1;
                    let belongs: Vec<Option<CellName>> =
                        at.iter().map(|v| history[*v].cell_for(Some("t"), session, now)).collect();
                    // Every node has a cell for the session, whichever version it has.
                    assert!(belongs.iter().all(Option::is_some));
                    // Nodes with the same version agree, restarted or not.
                    for (i, j) in [(0, 1), (0, 2), (1, 2)] {
                        assert!(at[i] != at[j] || belongs[i] == belongs[j]);
                    }
                    // A node that missed `both` or `prepare` agrees with one that saw it.
                    if history[3].moves.iter().any(|m| matches!(m.phase, MovePhase::Done { .. })) {
                        assert_eq!(
                            history[2].cell_for(Some("t"), session, now),
                            history[3].cell_for(Some("t"), session, now)
                        );
                    }
                }
            }
            // Whichever version a node has, each later one is accepted, and no earlier one is.
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

/// Each command of an operator makes a version that a node with the one before accepts.
#[test]
fn move_commands_are_accepted_in_order_only() {
    let core = core(&["t", "u", "v"]);
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
    let walk = |turns: &[(MoveCommand, u64)]| {
        let mut node = Cells::new(first.clone(), 10, 1 << 20, &core);
        let mut file = first.clone();
        for (turn, at) in turns {
            file = file.apply_move_command("t", turn.clone(), *at).unwrap();
            assert_eq!(CellsFile::parse("again", &file.render(), &core).unwrap(), file);
            node.replace_file(0, file.clone()).unwrap();
        }
        file
    };
    let there = walk(&[
        (begin.clone(), 0),
        (MoveCommand::Go, 10),
        (MoveCommand::Done, 1010),
        (MoveCommand::Settle, 2000),
    ]);
    assert_eq!((there.version, there.home("t"), there.moves.len()), (5, vec!["b".into()], 0));
    let back = walk(&[
        (begin.clone(), 0),
        (MoveCommand::Go, 10),
        (MoveCommand::Back, 500),
        (MoveCommand::Settle, 5000),
    ]);
    assert_eq!((back.home("t"), back.moves.len()), (vec!["a".into()], 0));
    let never = walk(&[(begin.clone(), 0), (MoveCommand::Back, 5), (MoveCommand::Settle, 6)]);
    assert_eq!(never.home("t"), ["a".into()]);
    // Not before all sessions have moved, and not twice.
    let going = first
        .apply_move_command("t", begin.clone(), 0)
        .unwrap()
        .apply_move_command("t", MoveCommand::Go, 10)
        .unwrap();
    assert!(going.apply_move_command("t", MoveCommand::Done, 500).unwrap_err().to_string().contains("49%"));
    assert!(going.apply_move_command("t", begin, 500).is_err());
    assert!(going.apply_move_command("t", MoveCommand::Go, 500).is_err());
    assert!(going
        .apply_move_command("t", MoveCommand::Back, 500)
        .unwrap()
        .apply_move_command("t", MoveCommand::Settle, 600)
        .is_err());
}

#[test]
fn contradicting_move_steps_are_rejected() {
    let both = a_move(MovePhase::Both { since: 10 });
    assert!(!a_move(MovePhase::Both { since: 11 }).may_follow(&both));
    assert!(!a_move(MovePhase::Prepare).may_follow(&both));
    assert!(!a_move(MovePhase::Both { since: 10 }).may_follow(&a_move(MovePhase::Done { since: 10 })));
    assert!(a_move(MovePhase::Back { since: 10, at: 20 }).may_follow(&both));
    assert!(!a_move(MovePhase::Back { since: 10, at: 5 }).may_follow(&both));
}

// ---- levels, loans and edge admission ----

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
    // A cell that is able to serve again does so at once.
    health.update(34 * second, 0.5, 0.5);
    assert_eq!(health.level(), ServiceLevel::Shedding);
}

/// A node that starts knows the cells before their engines: no engine is lost then.
#[test]
fn cells_without_endpoint_list_are_not_unavailable() {
    let core = core(&["t", "u", "v"]);
    let mut node = Cells::new(CellsFile::parse("cells", FILE, &core).unwrap(), 10, 1 << 20, &core);
    node.set_engines(0, Vec::new());
    assert!(node.status(9).iter().all(|s| s.level == ServiceLevel::Normal));
    let mut all = Vec::new();
    for cell in ["a", "b"] {
        for (id, role) in
            [("r0", Role::Reader), ("r1", Role::Reader), ("w0", Role::Writer), ("w1", Role::Writer)]
        {
            all.push((member(&format!("{cell}{id}")), role, Some(CellName::from(cell))));
        }
    }
    node.set_engines(1, all.clone());
    assert!(node.status(9).iter().all(|s| s.level == ServiceLevel::Normal));
    // From then on an empty list means that all engines are gone.
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
    let served = |health: &mut CellHealth| (0..300).filter(|n| health.admits(Some(n % 3))).count();
    assert_eq!(served(&mut health), 100);
    (1..=6).for_each(|s| health.update_admission(s * second, false));
    assert_eq!(served(&mut health), 300, "at 0.8 the class of the lowest priority is admitted too");
    (7..=9).for_each(|s| health.update_admission(s * second, true));
    assert_eq!(served(&mut health), 100);
    assert!(health.usable_fraction() >= 0.2);
}

#[test]
fn shedding_cell_admits_highest_priority_classes() {
    let mut health = CellHealth::new([1.0, 2.0, 3.0].into_iter());
    health.update(0, 0.3, 0.3);
    let mut served = [0; 3];
    for n in 0..3000 {
        let class = n % 3;
        served[class] += usize::from(health.admits(Some(class)));
    }
    assert_eq!((served[0], served[2]), (0, 1000));
    assert!(!health.admits(None));
}

fn engine(id: &str, role: Role, cell: Option<&str>) -> ServingEngine {
    ServingEngine { engine: EngineId(id.into()), role, cell: cell.map(CellName::from) }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 200, ..ProptestConfig::default() })]

    /// Whichever engines come and go: only spare engines are lent, each once; no cell borrows what it does not
    /// lack; loans are stable while nothing changes; and all nodes agree.
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
        let (mut one, mut two) = (Loans::default(), Loans::default());
        let mut now = 0;
        for (which, is_up, seconds) in history {
            up[which % all.len()] = is_up;
            now += seconds * 1_000_000;
            let serving: Vec<ServingEngine> = all.iter().zip(&up).filter(|(_, up)| **up).map(|(e, _)| e.clone()).collect();
            one.update(now, &specs, &serving, |_| 0);
            let mut other_order = serving.clone();
            other_order.reverse();
            two.update(now, &specs, &other_order, |_| 0);
            for e in &all {
                prop_assert_eq!(one.borrower(&e.engine), two.borrower(&e.engine));
                if one.borrower(&e.engine).is_some() {
                    prop_assert!(e.cell.is_none() && serving.contains(e));
                }
            }
            prop_assert!(!one.update(now, &specs, &serving, |_| 0), "a second update with the same engines changed something");
            // No cell lacks an engine while there is a spare one of the role.
            for spec in &specs {
                let mine = |s: &&ServingEngine| s.cell.as_ref() == Some(&spec.name) || one.borrower(&s.engine) == Some(&spec.name);
                for (role, need) in [(Role::Reader, 2), (Role::Writer, 2)] {
                    let has = serving.iter().filter(mine).filter(|s| s.role == role || s.role == Role::Mixed).count();
                    let free = serving.iter().any(|s| s.cell.is_none() && s.role == role && one.borrower(&s.engine).is_none());
                    prop_assert!(has >= need || !free, "{:?} lacks {:?} while one is spare", spec.name, role);
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
        let mut held: Vec<(usize, usize)> = Vec::new();
        for (c, t, arrives) in steps {
            if !arrives {
                if let Some(at) = held.iter().position(|h| *h == (c, t)) {
                    held.swap_remove(at);
                    edge.release(&names[c], tenants[t], 0);
                }
                continue;
            }
            let SlotUsage { quota: part, used } = edge.usage(&names[c]);
            match edge.decide(&names[c], tenants[t], 1.0) {
                EdgeDecision::Admit => {
                    edge.reserve(&names[c], tenants[t], 0);
                    held.push((c, t));
                }
                EdgeDecision::Displace(other) => {
                    let SlotUsage { quota: their, used } = edge.usage(&other);
                    prop_assert!(used > their || other == names[c], "displaced at {} of {}", used, their);
                    let heaviest = edge.heaviest_tenant(&other).unwrap();
                    edge.release(&other, heaviest.as_deref(), 0);
                    let index = names.iter().position(|n| *n == other).unwrap();
                    let tenant = tenants.iter().position(|t| t.map(str::to_string) == heaviest).unwrap();
                    held.swap_remove(held.iter().position(|h| *h == (index, tenant)).unwrap());
                    edge.reserve(&names[c], tenants[t], 0);
                    held.push((c, t));
                }
                EdgeDecision::Reject(after) => {
                    prop_assert!(used >= part, "rejected with {} of {} used", used, part);
                    prop_assert!((1..=2000).contains(&after));
                }
            }
            prop_assert_eq!(edge.used_slots(), held.len());
            prop_assert!(held.len() <= 30);
        }
    }
}

/// One tenant floods its cell: another tenant of the cell still gets its fair slots.
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
