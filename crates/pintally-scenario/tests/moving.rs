//! A deployment on the move: nodes of the old and of the new shape before the same engines, over sockets. The
//! rules hold, and neither shape starves the other.

use pintally_scenario::{run_steady, Scenario, ShapeComparison};

/// The example's day, shorter, with so many of its four nodes moved, more said of their shape, and so many
/// mixed engines.
fn day(moved: usize, more: &str, mixed: usize) -> Scenario {
    let text = std::fs::read_to_string("../../examples/move-day.sexp").unwrap();
    let faults = text.find("  (fault ").unwrap();
    let text = text[..faults]
        .replace("(moved 2 ", &format!("(moved {moved} {more} "))
        .replace("(count 2) (queue 16)", &format!("(count {mixed}) (queue 16)"))
        .replace("(seconds 24)", "(seconds 8)")
        .replace("(per-second 60)", "(per-second 45)");
    assert!(text.contains("(seconds 8)") && text.contains("(per-second 45)"));
    // Writers die and readers fall silent while both shapes send to them; an engine drains.
    let faults = r#"(fault crash (at 2) (for 4) (part 0.2) (of "decode"))
        (fault silent (at 3) (for 2) (part 0.2) (of "prefill")) (fault drain (at 5) (for 3) (part 0.2)))"#;
    Scenario::parse("moving", &(text + faults)).unwrap()
}

/// Half of the nodes have moved: what goes over the sockets keeps the rules, and each shape serves its clients
/// as well as the other does. Seeds are fixed and printed.
#[test]
fn nodes_of_both_shapes_keep_the_rules_and_neither_starves_the_other() {
    for (seed, moved) in [(3, 2), (4, 1)] {
        let day = day(moved, "", 2);
        let result = run_steady(&day, seed, None).unwrap();
        assert!(result.kept(), "seed {seed}: {:#?}", result.report.rules);
        let shapes = result.shapes.unwrap();
        assert_eq!((shapes.old.nodes, shapes.new.nodes), (4 - moved, moved));
        for shape in [shapes.old, shapes.new] {
            assert!(shape.asked > 50 && shape.share() > 0.7, "seed {seed}: {shapes:?}");
        }
        assert!(shapes.evenness() > 0.8, "seed {seed}: {shapes:?}");
    }
}

/// The check above can fail: where no engine does both steps, moved nodes whose settings leave a request a
/// single attempt serve nobody, and it shows.
#[test]
fn a_shape_that_serves_nobody_is_seen_to_starve() {
    let day = day(2, "(attempts 1)", 0);
    let result = run_steady(&day, 5, None).unwrap();
    let shapes = ShapeComparison::of(&day, &result.record);
    assert!(shapes.new.asked > 50 && shapes.old.share() > 0.7, "{shapes:?}");
    assert!(shapes.evenness() < 0.5, "{shapes:?}");
}
