//! Failing engines, overloaded cells, paused moves, and quotas for request bodies.

mod common;

use std::collections::BTreeMap;

use common::serving_endpoint;
use pintally::interface::*;
use pintally_cells::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

fn id(name: &str) -> EngineId {
    EngineId(name.into())
}

fn idle_load() -> LoadReport {
    LoadReport { queue: Some(0.0), slots: Some(0.2), ..LoadReport::default() }
}

fn full_load() -> LoadReport {
    LoadReport { queue: Some(9.0), slots: Some(1.0), ..LoadReport::default() }
}

// ---- engine health ----

#[test]
fn failing_engine_scores_zero_and_recovers_in_time() {
    let (mut health, engine) = (EngineHealth::default(), id("e"));
    for n in 0..80 {
        health.record_attempt(n * 50_000, &engine, Some(n as usize % 3), Outcome::Error, None);
    }
    let now = 4 * SECOND;
    assert_eq!(health.score(now, &engine), 0.0);
    assert!(health.is_failing(&engine) && health.needs_tick(now));
    assert_eq!(health.score(now, &id("other")), 1.0);
    // Failures have a half-life of ten seconds; after two minutes they no longer matter.
    assert!((0.1..0.3).contains(&health.score(now + 15 * SECOND, &engine)));
    health.tick(now + 120 * SECOND);
    assert!(!health.is_failing(&engine) && !health.needs_tick(now + 120 * SECOND));
}

/// Guards against a tenant whose requests no engine can serve: its failures must not make the cell unavailable for
/// other tenants.
#[test]
fn failures_of_one_tenant_count_as_one_vote() {
    let (mut health, engine) = (EngineHealth::default(), id("e"));
    for n in 0..400 {
        health.record_attempt(n * 10_000, &engine, Some(0), Outcome::Error, None);
        if n % 10 == 0 {
            health.record_attempt(n * 10_000, &engine, Some(1), Outcome::Served, None);
            health.record_attempt(n * 10_000, &engine, Some(2), Outcome::Served, None);
        }
    }
    let score = health.score(4 * SECOND, &engine);
    assert!((0.6..0.75).contains(&score), "{score}");
    assert!(!health.is_failing(&engine));
}

/// Guards against mistaking a flood of requests for faulty engines: timeouts of an engine at capacity, and rejections,
/// are no failures of the engine.
#[test]
fn engine_at_capacity_is_not_failing() {
    let mut health = EngineHealth::default();
    for n in 0..200 {
        let at = n * 10_000;
        health.record_attempt(at, &id("full"), Some(n as usize % 2), Outcome::TimedOut, Some(&full_load()));
        health.record_attempt(at, &id("mute"), Some(n as usize % 2), Outcome::TimedOut, None);
        for outcome in [Outcome::Overloaded, Outcome::StateNotFound, Outcome::Cancelled, Outcome::NeverSent] {
            health.record_attempt(at, &id("busy"), Some(0), outcome, None);
        }
        health.record_attempt(at, &id("idle"), Some(n as usize % 2), Outcome::TimedOut, Some(&idle_load()));
    }
    for name in ["full", "mute", "busy"] {
        assert_eq!(health.score(2 * SECOND, &id(name)), 1.0, "{name}");
    }
    assert_eq!(health.score(2 * SECOND, &id("idle")), 0.0);
}

#[test]
fn relapsing_engine_recovers_more_slowly() {
    let (mut health, engine, mut now) = (EngineHealth::default(), id("e"), 0);
    let mut recovery_times = Vec::new();
    for _ in 0..4 {
        (0..30).for_each(|_| health.record_attempt(now, &engine, None, Outcome::ConnectionBroken, None));
        assert!(health.is_failing(&engine));
        let began = now;
        while health.is_failing(&engine) {
            now += SECOND;
            health.tick(now);
        }
        recovery_times.push(now - began);
    }
    assert!(recovery_times.windows(2).all(|w| w[1] >= w[0] * 3 / 2), "{recovery_times:?}");
    // After twenty consecutive successes a failure does not count as a relapse.
    (0..20).for_each(|_| health.record_attempt(now, &engine, None, Outcome::Served, None));
    now += 100 * SECOND;
    (0..30).for_each(|_| health.record_attempt(now, &engine, None, Outcome::ConnectionBroken, None));
    let began = now;
    while health.is_failing(&engine) {
        now += SECOND;
        health.tick(now);
    }
    assert!(now - began <= recovery_times[0] * 2, "{} against {recovery_times:?}", now - began);
}

// ---- cells whose engines fail ----

