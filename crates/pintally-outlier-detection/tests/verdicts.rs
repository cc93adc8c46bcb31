//! Nodes that see engines fail, in virtual time: reports reach the others after a while.

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
    witness: Vec<Observer>,
    verdicts: Vec<OutlierDetector>,
    /// How an engine fares for a node.
    fares: Box<dyn Fn(Micros, usize, usize) -> Option<Fault>>,
    engines: Vec<EngineIncarnation>,
    zones: Vec<u32>,
    /// Reports on their way.
    mail: Vec<(Micros, usize, OutlierReport)>,
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
        fares: impl Fn(Micros, usize, usize) -> Option<Fault> + 'static,
    ) -> Fleet {
        let settings = Settings::default();
        let nodes: Vec<Node> = (0..nodes)
            .map(|n| Node { name: format!("n{n}"), zone: if n % 2 == 0 { "a" } else { "b" }.into() })
            .collect();
        let lives: Vec<EngineIncarnation> =
            (0..engines).map(|e| EngineIncarnation::of(&format!("e{e}"), "10.0.0.1:1", 7)).collect();
        let mut fleet = Fleet {
            now: 1_000 * MS,
            settings,
            witness: nodes.iter().map(|_| Observer::new(settings)).collect(),
            verdicts: nodes.iter().map(|n| OutlierDetector::new(settings, n.clone())).collect(),
            nodes,
            fares: Box::new(fares),
            zones: (0..engines).map(|e| (e % 2) as u32).collect(),
            engines: lives,
            mail: Vec::new(),
            delay: 200 * MS,
            attempts: vec![0; engines],
            failed: vec![0; engines],
            load: BTreeMap::new(),
        };
        fleet.list();
        for v in &mut fleet.verdicts {
            v.set_peers(fleet.nodes.clone());
        }
        fleet
    }

    fn list(&mut self) {
        let list: BTreeMap<EngineIncarnation, (ListedEngine, u32)> = (0..self.engines.len())
            .map(|e| {
                let listed = ListedEngine { name: format!("e{e}"), kind: "decode".into() };
                (self.engines[e], (listed, self.zones[e]))
            })
            .collect();
        self.verdicts.iter_mut().for_each(|v| v.set_endpoints(list.clone()));
    }

    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        for n in 0..self.nodes.len() {
            let accused = self.verdicts[n].reported_engines(now);
            let report = self.witness[n].report(now, &accused);
            assert!(report.encode().len() <= 400, "a report fits into a fact");
            let (own, report) = (self.nodes[n].clone(), OutlierReport::decode(&report.encode()).unwrap());
            self.verdicts[n].receive_report(now, &own, &report);
            self.mail.push((now + self.delay, n, report));
            let held: BTreeSet<EngineIncarnation> = self.verdicts[n].tick(now).clone();
            for e in (0..self.engines.len()).filter(|e| !held.contains(&self.engines[*e])) {
                let fault = (self.fares)(now, n, e);
                self.attempts[e] += 1;
                self.failed[e] += u64::from(fault.is_some());
                *self.load.entry((now, e)).or_default() += 1;
                self.witness[n].record(now, self.engines[e], self.zones[e], fault);
            }
        }
        let (due, later) = std::mem::take(&mut self.mail).into_iter().partition(|m| m.0 <= now);
        self.mail = later;
        let due: Vec<(Micros, usize, OutlierReport)> = due;
        for (_, from, report) in due {
            let node = self.nodes[from].clone();
            for (n, v) in self.verdicts.iter_mut().enumerate().filter(|(n, _)| *n != from) {
                let _ = n;
                v.receive_report(now, &node, &report);
            }
        }
    }

    fn run(&mut self, ms: u64) {
        (0..ms * MS / TICK).for_each(|_| self.tick());
    }

    /// How many nodes hold an engine back.
    fn held(&mut self, e: usize) -> usize {
        let (now, life) = (self.now, self.engines[e]);
        self.verdicts.iter_mut().filter_map(|v| v.tick(now).contains(&life).then_some(())).count()
    }

    fn reach(&self, n: usize, e: usize) -> Option<FaultScope> {
        let status = self.verdicts[n].status(self.now);
        status.engines.iter().find(|x| x.engine == format!("e{e}")).and_then(|x| x.reach.clone())
    }
}

