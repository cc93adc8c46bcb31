//! Scenario simulations: the rules are kept, the same seed gives the same record, and the module serves more
//! than the random baseline where prefix caching matters.

use pintally_lab::*;
use pintally_scenario::{with_figures, Scenario};

const DAY: &str = r#"(day (name "lab") (seed 1) (seconds 20) (settle-seconds 20)
  (zones "a" "b") (racks 4) (nodes 3 (notice-ms 200)) (slack-ms 5)
  (rules (warm-after-ms 3000) (tip-window-ms 500))
  (limits (held 600) (answer-margin-ms 50))
  (class "hint" (effect safe) (aim-ms 800) (patience-ms 3000) (worth 2))
  (class "keyed" (effect keyed (group all) (window-ms 9000)) (aim-ms 1000) (patience-ms 4000))
  (class "graded-submit" (effect unsafe) (aim-ms 1000) (patience-ms 4000) (worth 3))
  (tenant "north") (tenant "south")
  (kind "prefill" (role reader) (slots 8) (memory-tokens 60000))
  (kind "decode" (role writer) (slots 16) (memory-tokens 60000))
  (engines "prefill" (count 4) (queue 20) (read-per-s 9000))
  (engines "decode" (count 6) (queue 12) (token-gap-ms 15))
  (traffic (per-second 45) (retries 1) (retry-wait-ms 200) (own-texts 1) (shared-texts 10) (shared-tokens 400 900)
    (class "hint" (share 50)) (class "keyed" (share 25)) (class "graded-submit" (share 25))
    (tenant "north" (share 60)) (tenant "south" (share 40)))
  FAULTS)"#;

const FAULTS: &str = r#"(fault crash (at 3) (for 4) (part 0.25)) (fault slow (at 6) (for 5) (part 0.3) (size 5))
  (fault drain (at 9) (for 4) (part 0.2)) (fault forget (at 10) (part 1)) (fault burst (at 12) (for 3) (size 3))
  (fault hang (at 8) (for 2) (part 0.2)) (fault slow-links (at 14) (for 3) (part 0.5) (size 8))
  (fault restart (at 5) (part 0.2)) (fault stale-reports (at 2) (for 9) (part 0.5))
  (fault lying-reports (at 12) (for 4) (part 0.3)) (fault hot-text (at 16) (for 3) (size 0.5))"#;

fn day(faults: &str) -> Scenario {
    Scenario::parse("lab", &DAY.replace("FAULTS", faults)).unwrap()
}

#[test]
fn module_keeps_rules_under_faults() {
    let day = day(FAULTS);
    for seed in 1..6 {
        let (record, engines, _) = World::new(&day, PolicyKind::Module, seed).play();
        let times = (day.drain_grace.as_micros() as u64, day.slack.as_micros() as u64);
        let record = with_figures(&day.settings, times, engines, record);
        let report = pintally_audit::audit(&record).unwrap();
        assert!(report.rules.kept(), "seed {seed}: {:#?}", report.rules);
        assert!(report.requests > 700 && report.served * 2 > report.requests, "seed {seed}: {report:?}");
    }
}

#[test]
fn record_depends_only_on_seed() {
    let day = day(FAULTS);
    let text = |policy, seed| format!("{:?}", World::new(&day, policy, seed).play().0);
    for policy in PolicyKind::ALL {
        let first = text(policy, 7);
        assert!(first == text(policy, 7), "{}", policy.name());
        assert!(first != text(policy, 8), "{}", policy.name());
    }
}

/// An audit that cannot fail proves nothing. This test checks that the audit finds a policy that retries an unsafe
/// request after an attempt that may have run.
#[test]
fn audit_finds_policy_that_retries_unsafe_requests() {
    use pintally::interface::Outcome;
    use pintally_host::{Command, Host, Input};
    /// Reports each broken or timed-out attempt to its host as never sent.
    struct ReportsNeverSent(Host);
    impl Policy for ReportsNeverSent {
        fn handle(&mut self, now: u64, input: Input, out: &mut Vec<Command>) {
            let input = match input {
                Input::AttemptEnded {
                    number,
                    attempt,
                    outcome: Outcome::ConnectionBroken | Outcome::TimedOut,
                    ..
                } => {
                    let (kept, load, state) = (0, None, None);
                    Input::AttemptEnded {
                        number,
                        attempt,
                        outcome: Outcome::NeverSent,
                        cached_tokens: kept,
                        load,
                        state,
                    }
                }
                other => other,
            };
            self.0.handle(now, input, out);
        }
        fn tick(&mut self, now: u64, out: &mut Vec<Command>) {
            self.0.tick(now, out);
        }
        fn next_wake(&self) -> Option<u64> {
            self.0.next_wake()
        }
    }
    // Engines start the answers, but the first token comes later than the node's timeout.
    let day = day("(fault slow (at 4) (for 6) (of \"decode\") (part 0.5) (size 300))");
    let mut world = World::new(&day, PolicyKind::Module, 3);
    world.replace_policies(|settings, seed| Box::new(ReportsNeverSent(Host::new(settings, seed))));
    let (record, engines, _) = world.play();
    let record = with_figures(&day.settings, (1_000_000, 5_000), engines, record);
    let report = pintally_audit::audit(&record).unwrap();
    assert!(!report.rules.twice.is_empty(), "{report:?}");
}

/// Prefix caching saves prefill work where reader capacity is short, so the module must serve more in time than a
/// policy that ignores cached prefixes.
#[test]
fn module_beats_random_when_readers_are_short() {
    let found = compare(&day(""), &[1.6], 1..7).unwrap();
    let of = |policy| found.iter().find(|c| c.policy == policy).unwrap();
    let random = of(PolicyKind::Random);
    println!("{found:#?}");
    assert!(of(PolicyKind::Module).runs_with_violations == 0);
    assert!(random.against_module.most < 0.0, "{random:?}");
}

/// Nodes with the old and the new configuration share the same overloaded engines: for each number of moved nodes
/// the rules hold, and neither group takes the other's share of the capacity.
#[test]
fn moved_and_old_nodes_share_engines_evenly() {
    let base = DAY
        .replace("FAULTS", "")
        .replace("(nodes 3 ", "(nodes 6 ")
        .replace("(per-second 45)", "(per-second 90)");
    let base = base.replace("(engines \"prefill\" (count 4)", "(engines \"prefill\" (count 3)");
    for (moved, seed) in [(1, 1), (3, 2), (5, 3)] {
        let text = base.replace(
            "(notice-ms 200)",
            &format!("(notice-ms 200) (moved {moved} (reports off) (probes no) (writers-read yes))"),
        );
        let day = Scenario::parse("moving", &text).unwrap();
        let (record, kept) = pintally_lab::record(&day, PolicyKind::Module, seed).unwrap();
        assert!(kept, "{moved} moved, seed {seed}");
        let shapes = pintally_scenario::ShapeComparison::of(&day, &record);
        assert_eq!(shapes.new.nodes, moved);
        assert!(shapes.evenness() > 0.8, "{moved} moved, seed {seed}: {shapes:?}");
        let sends = |s: pintally_scenario::ShapeStats| s.sends as f64 / s.asked as f64;
        let even = sends(shapes.old) / sends(shapes.new);
        assert!((0.7..=1.4).contains(&even), "{moved} moved, seed {seed}: {shapes:?}");
    }
}
