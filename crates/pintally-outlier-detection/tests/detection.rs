//! Outlier detection of a simulated fleet in virtual time: reports reach other nodes after a delay.

use std::collections::{BTreeMap, BTreeSet};

use pintally_outlier_detection::{
    EngineIncarnation, Fault, FaultScope, ListedEngine, Micros, Node, Observer, OutlierDetector,
    OutlierReport, Settings,
};

const MS: Micros = 1_000;
const TICK: Micros = 100 * MS;

struct Fleet {
    now: Micros,
    settings: Settings,
    nodes: Vec<Node>,
    observers: Vec<Observer>,
    detectors: Vec<OutlierDetector>,
    /// The fault of an attempt by time, node and engine; `None` if it succeeds.
    outcome: Box<dyn Fn(Micros, usize, usize) -> Option<Fault>>,
    engines: Vec<EngineIncarnation>,
    zones: Vec<u32>,
    /// Reports in transit to the other nodes: the time of arrival, the sender and the report.
    pending_reports: Vec<(Micros, usize, OutlierReport)>,
    delay: Micros,
    attempts: Vec<u64>,
    failed: Vec<u64>,
    /// Attempts at each engine in each tick.
    load: BTreeMap<(Micros, usize), u64>,
}

impl Fleet {
    fn new(
        nodes: usize,
        engines: usize,
        outcome: impl Fn(Micros, usize, usize) -> Option<Fault> + 'static,
    ) -> Fleet {
        let settings = Settings::default();
        let nodes: Vec<Node> = (0..nodes)
            .map(|n| Node { name: format!("n{n}"), zone: if n % 2 == 0 { "a" } else { "b" }.into() })
            .collect();
        let incarnations: Vec<EngineIncarnation> =
            (0..engines).map(|e| EngineIncarnation::of(&format!("e{e}"), "10.0.0.1:1", 7)).collect();
        let mut fleet = Fleet {
            now: 1_000 * MS,
            settings,
            observers: nodes.iter().map(|_| Observer::new(settings)).collect(),
            detectors: nodes.iter().map(|n| OutlierDetector::new(settings, n.clone())).collect(),
            nodes,
            outcome: Box::new(outcome),
            zones: (0..engines).map(|e| (e % 2) as u32).collect(),
            engines: incarnations,
            pending_reports: Vec::new(),
            delay: 200 * MS,
            attempts: vec![0; engines],
            failed: vec![0; engines],
            load: BTreeMap::new(),
        };
        fleet.set_endpoints();
        for detector in &mut fleet.detectors {
            detector.set_peers(fleet.nodes.clone());
        }
        fleet
    }

    fn set_endpoints(&mut self) {
        let list: BTreeMap<EngineIncarnation, (ListedEngine, u32)> = (0..self.engines.len())
            .map(|e| {
                let listed = ListedEngine { name: format!("e{e}"), kind: "decode".into() };
                (self.engines[e], (listed, self.zones[e]))
            })
            .collect();
        self.detectors.iter_mut().for_each(|detector| detector.set_endpoints(list.clone()));
    }

    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        for n in 0..self.nodes.len() {
            let reported = self.detectors[n].reported_engines(now);
            let report = self.observers[n].report(now, &reported);
            assert!(report.encode().len() <= 400, "a report fits into a fact");
            let (own, report) = (self.nodes[n].clone(), OutlierReport::decode(&report.encode()).unwrap());
            self.detectors[n].receive_report(now, &own, &report);
            self.pending_reports.push((now + self.delay, n, report));
            let ejected: BTreeSet<EngineIncarnation> = self.detectors[n].tick(now).clone();
            for e in (0..self.engines.len()).filter(|e| !ejected.contains(&self.engines[*e])) {
                let fault = (self.outcome)(now, n, e);
                self.attempts[e] += 1;
                self.failed[e] += u64::from(fault.is_some());
                *self.load.entry((now, e)).or_default() += 1;
                self.observers[n].record(now, self.engines[e], self.zones[e], fault);
            }
        }
        let (arrived, pending) =
            std::mem::take(&mut self.pending_reports).into_iter().partition(|m| m.0 <= now);
        self.pending_reports = pending;
        let arrived: Vec<(Micros, usize, OutlierReport)> = arrived;
        for (_, from, report) in arrived {
            let node = self.nodes[from].clone();
            for (n, detector) in self.detectors.iter_mut().enumerate().filter(|(n, _)| *n != from) {
                let _ = n;
                detector.receive_report(now, &node, &report);
            }
        }
    }

    fn run(&mut self, ms: u64) {
        (0..ms * MS / TICK).for_each(|_| self.tick());
    }

    /// How many nodes eject an engine.
    fn ejecting_nodes(&mut self, e: usize) -> usize {
        let (now, incarnation) = (self.now, self.engines[e]);
        self.detectors
            .iter_mut()
            .filter_map(|detector| detector.tick(now).contains(&incarnation).then_some(()))
            .count()
    }

    fn scope(&self, n: usize, e: usize) -> Option<FaultScope> {
        let status = self.detectors[n].status(self.now);
        status.engines.iter().find(|x| x.engine == format!("e{e}")).and_then(|x| x.scope.clone())
    }
}