#[test]
fn a_bad_engine_costs_the_fleet_what_two_nodes_pay() {
    for nodes in [3, 10, 40] {
        let mut fleet = Fleet::new(nodes, 8, |_, _, e| (e == 3).then_some(Fault::Broke));
        fleet.delay = 200 * MS;
        fleet.run(900);
        assert_eq!(fleet.held(3), nodes, "{nodes} nodes");
        assert_eq!(fleet.reach(0, 3), Some(FaultScope::Everyone));
        assert_eq!((0..8).filter(|e| fleet.held(*e) > 0).count(), 1, "and no other is held back");
    }
}

/// The way back: one node tries, then a quarter, then all; who fails its trial rests twice as long.
#[test]
fn it_comes_back_by_one_trial_and_in_steps() {
    let mended = 8_000 * MS;
    let nodes = 12;
    let mut fleet =
        Fleet::new(nodes, 6, move |now, _, e| (e == 2 && now < mended).then_some(Fault::Unreachable));
    fleet.run(1_000);
    assert_eq!(fleet.held(2), nodes);
    let mut most = 0;
    while fleet.now < mended {
        fleet.tick();
        most = most.max(nodes - fleet.held(2));
    }
    assert!(most <= 1, "{most} nodes tried it at once while it was bad");
    let failed = fleet.failed[2];
    let mut let_in = BTreeSet::new();
    for _ in 0..200 {
        fleet.tick();
        let_in.insert(nodes - fleet.held(2));
    }
    println!("let in, in turn: {let_in:?}; {failed} failed attempts in 8 s of 12 nodes");
    assert!(let_in.contains(&1) && let_in.contains(&3) && let_in.contains(&12), "{let_in:?}");
    assert!(!let_in.iter().any(|n| (4..12).contains(n) && *n != 4), "steps are common: {let_in:?}");
    assert_eq!(fleet.held(2), 0);
}

#[test]
fn one_node_that_lies_or_is_cut_off_blackens_nobody() {
    // It says that one engine fails.
    let mut fleet = Fleet::new(5, 8, |_, n, e| (n == 4 && e == 1).then_some(Fault::Broke));
    fleet.run(5_000);
    assert_eq!(fleet.held(1), 0);
    assert_eq!(fleet.reach(0, 1), Some(FaultScope::Link));
    // It is cut off from all of them.
    let mut fleet = Fleet::new(5, 8, |_, n, _| (n == 4).then_some(Fault::Unreachable));
    fleet.run(5_000);
    assert!((0..8).all(|e| fleet.held(e) == 0));
    assert_eq!(fleet.verdicts[0].status(fleet.now).unsound, ["n4"]);
}

/// Guards against fifty engines that are said to be dead because a zone cannot reach another.
#[test]
fn half_a_zone_that_cannot_reach_another_says_so() {
    // Nodes of zone a (even) cannot reach engines of zone 1 (odd); those of zone b can.
    let mut fleet = Fleet::new(8, 12, |_, n, e| (n % 2 == 0 && e % 2 == 1).then_some(Fault::Unreachable));
    fleet.run(5_000);
    assert!((0..12).all(|e| fleet.held(e) == 0), "no engine is sick");
    assert!(fleet.verdicts[1].status(fleet.now).cut.contains(&("a".to_string(), 1)));
}

#[test]
fn an_engine_that_works_for_half_of_the_nodes_is_not_shut_for_the_others() {
    let mut fleet = Fleet::new(8, 12, |_, n, e| (n % 2 == 0 && e == 5).then_some(Fault::Broke));
    fleet.run(4_000);
    let (now, life) = (fleet.now, fleet.engines[5]);
    let holds: Vec<bool> = fleet.verdicts.iter_mut().map(|v| v.tick(now).contains(&life)).collect();
    assert!((0..8).all(|n| n % 2 == 0 || !holds[n]), "{holds:?}");
    assert_eq!(fleet.reach(1, 5), Some(FaultScope::Zone("a".into())));
}

#[test]
fn overload_everywhere_is_nobodys_sickness() {
    let mut fleet = Fleet::new(6, 9, |now, n, e| {
        (!(now / TICK + n as u64 + e as u64).is_multiple_of(4)).then_some(Fault::Late)
    });
    for _ in 0..50 {
        fleet.tick();
        assert!((0..9).all(|e| fleet.held(e) == 0));
    }
}

