//! The encoding of outlier reports is stable, so that nodes of different builds decode each other's reports.

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

fn observation(engine: u64, fault: u8) -> Observation {
    Observation {
        engine: EngineIncarnation(engine),
        failures: 3,
        successes: 255,
        failure_age: 300,
        success_age: u16::MAX,
        fault,
    }
}

#[test]
fn report_bytes_are_stable() {
    let full = OutlierReport {
        observations: vec![observation(u64::MAX, 1), observation(1, 4)],
        zones: vec![(u32::MAX, 200, 3), (0, 1, 0)],
    };
    for (name, report) in [("report", full), ("report_empty", OutlierReport::default())] {
        assert_bytes(name, &report.encode());
        assert_eq!(OutlierReport::decode(&golden(name)), Some(report), "report of {name}");
    }
}

/// The numbers of faults in an observer's report are stable.
#[test]
fn observer_report_bytes_are_stable() {
    let mut observer = Observer::new(Settings::default());
    let faults = [Fault::Unreachable, Fault::ConnectionBroken, Fault::TimedOut, Fault::ErrorResponse];
    for (engine, fault) in (1..).zip(faults) {
        observer.record(engine * 10_000, EngineIncarnation(engine), 7, Some(fault));
    }
    let report = observer.report(100_000, &Default::default());
    assert_bytes("observer_report", &report.encode());
    assert_eq!(OutlierReport::decode(&golden("observer_report")), Some(report));
}

#[test]
fn engine_incarnation_hash_is_stable() {
    let incarnation = EngineIncarnation::of("engine-a", "10.0.0.1:8000", 1_700_000_000_123);
    assert_bytes("engine_incarnation", &incarnation.0.to_be_bytes());
}
