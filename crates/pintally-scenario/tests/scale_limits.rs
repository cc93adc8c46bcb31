//! Size limits of scenarios: what loads, and what is refused with which message.

use pintally_scenario::{Scenario, MAX_NODES};

const POWER_SCENARIO: &str = include_str!("../../../examples/power-day.sexp");

fn scenario_with(nodes: usize, engines: usize, processes: bool) -> Result<Scenario, String> {
    let nodes = format!("(nodes {nodes} (processes {}) ", if processes { "yes" } else { "no" });
    let mut text = POWER_SCENARIO.replace("(nodes 5 (processes yes) ", &nodes);
    if !processes {
        let from = text.find("(peers ").expect("the day has peers");
        let to = text.find("(rules ").expect("and rules behind them");
        text.replace_range(from..to, "");
        // Faults of links and of power need nodes that are processes.
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

/// Guards against limits too low for real deployments: 1,024 nodes and as many engines load; one more node
/// is refused with a message that names the limit.
#[test]
fn loads_1024_nodes_and_engines_and_refuses_more_nodes() {
    for nodes in [350, MAX_NODES] {
        let scenario = scenario_with(nodes, 1024, false).expect("it loads");
        assert_eq!(scenario.nodes, nodes);
        let engines: usize = scenario.engines.iter().map(|e| e.count).sum();
        assert_eq!(engines, 1024);
    }
    let beyond = scenario_with(MAX_NODES + 1, 16, false).expect_err("one too many");
    assert!(beyond.contains("1024"), "{beyond}");
    // The limit is the same for nodes that are processes with links between them.
    assert_eq!(scenario_with(MAX_NODES, 16, true).expect("it loads").nodes, MAX_NODES);
}