#[test]
fn fleet_ejects_failing_engine_after_two_reporters() {
    for nodes in [3, 10, 40] {
        let mut fleet = Fleet::new(nodes, 8, |_, _, e| (e == 3).then_some(Fault::ConnectionBroken));
        fleet.delay = 200 * MS;
        fleet.run(900);
        assert_eq!(fleet.ejecting_nodes(3), nodes, "{nodes} nodes");
        assert_eq!(fleet.scope(0, 3), Some(FaultScope::AllNodes));
        assert_eq!((0..8).filter(|e| fleet.ejecting_nodes(*e) > 0).count(), 1, "and no other is ejected");
    }
}

/// An ejected engine is tried by one node, then used by a quarter of the nodes, then by all. A failed trial
/// doubles the ejection time.
#[test]
fn ejected_engine_recovers_by_one_trial_and_in_steps() {
    let recovery = 8_000 * MS;
    let nodes = 12;
    let mut fleet =
        Fleet::new(nodes, 6, move |now, _, e| (e == 2 && now < recovery).then_some(Fault::Unreachable));
    fleet.run(1_000);
    assert_eq!(fleet.ejecting_nodes(2), nodes);
    let mut max_admitting = 0;
    while fleet.now < recovery {
        fleet.tick();
        max_admitting = max_admitting.max(nodes - fleet.ejecting_nodes(2));
    }
    assert!(max_admitting <= 1, "{max_admitting} nodes tried it at once while it failed");
    let failed = fleet.failed[2];
    let mut admitting = BTreeSet::new();
    for _ in 0..200 {
        fleet.tick();
        admitting.insert(nodes - fleet.ejecting_nodes(2));
    }
    println!("admitting nodes: {admitting:?}; {failed} failed attempts in 8 s of 12 nodes");
    assert!(admitting.contains(&1) && admitting.contains(&3) && admitting.contains(&12), "{admitting:?}");
    assert!(
        !admitting.iter().any(|n| (4..12).contains(n) && *n != 4),
        "all nodes take the same steps: {admitting:?}"
    );
    assert_eq!(fleet.ejecting_nodes(2), 0);
}

#[test]
fn one_false_or_partitioned_reporter_ejects_no_engine() {
    // Only this node reports a failing engine.
    let mut fleet = Fleet::new(5, 8, |_, n, e| (n == 4 && e == 1).then_some(Fault::ConnectionBroken));
    fleet.run(5_000);
    assert_eq!(fleet.ejecting_nodes(1), 0);
    assert_eq!(fleet.scope(0, 1), Some(FaultScope::Link));
    // The node cannot reach any engine.
    let mut fleet = Fleet::new(5, 8, |_, n, _| (n == 4).then_some(Fault::Unreachable));
    fleet.run(5_000);
    assert!((0..8).all(|e| fleet.ejecting_nodes(e) == 0));
    assert_eq!(fleet.detectors[0].status(fleet.now).unreliable_nodes, ["n4"]);
}

/// Guards against the ejection of fifty engines because one zone cannot reach another.
#[test]
fn zone_partition_is_reported_and_ejects_no_engine() {
    // Nodes of zone a (even) cannot reach engines of zone 1 (odd); those of zone b can.
    let mut fleet = Fleet::new(8, 12, |_, n, e| (n % 2 == 0 && e % 2 == 1).then_some(Fault::Unreachable));
    fleet.run(5_000);
    assert!((0..12).all(|e| fleet.ejecting_nodes(e) == 0), "no engine is ejected");
    assert!(fleet.detectors[1].status(fleet.now).partitions.contains(&("a".to_string(), 1)));
}

#[test]
fn fault_in_one_zone_ejects_engine_only_there() {
    let mut fleet = Fleet::new(8, 12, |_, n, e| (n % 2 == 0 && e == 5).then_some(Fault::ConnectionBroken));
    fleet.run(4_000);
    let (now, incarnation) = (fleet.now, fleet.engines[5]);
    let ejects: Vec<bool> =
        fleet.detectors.iter_mut().map(|detector| detector.tick(now).contains(&incarnation)).collect();
    assert!((0..8).all(|n| n % 2 == 0 || !ejects[n]), "{ejects:?}");
    assert_eq!(fleet.scope(1, 5), Some(FaultScope::Zone("a".into())));
}

#[test]
fn overload_of_a_kind_ejects_no_engine() {
    let mut fleet = Fleet::new(6, 9, |now, n, e| {
        (!(now / TICK + n as u64 + e as u64).is_multiple_of(4)).then_some(Fault::TimedOut)
    });
    for _ in 0..50 {
        fleet.tick();
        assert!((0..9).all(|e| fleet.ejecting_nodes(e) == 0));
    }
}