fn core_settings() -> Settings {
    let text = r#"(pintally (node (name "n") (engines "unused"))
      (class "safe" (effect safe) (aim-ms 500) (patience-ms 2000))
      (class "once" (effect unsafe) (aim-ms 500) (patience-ms 2000) (worth 3))
      (tenant "t") (tenant "u")
      (kind "r" (role reader)) (kind "w" (role writer)))"#;
    pintally_config::NodeSettings::parse("test", text).unwrap().core
}

const FILE: &str = r#"(cells (version 1)
  (cell "a" (readers 1) (writers 2) (fallback "b")) (cell "b" (readers 1) (writers 2))
  (tenant "t" (cells "a")) (tenant "u" (cells "b")))"#;

/// Two cells with the readers `ar`, `br` and the writers `aw0`, `aw1`, `bw0`, `bw1`; spare engines are `sr`, `sw`.
fn cells(spare: bool) -> Cells {
    let core = core_settings();
    let mut cells = Cells::new(CellsFile::parse("cells", FILE, &core).unwrap(), 100, 1 << 20, &core);
    let mut all = Vec::new();
    for cell in ["a", "b"] {
        all.push((serving_endpoint(&format!("{cell}r")), Role::Reader, Some(cell.into())));
        all.push((serving_endpoint(&format!("{cell}w0")), Role::Writer, Some(cell.into())));
        all.push((serving_endpoint(&format!("{cell}w1")), Role::Writer, Some(cell.into())));
    }
    if spare {
        all.push((serving_endpoint("sr"), Role::Reader, None));
        all.push((serving_endpoint("sw"), Role::Writer, None));
    }
    cells.set_engines(0, all);
    cells
}

fn status(cells: &Cells, now: Micros, name: &str) -> CellStatus {
    cells.status(now).into_iter().find(|s| *s.cell.0 == *name).unwrap()
}

fn request(class: usize) -> AdmissionRequest<'static> {
    AdmissionRequest { tenant: Some("t"), session: 1, class: Some(class), bytes: 100 }
}

/// Both writers of cell `a` answer every request with an error, as after a faulty software release; returns the time.
fn fail_writers(cells: &mut Cells, from: Micros) -> Micros {
    for n in 0..60 {
        for engine in ["aw0", "aw1"] {
            cells.record_attempt(
                from + n * 50_000,
                &id(engine),
                Some(n as usize % 2),
                Outcome::Error,
                Some(&idle_load()),
            );
        }
    }
    let now = from + 60 * 50_000;
    cells.reassign(now);
    now
}

#[test]
fn failing_cell_is_unavailable_and_recovers_by_trials() {
    let mut cells = cells(false);
    let now = fail_writers(&mut cells, 0);
    let a = status(&cells, now, "a");
    assert_eq!((a.level, a.failing), (ServiceLevel::Unavailable, true));
    assert_eq!(status(&cells, now, "b").level, ServiceLevel::Normal);
    // One idempotent request a second is admitted as a trial; others never are.
    assert_eq!(cells.admit(now, request(1), 0), CellAdmission::Admit("b".into()));
    assert_eq!(cells.admit(now, request(0), 0), CellAdmission::Admit("a".into()));
    assert_eq!(cells.admit(now, request(0), 0), CellAdmission::Admit("b".into()));
    assert_eq!(cells.admit(now + SECOND, request(0), 0), CellAdmission::Admit("a".into()));
    // When trials succeed the cell recovers step by step.
    let (mut at, mut levels) = (now, vec![ServiceLevel::Unavailable]);
    for _ in 0..90 {
        at += SECOND;
        for engine in ["aw0", "aw1"] {
            cells.record_attempt(at, &id(engine), Some(0), Outcome::Served, Some(&idle_load()));
        }
        cells.reassign(at);
        let level = status(&cells, at, "a").level;
        if levels.last() != Some(&level) {
            levels.push(level);
        }
    }
    assert_eq!(
        levels,
        [ServiceLevel::Unavailable, ServiceLevel::Shedding, ServiceLevel::Constrained, ServiceLevel::Normal]
    );
}

#[test]
fn spare_engines_replace_failing_ones() {
    let mut cells = cells(true);
    let now = fail_writers(&mut cells, 0);
    let a = status(&cells, now, "a");
    // One spare writer of the two that it lacks.
    assert_eq!((a.borrowed, a.level, a.failing), (1, ServiceLevel::Constrained, false));
    let assignment = cells.reassign(now + 1);
    let engines = &assignment.cells[&CellName::from("a")];
    let borrowed = engines.iter().find(|e| &*e.engine.0 == "sw").expect("the spare writer");
    assert!(borrowed.started.is_some(), "a borrowed engine counts as just started");
    assert!(
        engines.iter().any(|e| &*e.engine.0 == "aw0"),
        "the cell's core keeps its own engines and tries them"
    );
}