#[test]
fn never_more_than_the_stated_part_of_a_kind_is_held_back() {
    let mut fleet = Fleet::new(6, 10, |_, n, e| (e < 7 && n > 0).then_some(Fault::Broke));
    // Each node uses few engines, so that nobody looks cut off.
    fleet.settings.self_doubt_fraction = 1.0;
    fleet.verdicts = fleet.nodes.iter().map(|n| OutlierDetector::new(fleet.settings, n.clone())).collect();
    fleet.list();
    let all = fleet.nodes.clone();
    fleet.verdicts.iter_mut().for_each(|v| v.set_peers(all.clone()));
    fleet.run(3_000);
    let now = fleet.now;
    let held: Vec<usize> = fleet.verdicts.iter_mut().map(|v| v.tick(now).len()).collect();
    assert!(held.iter().all(|h| *h <= 5) && held.iter().any(|h| *h >= 4), "{held:?}");
}

/// Guards against a verdict that arrives after the engine was replaced under the same name and address;
/// a build whose verdicts know no starts is caught.
#[test]
fn a_verdict_is_on_one_life_of_an_engine() {
    let replaced = |started: u64| {
        let mut fleet = Fleet::new(5, 6, |now, _, e| (e == 0 && now < 3_000 * MS).then_some(Fault::Broke));
        fleet.delay = 600 * MS;
        fleet.run(1_950);
        fleet.engines[0] = EngineIncarnation::of("e0", "10.0.0.1:1", started);
        fleet.list();
        fleet.run(400);
        (0..12)
            .map(|_| {
                fleet.tick();
                fleet.held(0)
            })
            .max()
            .unwrap()
    };
    assert_eq!(replaced(8), 0, "late reports are about the engine before");
    assert!(replaced(7) > 0, "without its start the new engine pays for the old one");
}

#[test]
fn a_verdict_dies_by_itself_and_by_people() {
    let mut fleet = Fleet::new(4, 6, |now, _, e| (e == 0 && now < 2_000 * MS).then_some(Fault::Broke));
    fleet.run(900);
    assert_eq!(fleet.held(0), 4);
    // Nobody has anything to send any more.
    let bound = fleet.settings.max_ejection_time();
    let until = fleet.now + bound;
    while fleet.now < until {
        fleet.now += TICK;
        let now = fleet.now;
        fleet.verdicts.iter_mut().for_each(|v| {
            v.tick(now);
        });
    }
    assert_eq!(fleet.held(0), 0);
    let mut fleet = Fleet::new(4, 6, |now, _, e| (e == 0 && now < 2_000 * MS).then_some(Fault::Broke));
    fleet.run(1_100);
    let (now, life) = (fleet.now, fleet.engines[0]);
    fleet.verdicts.iter_mut().for_each(|v| v.clear(now, life));
    fleet.witness.iter_mut().for_each(|w| w.clear(life));
    assert_eq!(fleet.held(0), 0);
    assert_eq!(fleet.verdicts[0].incarnation("e0"), Some(life));
}

/// Two nodes that call each other's engines sick, and a node that flaps: distances double.
#[test]
fn an_engine_that_flaps_rests_longer_each_time() {
    let mut fleet = Fleet::new(6, 8, |now, _, e| {
        (e == 4 && (now / (700 * MS)).is_multiple_of(2)).then_some(Fault::Broke)
    });
    let mut tried = Vec::new();
    for _ in 0..60 {
        let before = fleet.failed[4];
        fleet.run(1_000);
        tried.push(fleet.failed[4] - before);
    }
    let (first, last): (u64, u64) = (tried[..20].iter().sum(), tried[40..].iter().sum());
    println!("failed attempts by second: {tried:?}");
    assert!(last <= first, "{tried:?}");
}

#[test]
fn garbled_reports_and_figures_are_refused() {
    assert!(OutlierReport::decode(&[255; 30]).is_none());
    let long = OutlierReport { zones: vec![(1, 1, 1); 40], ..OutlierReport::default() };
    assert!(OutlierReport::decode(&long.encode()).is_none());
    assert!(Settings::default().check().is_ok());
    assert!(Settings { consecutive_failures: 0, ..Settings::default() }.check().is_err());
    assert!(Settings { base_ejection_time: 0, ..Settings::default() }.check().is_err());
}
