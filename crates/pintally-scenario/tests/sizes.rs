//! Large days: what loads, and what does not and why.

use pintally_scenario::{Scenario, MAX_NODES};

const POWER_DAY: &str = include_str!("../../../examples/power-day.sexp");

fn with(nodes: usize, engines: usize, processes: bool) -> Result<Scenario, String> {
    let nodes = format!("(nodes {nodes} (processes {}) ", if processes { "yes" } else { "no" });
    let mut text = POWER_DAY.replace("(nodes 5 (processes yes) ", &nodes);
    if !processes {
        let from = text.find("(peers ").expect("the day has peers");
        let to = text.find("(rules ").expect("and rules behind them");
        text.replace_range(from..to, "");
        // Troubles of links and of power need processes.
        text = text
            .lines()
            .filter(|l| !l.contains("(fault ") && !l.contains("(disk "))
            .collect::<Vec<_>>()
            .join("\n");
        text.push_str(if text.matches('(').count() > text.matches(')').count() { ")" } else { "" });
    }
    for count in ["(count 7)", "(count 9)"] {
        text = text.replace(count, &format!("(count {})", engines / 2));
    }
    Scenario::parse("day", &text).map_err(|e| e.to_string())
}

/// Guards against caps that other deployments meet: 1,024 nodes and as many engines load, one node more
/// is refused with its bound.
#[test]
fn a_thousand_nodes_and_engines_load_and_what_is_beyond_is_named() {
    for nodes in [350, MAX_NODES] {
        let day = with(nodes, 1024, false).expect("it loads");
        assert_eq!(day.nodes, nodes);
        let engines: usize = day.engines.iter().map(|e| e.count).sum();
        assert_eq!(engines, 1024);
    }
    let beyond = with(MAX_NODES + 1, 16, false).expect_err("one too many");
    assert!(beyond.contains("1024"), "{beyond}");
    // With links between them, each a process, there may be as many.
    assert_eq!(with(MAX_NODES, 16, true).expect("it loads").nodes, MAX_NODES);
}
