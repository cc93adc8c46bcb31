//! A node's report as bytes: nodes of different builds read each other's.

use pintally_outlier_detection::{EngineIncarnation, Fault, Observation, Observer, OutlierReport, Settings};

const GOLDEN: &str = include_str!("golden/reports.txt");

/// The bytes that the golden file holds under a name.
fn golden(name: &str) -> Vec<u8> {
    let line = GOLDEN.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    let hex = line.unwrap_or_else(|| panic!("the golden file lacks `{name}`"));
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

#[track_caller]
fn assert_bytes(name: &str, bytes: &[u8]) {
    assert_eq!(bytes, golden(name), "bytes of {name}");
}

fn seen(engine: u64, fault: u8) -> Observation {
    Observation {
        engine: EngineIncarnation(engine),
        bad: 3,
        good: 255,
        bad_age: 300,
        good_age: u16::MAX,
        fault,
    }
}

#[test]
fn report_bytes_are_stable() {
    let full = OutlierReport {
        seen: vec![seen(u64::MAX, 1), seen(1, 4)],
        zones: vec![(u32::MAX, 200, 3), (0, 1, 0)],
    };
    for (name, report) in [("report", full), ("report_empty", OutlierReport::default())] {
        assert_bytes(name, &report.encode());
        assert_eq!(OutlierReport::decode(&golden(name)), Some(report), "report of {name}");
    }
}

/// What a witness has counted is told with the numbers of its faults.
#[test]
fn witness_report_bytes_are_stable() {
    let mut witness = Observer::new(Settings::default());
    let faults = [Fault::Unreachable, Fault::Broke, Fault::Late, Fault::Wrong];
    for (engine, fault) in (1..).zip(faults) {
        witness.record(engine * 10_000, EngineIncarnation(engine), 7, Some(fault));
    }
    let report = witness.report(100_000, &Default::default());
    assert_bytes("witness_report", &report.encode());
    assert_eq!(OutlierReport::decode(&golden("witness_report")), Some(report));
}

#[test]
fn engine_life_hash_is_stable() {
    let life = EngineIncarnation::of("engine-a", "10.0.0.1:8000", 1_700_000_000_123);
    assert_bytes("engine_life", &life.0.to_be_bytes());
}
