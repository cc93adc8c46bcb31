//! Golden bytes of encoded reports and plans, which nodes of different builds must be able to decode.

use pintally_failover::{FailoverPlan, ZoneObserver, ZoneReport};

const GOLDEN: &str = include_str!("golden/reports_and_plans.txt");

/// The bytes that the golden file has under a name.
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

#[test]
fn report_bytes_are_stable() {
    let full = ZoneReport { offered: 12.25, zones: vec![(300, 255, 0), (0, 0, 0), (65_000, 1, 128)] };
    for (name, report) in [("report", full), ("report_empty", ZoneReport::default())] {
        assert_bytes(name, &report.encode());
        assert_eq!(ZoneReport::decode(&golden(name)), Some(report), "report of {name}");
    }
}

/// Checks the bytes of a report that an observer makes from its counts.
#[test]
fn observer_report_bytes_are_stable() {
    let mut observer = ZoneObserver::new(3);
    (0..4).for_each(|_| observer.record_request(0));
    (0..4).for_each(|n| observer.record_attempt(0, 1, n == 0));
    observer.record_late(0, 1);
    let report = observer.report(0);
    assert_bytes("observer_report", &report.encode());
    assert_eq!(ZoneReport::decode(&golden("observer_report")), Some(report));
}

#[test]
fn plan_bytes_are_stable() {
    let rows = vec![vec![(0, 200), (2, 55)], Vec::new(), vec![(2, 255)]];
    let full = FailoverPlan { term: 301, number: 1 << 40, rows, open: vec![255, 0, 128] };
    for (name, plan) in [("plan", full), ("plan_empty", FailoverPlan::default())] {
        assert_bytes(name, &plan.encode());
        assert_eq!(FailoverPlan::decode(&golden(name), plan.rows.len()), Some(plan), "plan of {name}");
    }
}