// ---- overload and requested engines ----

#[test]
fn overloaded_cell_borrows_engines_and_returns_them() {
    let mut cells = cells(true);
    let name = CellName::from("b");
    let mut now = 0;
    while now < 3 * SECOND {
        now += 20_000;
        cells.record_response(now, &name, now % 60_000 == 0);
        cells.reassign(now);
    }
    let b = status(&cells, now, "b");
    assert_eq!((b.borrowed, b.overloaded, b.level), (2, true, ServiceLevel::Normal));
    // Engines lost by another cell are replaced first: a requested engine is reclaimed at once.
    let now = fail_writers(&mut cells, now);
    assert_eq!(status(&cells, now, "a").borrowed, 1);
    assert_eq!(status(&cells, now, "b").borrowed, 1);
    // A cell that is no longer overloaded returns the engines that it requested.
    let mut at = now;
    while at < now + 60 * SECOND {
        at += 100_000;
        cells.record_response(at, &name, false);
        cells.reassign(at);
    }
    assert_eq!(status(&cells, at, "b").borrowed, 0);
}

#[test]
fn two_requesting_cells_share_spare_engines() {
    let mut loans = Loans::default();
    let text = r#"(cells (version 1) (cell "a") (cell "b"))"#;
    let file = CellsFile::parse("cells", text, &core_settings()).unwrap();
    let engine = |name: &str, role, cell: Option<&str>| ServingEngine {
        engine: id(name),
        role,
        cell: cell.map(CellName::from),
    };
    let mut all = vec![
        engine("ar", Role::Reader, Some("a")),
        engine("aw", Role::Writer, Some("a")),
        engine("br", Role::Reader, Some("b")),
        engine("bw", Role::Writer, Some("b")),
    ];
    (0..4).for_each(|n| all.push(engine(&format!("s{n}"), Role::Mixed, None)));
    let borrowed = |loans: &Loans, name: &str| {
        all.iter().filter(|e| loans.borrower(&e.engine).is_some_and(|c| *c.0 == *name)).count()
    };
    loans.update(0, &file.cells, &all, |c| if *c.0 == *"a" { 2 } else { 0 });
    assert_eq!((borrowed(&loans, "a"), borrowed(&loans, "b")), (4, 0));
    loans.update(1, &file.cells, &all, |_| 2);
    assert_eq!((borrowed(&loans, "a"), borrowed(&loans, "b")), (2, 2));
    assert!(!loans.update(2, &file.cells, &all, |_| 2), "loans are stable");
}

// ---- the rate of a move ----

fn tenant_move(phase: MovePhase) -> TenantMove {
    TenantMove { tenant: "t".into(), to: vec!["b".into()], over_ms: 10_000, phase }
}

#[test]
fn move_pauses_while_target_is_overloaded() {
    let (mut rate, both) = (MoveRateController::default(), tenant_move(MovePhase::Both { since: 1000 }));
    assert_eq!(rate.update_share(&both, 1000, false), 0.0);
    assert!((rate.update_share(&both, 3000, false) - 0.2).abs() < 1e-9);
    assert!((rate.update_share(&both, 8000, true) - 0.2).abs() < 1e-9);
    // The sessions held back by the pause do not move all at once.
    assert!((rate.update_share(&both, 9000, false) - 0.3).abs() < 1e-9);
    let done = tenant_move(MovePhase::Done { since: 1000 });
    assert!((rate.update_share(&done, 12_000, false) - 0.6).abs() < 1e-9);
    assert_eq!(rate.update_share(&done, 60_000, false), 1.0);
    // A node that receives the phase `both` late moves sessions at the file's rate from then on.
    let mut late = MoveRateController::default();
    assert_eq!(late.update_share(&tenant_move(MovePhase::Prepare), 5000, false), 0.0);
    assert!((late.update_share(&both, 6000, false) - 0.1).abs() < 1e-9);
    assert!((late.update_share(&both, 9000, false) - 0.4).abs() < 1e-9);
    // A node that restarts starts at the file's share.
    assert!((MoveRateController::default().update_share(&both, 6000, true) - 0.5).abs() < 1e-9);
}

