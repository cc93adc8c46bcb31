//! The files of `examples/` are read by the parsers that their first words name.

use pintally_cells::CellsFile;
use pintally_config::{EngineList, NodeSettings};
use pintally_scenario::Scenario;

const DAYS: [&str; 7] =
    ["bad-day", "cells-day", "flood-day", "move-day", "power-day", "price-day", "region-day"];
const NODES: [&str; 3] = ["node", "node-silent", "regions"];

fn example(name: &str) -> String {
    std::fs::read_to_string(format!("../../examples/{name}.sexp")).expect(name)
}

#[test]
fn examples_are_read() {
    for name in DAYS {
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

/// A new example belongs into one of the lists above; `demand` is read by the command line's own package.
#[test]
fn all_examples_are_listed() {
    let mut found: Vec<String> = std::fs::read_dir("../../examples")
        .expect("the examples")
        .map(|entry| entry.expect("an entry").path())
        .filter_map(|path| path.file_stem().map(|name| name.to_string_lossy().into_owned()))
        .collect();
    found.sort();
    let mut listed = [&DAYS[..], &NODES, &["engines", "cells", "demand"]].concat();
    listed.sort();
    assert_eq!(found, listed);
}
