//! The golden file of the status documents of `serve`: the names of all fields in their order, and their paths.

use std::collections::BTreeSet;
use std::path::Path;

use pintally_scenario::http_get;
use serde_json::Value;

use crate::node_processes::{wait_until, NodeProcesses};

const FLEET_FORMS: &str = r#"(keepers (names "n0" "n1" "n2") (beat-ms 60) (election-ms 400) (doubt-ms 1500))
  (shared-limits (lease-ms 2000) (every-ms 200) (reserve 0.2) (burst-ms 500)
    (limit "a" (tenant "a") (counts requests) (most 12)))
  (verdicts (memory-ms 4000) (rest-ms 800) (rest-most-ms 6000) (step-ms 500))
  (regions (zone "a" "north") (zone "b" "south") (per-engine-per-s 5) (every-ms 300) (lasts-ms 2000)
    (grace-ms 1000) (hold-ms 2500) (hold-most-ms 10000) (step-ms 1000))"#;

const PATHS: [&str; 7] = [
    "/pintally/counters",
    "/pintally/peers",
    "/pintally/recovery",
    "/pintally/keepers",
    "/pintally/limits",
    "/pintally/regions",
    "/pintally/verdicts",
];

/// The field names of a document in order of first appearance.
fn field_names(document: &str) -> Vec<&str> {
    let mut names = Vec::new();
    let parts: Vec<&str> = document.split('"').collect();
    for pair in parts.windows(2) {
        if pair[1].starts_with(':') && !names.contains(&pair[0]) {
            names.push(pair[0]);
        }
    }
    names
}

/// The paths of all fields; the elements of a list share one path.
fn field_paths(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, inner)| {
            let path = format!("{path}.{name}");
            field_paths(inner, &path, paths);
            paths.insert(path);
        }),
        Value::Array(all) => all.iter().for_each(|inner| field_paths(inner, &format!("{path}[]"), paths)),
        _ => {}
    }
}

fn is_leader(fleet: &NodeProcesses, node: usize) -> bool {
    let regions = fleet.status_document(node, "/pintally/regions");
    let limits = fleet.status_document(node, "/pintally/limits");
    let holds = |list: &Value| list.as_array().is_some_and(|list| !list.is_empty());
    fleet.status_document(node, "/pintally/keepers")["standing"] == "leads"
        && holds(&regions["leads"]["zones"])
        && regions["plan"].is_object()
        && holds(&limits["limits"])
        && !limits["lends"].is_null()
}

#[test]
fn status_documents() {
    let mut fleet = NodeProcesses::with(3, FLEET_FORMS);
    fleet.start_all();
    wait_until("one node is leader with a plan and quotas", 20, || {
        (0..3).any(|node| is_leader(&fleet, node))
    });
    wait_until("requests are served", 20, || {
        (0..3).all(|node| fleet.status_document(node, "/pintally/recovery")["stage"] == "Serving")
    });
    let leader = (0..3).find(|node| is_leader(&fleet, *node)).expect("a leader");
    let mut got = String::new();
    for path in PATHS {
        let document = http_get(fleet.settings[leader].listen, path).expect("a document");
        let document = String::from_utf8(document).expect("text");
        let mut paths = BTreeSet::new();
        field_paths(&serde_json::from_str(&document).expect("JSON"), "", &mut paths);
        got.push_str(&format!("{path}\n  {}\n", field_names(&document).join(" ")));
        paths.iter().for_each(|path| got.push_str(&format!("  {path}\n")));
    }
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/serve_status.txt");
    let want = std::fs::read_to_string(file).expect("the golden file");
    assert_eq!(got, want);
}