#[test]
fn sessions_leave_unavailable_home_for_overloaded_target() {
    let core = core_settings();
    let mut cells = cells(false);
    let moving = FILE.replace(
        "(tenant \"u\"",
        "(move \"t\" (to \"b\") (over-ms 1000) (step both) (since-unix-ms 5000)) (tenant \"u\"",
    );
    let moving = moving.replace("(version 1)", "(version 2)");
    cells.replace_file(0, CellsFile::parse("cells", &moving, &core).unwrap()).unwrap();
    let count_moved = |cells: &mut Cells, now, unix_ms| {
        let mut moved = 0;
        for session in 0..200 {
            let request = AdmissionRequest { tenant: Some("t"), session, class: Some(1), bytes: 0 };
            let decision = cells.admit(now, request, unix_ms);
            moved += usize::from(decision == CellAdmission::Admit("b".into()));
            if let CellAdmission::Admit(cell) = decision {
                cells.release(&cell, Some("t"), 0);
            }
        }
        moved
    };
    assert_eq!(count_moved(&mut cells, 0, 5000), 0);
    (0..40).for_each(|n| cells.record_response(n, &"b".into(), true));
    assert_eq!(count_moved(&mut cells, 50, 5900), 0, "the target is overloaded: no session moves");
    assert_eq!(cells.paused_moves(), ["t"]);
    // The home cell fails, so that the target is better although it is overloaded.
    let now = fail_writers(&mut cells, 50);
    (0..40).for_each(|n| cells.record_response(now + n, &"b".into(), true));
    count_moved(&mut cells, now + 50, 5950);
    assert!(cells.paused_moves().is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// With any pauses and steps of the clock, sessions that have moved stay, and none moves earlier than the file
    /// allows.
    #[test]
    fn paused_move_neither_returns_nor_runs_ahead(steps in prop::collection::vec((0u64..3000, any::<bool>(), any::<bool>()), 1..60)) {
        let (mut rate, mut unix, mut last) = (MoveRateController::default(), 1000u64, 0.0f64);
        for (elapsed, back, paused) in steps {
            unix = if back { unix.saturating_sub(elapsed / 8).max(1000) } else { unix + elapsed };
            let both = tenant_move(MovePhase::Both { since: 1000 });
            let share = rate.update_share(&both, unix, paused);
            prop_assert!(share >= last);
            prop_assert!(share <= both.moved_share(unix).max(last));
            last = share;
        }
        let back = tenant_move(MovePhase::Back { since: 1000, at: unix });
        prop_assert!(rate.update_share(&back, unix, false) <= last);
        prop_assert_eq!(rate.update_share(&back, unix + 10_001, true), 0.0);
    }

    /// Half of a cell's quota for bodies is available regardless of what other cells have reserved; all cells together
    /// never exceed the capacity; and the number of reserved bytes is exact.
    #[test]
    fn half_of_each_body_quota_is_never_lent(steps in prop::collection::vec((0usize..3, 1usize..400, any::<bool>()), 1..200)) {
        let names: Vec<CellName> = ["a", "b", "c"].map(CellName::from).to_vec();
        let mut edge = EdgeAdmission::default();
        edge.divide(10_000, 3000, names.iter().map(|n| (n, 1.0)));
        let mut reserved: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for (cell, bytes, leaves) in steps {
            let own = reserved.entry(cell).or_default();
            if leaves {
                if let Some(bytes) = own.pop() {
                    edge.release(&names[cell], None, bytes);
                }
                continue;
            }
            let within_half = own.iter().sum::<usize>() + bytes <= 500;
            let fits = edge.fits_body(&names[cell], bytes);
            prop_assert!(fits || !within_half, "a cell within its half was rejected");
            if fits {
                edge.reserve(&names[cell], None, bytes);
                own.push(bytes);
            }
            let total: usize = reserved.values().flatten().sum();
            prop_assert_eq!(edge.body_bytes(), total);
            prop_assert!(total <= 3000);
        }
    }
}

/// Guards against failures that count after their cause is gone: earlier connection failures of an engine that can be
/// reached again, and earlier failures of an engine that was restarted or repaired, must not keep it failing.
#[test]
fn repaired_engine_recovers_at_once() {
    let mut health = EngineHealth::default();
    for name in ["cut", "restarted", "repaired"] {
        for _ in 0..40 {
            health.record_attempt(0, &id(name), None, Outcome::Unreachable, None);
        }
        health.set_started(&id(name), Some(1));
        (0..40).for_each(|_| health.record_attempt(0, &id(name), None, Outcome::ConnectionBroken, None));
        assert_eq!(health.score(0, &id(name)), 0.0);
    }
    health.record_health_check(1, &id("cut"));
    health.set_started(&id("restarted"), Some(2));
    (0..9).for_each(|_| health.record_attempt(1, &id("repaired"), None, Outcome::Served, None));
    for name in ["cut", "restarted", "repaired"] {
        assert!(health.score(1, &id(name)) > 0.75 && !health.is_failing(&id(name)), "{name}");
    }
    // A successful health check does not discard failures of requests.
    (0..40).for_each(|_| health.record_attempt(2, &id("bad"), None, Outcome::Error, None));
    health.record_health_check(3, &id("bad"));
    assert_eq!(health.score(3, &id("bad")), 0.0);
}
