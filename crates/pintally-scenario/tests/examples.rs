//! The files of `examples/` parse with the parser for their first word.

use pintally_cells::CellsFile;
use pintally_config::{EngineList, NodeSettings};
use pintally_scenario::Scenario;

const SCENARIOS: [&str; 7] =
    ["bad-day", "cells-day", "flood-day", "move-day", "power-day", "price-day", "region-day"];
const NODES: [&str; 3] = ["node", "node-silent", "regions"];

fn example(name: &str) -> String {
    std::fs::read_to_string(format!("../../examples/{name}.sexp")).expect(name)
}

#[test]
fn examples_parse() {
    for name in SCENARIOS {
        Scenario::parse(name, &example(name)).unwrap_or_else(|error| panic!("{error}"));
    }
    for name in NODES {
        NodeSettings::parse(name, &example(name)).unwrap_or_else(|error| panic!("{error}"));
    }
    let list = EngineList::parse("engines", &example("engines")).expect("a sound list");
    assert!(!list.engines.is_empty());
    let node = NodeSettings::parse("node", &example("node")).expect("sound settings");
    CellsFile::parse("cells", &example("cells"), &node.core).expect("sound cells");
}

/// Each example must be in one of the lists above; `demand` is parsed by a test of the CLI package.
#[test]
fn all_examples_are_listed() {
    let mut found: Vec<String> = std::fs::read_dir("../../examples")
        .expect("the examples")
        .map(|entry| entry.expect("an entry").path())
        .filter_map(|path| path.file_stem().map(|name| name.to_string_lossy().into_owned()))
        .collect();
    found.sort();
    let mut listed = [&SCENARIOS[..], &NODES, &["engines", "cells", "demand"]].concat();
    listed.sort();
    assert_eq!(found, listed);
}
