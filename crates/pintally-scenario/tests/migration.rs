//! A migration in progress: nodes of the old and the new shape share the same engines, over sockets. The
//! audit's rules hold, and neither shape starves the other.

use pintally_scenario::{run_steady, Scenario, ShapeComparison};

/// A shorter version of the example scenario, with `moved` of its four nodes migrated, `more` settings for
/// these, and `mixed` mixed engines.
fn scenario(moved: usize, more: &str, mixed: usize) -> Scenario {
    let text = std::fs::read_to_string("../../examples/move-day.sexp").unwrap();
    let faults = text.find("  (fault ").unwrap();
    let text = text[..faults]
        .replace("(moved 2 ", &format!("(moved {moved} {more} "))
        .replace("(count 2) (queue 16)", &format!("(count {mixed}) (queue 16)"))
        .replace("(seconds 24)", "(seconds 8)")
        .replace("(per-second 60)", "(per-second 45)");
    assert!(text.contains("(seconds 8)") && text.contains("(per-second 45)"));
    // Writers crash and readers fall silent while both shapes send to them; an engine drains.
    let faults = r#"(fault crash (at 2) (for 4) (part 0.2) (of "decode"))
        (fault silent (at 3) (for 2) (part 0.2) (of "prefill")) (fault drain (at 5) (for 3) (part 0.2)))"#;
    Scenario::parse("moving", &(text + faults)).unwrap()
}

/// With one or two of the four nodes migrated, the rules hold over sockets, and each shape serves its clients
/// about as well as the other. Seeds are fixed, and printed on failure.
#[test]
fn both_shapes_keep_the_rules_and_share_engines_evenly() {
    for (seed, moved) in [(3, 2), (4, 1)] {
        let scenario = scenario(moved, "", 2);
        let result = run_steady(&scenario, seed, None).unwrap();
        assert!(result.kept(), "seed {seed}: {:#?}", result.report.rules);
        let shapes = result.shapes.unwrap();
        assert_eq!((shapes.old.nodes, shapes.new.nodes), (4 - moved, moved));
        for shape in [shapes.old, shapes.new] {
            assert!(shape.asked > 50 && shape.share() > 0.7, "seed {seed}: {shapes:?}");
        }
        assert!(shapes.evenness() > 0.8, "seed {seed}: {shapes:?}");
    }
}

/// Shows that the check above can fail: without mixed engines, migrated nodes that allow one attempt per
/// request serve nothing, and the evenness shows it.
#[test]
fn evenness_detects_a_starved_shape() {
    let scenario = scenario(2, "(attempts 1)", 0);
    let result = run_steady(&scenario, 5, None).unwrap();
    let shapes = ShapeComparison::of(&scenario, &result.record);
    assert!(shapes.new.asked > 50 && shapes.old.share() > 0.7, "{shapes:?}");
    assert!(shapes.evenness() < 0.5, "{shapes:?}");
}
