//! Outlier detection by the merged reports of all nodes.

use std::collections::{BTreeMap, BTreeSet};

use crate::agreement::EngineReports;
use crate::ejection::Ejections;
use crate::endpoints::{Endpoints, Peers};
use crate::recovery_ramp::RampEvidence;
use crate::report::OutlierReport;
use crate::reports::{EngineFilter, Reports};
use crate::settings::Settings;
use crate::{EngineIncarnation, Micros};

/// If this fraction of the engines of a kind time out, the cause is overload and no engine is an outlier.
const MIN_OVERLOAD_FRACTION: f64 = 0.34;

/// From this number of nodes on, `min_reporters` applies; in smaller fleets one reporter is enough.
const MIN_NODES_FOR_AGREEMENT: usize = 3;

/// A node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// The node's name.
    pub name: String,
    /// The node's zone.
    pub zone: String,
}

/// An engine of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEngine {
    /// The engine's name.
    pub name: String,
    /// The engine's kind. Engines of one kind are interchangeable.
    pub kind: String,
}

/// How an engine that is to be ejected fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Suspicion {
    /// At least one reporter's attempt timed out, as it also does under overload.
    TimingOut,
    /// No reporter's attempt timed out.
    Failing,
}

/// Engines of one kind, and how many of them time out.
#[derive(Clone, Copy, Debug, Default)]
struct KindLoad {
    engines: usize,
    timing_out: usize,
}

impl KindLoad {
    fn is_overloaded(self) -> bool {
        self.timing_out as f64 >= MIN_OVERLOAD_FRACTION * self.engines as f64
    }
}

/// Merges the reports of all nodes and decides which engines this node ejects.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: Settings,
    peers: Peers,
    pub(crate) endpoints: Endpoints,
    pub(crate) reports: Reports,
    pub(crate) ejections: Ejections,
    /// When operators cleared an engine: evidence from before does not count.
    cleared: BTreeMap<EngineIncarnation, Micros>,
}

impl OutlierDetector {
    /// A detector at the node `local` that has received no report.
    pub fn new(settings: Settings, local: Node) -> OutlierDetector {
        OutlierDetector {
            settings,
            peers: Peers::new(local),
            endpoints: Endpoints::default(),
            reports: Reports::new(settings),
            ejections: Ejections::new(settings),
            cleared: BTreeMap::new(),
        }
    }

    /// Replaces the list of engines that take work, each with the number of its zone. The state of other
    /// engines, and of former incarnations, is dropped.
    pub fn set_endpoints(&mut self, engines: BTreeMap<EngineIncarnation, (ListedEngine, u32)>) {
        self.endpoints = Endpoints(engines);
        self.ejections.retain_listed(&self.endpoints);
        self.cleared.retain(|engine, _| self.endpoints.contains(engine));
    }

    /// Replaces the list of nodes that are alive. The local node is added if it is not among them.
    pub fn set_peers(&mut self, alive: Vec<Node>) {
        self.peers.set(alive);
    }

    /// Replaces a node's report.
    pub fn receive_report(&mut self, now: Micros, from: &Node, report: &OutlierReport) {
        self.reports.receive(now, from, report);
    }

    /// Ends an engine's ejection by an operator's order: evidence from before `now` does not count any more.
    pub fn clear(&mut self, now: Micros, engine: EngineIncarnation) {
        self.cleared.insert(engine, now);
        self.ejections.remove(engine);
    }

    /// The incarnation of the engine that is listed under a name.
    pub fn incarnation(&self, name: &str) -> Option<EngineIncarnation> {
        self.endpoints.incarnation(name)
    }

    /// Engines that a node reports or that are recovering: all nodes include their evidence of these.
    pub fn reported_engines(&self, now: Micros) -> BTreeSet<EngineIncarnation> {
        self.reports.reported_engines(now).chain(self.ejections.ramps().keys().copied()).collect()
    }

    /// Evaluates all reports anew and returns the engines that this node must not use.
    pub fn tick(&mut self, now: Micros) -> &BTreeSet<EngineIncarnation> {
        self.ejections.sum_up(now);
        self.reports.expire(now);
        let unreliable = self.reports.unreliable_nodes();
        let mut outliers = self.outliers(now, &unreliable);
        self.exclude_overloaded(&mut outliers);
        for engine in outliers.keys() {
            self.ejections.eject(now, *engine);
        }
        for (engine, evidence) in self.ramp_evidence(now, &unreliable) {
            self.ejections.advance(now, engine, evidence);
        }
        self.ejections.select(&self.peers, &self.endpoints);
        self.ejections.ejected()
    }

    /// Engines with a fault whose scope includes this node.
    fn outliers(&self, now: Micros, unreliable: &BTreeSet<String>) -> BTreeMap<EngineIncarnation, Suspicion> {
        let mut outliers = BTreeMap::new();
        for engine in self.reported_engines(now) {
            if !self.endpoints.contains(&engine) {
                continue;
            }
            let reports = self.reports_of(now, engine, 0, unreliable);
            let scope = reports.scope(self.min_reporters());
            let concerned = scope.is_some_and(|scope| scope.concerns(&self.peers.local));
            // A node for which the engine works while it fails others goes by its own evidence.
            if concerned && !reports.is_working_for(&self.peers.local) {
                let suspicion = if reports.any_timeout() { Suspicion::TimingOut } else { Suspicion::Failing };
                outliers.insert(engine, suspicion);
            }
        }
        outliers
    }

    /// The evidence of each ejected or recovering engine since its ramp step began.
    fn ramp_evidence(
        &self,
        now: Micros,
        unreliable: &BTreeSet<String>,
    ) -> Vec<(EngineIncarnation, RampEvidence)> {
        let evidence = |engine: EngineIncarnation, since: Micros| {
            let reports = self.reports_of(now, engine, since, unreliable);
            if !reports.reporters.is_empty() {
                RampEvidence::Failure
            } else if !reports.working_for.is_empty() {
                RampEvidence::Success
            } else {
                RampEvidence::Nothing
            }
        };
        self.ejections.ramps().iter().map(|(engine, ramp)| (*engine, evidence(*engine, ramp.since))).collect()
    }

    /// The reports about an engine that are later than `after` and than an operator's order to clear it.
    pub(crate) fn reports_of(
        &self,
        now: Micros,
        engine: EngineIncarnation,
        after: Micros,
        unreliable: &BTreeSet<String>,
    ) -> EngineReports<'_> {
        let cleared = self.cleared.get(&engine).copied().unwrap_or(0);
        let zone = self.endpoints.zone(&engine);
        self.reports.of_engine(now, EngineFilter { engine, zone, after: after.max(cleared) }, unreliable)
    }

    /// How many nodes must report a fault in this fleet.
    pub(crate) fn min_reporters(&self) -> usize {
        if self.peers.count() < MIN_NODES_FOR_AGREEMENT {
            1
        } else {
            self.settings.min_reporters
        }
    }

    /// Removes engines that time out together with many others of their kind: that is overload.
    fn exclude_overloaded(&self, outliers: &mut BTreeMap<EngineIncarnation, Suspicion>) {
        let mut loads: BTreeMap<&str, KindLoad> = BTreeMap::new();
        for (engine, kind) in self.endpoints.kinds() {
            let load = loads.entry(kind).or_default();
            load.engines += 1;
            load.timing_out += usize::from(outliers.get(engine) == Some(&Suspicion::TimingOut));
        }
        outliers.retain(|engine, suspicion| {
            let load = loads.get(self.endpoints.kind(engine));
            *suspicion == Suspicion::Failing || !load.is_some_and(|load| load.is_overloaded())
        });
    }
}