#[test]
fn max_ejection_fraction_bounds_ejections_of_a_kind() {
    let mut fleet = Fleet::new(6, 10, |_, n, e| (e < 7 && n > 0).then_some(Fault::ConnectionBroken));
    // With this fraction no node is considered unreliable.
    fleet.settings.local_fault_fraction = 1.0;
    fleet.detectors = fleet.nodes.iter().map(|n| OutlierDetector::new(fleet.settings, n.clone())).collect();
    fleet.set_endpoints();
    let all = fleet.nodes.clone();
    fleet.detectors.iter_mut().for_each(|detector| detector.set_peers(all.clone()));
    fleet.run(3_000);
    let now = fleet.now;
    let ejected: Vec<usize> = fleet.detectors.iter_mut().map(|detector| detector.tick(now).len()).collect();
    assert!(
        ejected.iter().all(|count| *count <= 5) && ejected.iter().any(|count| *count >= 4),
        "{ejected:?}"
    );
}

/// Guards against a report that arrives after the engine was replaced under the same name and address and
/// ejects the new engine. The second assertion shows that the test would detect incarnations that ignore the
/// start time.
#[test]
fn ejection_concerns_one_incarnation_of_an_engine() {
    let max_ejecting_after_replacement = |started: u64| {
        let mut fleet =
            Fleet::new(5, 6, |now, _, e| (e == 0 && now < 3_000 * MS).then_some(Fault::ConnectionBroken));
        fleet.delay = 600 * MS;
        fleet.run(1_950);
        fleet.engines[0] = EngineIncarnation::of("e0", "10.0.0.1:1", started);
        fleet.set_endpoints();
        fleet.run(400);
        (0..12)
            .map(|_| {
                fleet.tick();
                fleet.ejecting_nodes(0)
            })
            .max()
            .unwrap()
    };
    assert_eq!(max_ejecting_after_replacement(8), 0, "late reports concern the previous engine");
    assert!(
        max_ejecting_after_replacement(7) > 0,
        "without the start time the new engine is ejected for faults of the old one"
    );
}

#[test]
fn ejection_ends_by_timeout_and_by_operator_command() {
    let mut fleet =
        Fleet::new(4, 6, |now, _, e| (e == 0 && now < 2_000 * MS).then_some(Fault::ConnectionBroken));
    fleet.run(900);
    assert_eq!(fleet.ejecting_nodes(0), 4);
    // From here on no node has a request for the engine.
    let bound = fleet.settings.max_ejection_without_evidence();
    let deadline = fleet.now + bound;
    while fleet.now < deadline {
        fleet.now += TICK;
        let now = fleet.now;
        fleet.detectors.iter_mut().for_each(|detector| {
            detector.tick(now);
        });
    }
    assert_eq!(fleet.ejecting_nodes(0), 0);
    let mut fleet =
        Fleet::new(4, 6, |now, _, e| (e == 0 && now < 2_000 * MS).then_some(Fault::ConnectionBroken));
    fleet.run(1_100);
    let (now, incarnation) = (fleet.now, fleet.engines[0]);
    fleet.detectors.iter_mut().for_each(|detector| detector.clear(now, incarnation));
    fleet.observers.iter_mut().for_each(|observer| observer.clear(incarnation));
    assert_eq!(fleet.ejecting_nodes(0), 0);
    assert_eq!(fleet.detectors[0].incarnation("e0"), Some(incarnation));
}

/// The time between two trials of an engine that fails repeatedly is doubled.
#[test]
fn ejection_time_grows_for_flapping_engine() {
    let mut fleet = Fleet::new(6, 8, |now, _, e| {
        (e == 4 && (now / (700 * MS)).is_multiple_of(2)).then_some(Fault::ConnectionBroken)
    });
    let mut failed_by_second = Vec::new();
    for _ in 0..60 {
        let before = fleet.failed[4];
        fleet.run(1_000);
        failed_by_second.push(fleet.failed[4] - before);
    }
    let (first, last): (u64, u64) =
        (failed_by_second[..20].iter().sum(), failed_by_second[40..].iter().sum());
    println!("failed attempts by second: {failed_by_second:?}");
    assert!(last <= first, "{failed_by_second:?}");
}

#[test]
fn malformed_reports_and_invalid_settings_are_rejected() {
    assert!(OutlierReport::decode(&[255; 30]).is_none());
    let long = OutlierReport { zones: vec![(1, 1, 1); 40], ..OutlierReport::default() };
    assert!(OutlierReport::decode(&long.encode()).is_none());
    assert!(Settings::default().check().is_ok());
    assert!(Settings { consecutive_failures: 0, ..Settings::default() }.check().is_err());
    assert!(Settings { base_ejection_time: 0, ..Settings::default() }.check().is_err());
}
