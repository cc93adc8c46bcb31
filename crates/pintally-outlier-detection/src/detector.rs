//! Outlier detection from the merged reports of all nodes.

use std::collections::{BTreeMap, BTreeSet};

use crate::agreement::EngineReports;
use crate::ejection::Ejections;
use crate::endpoints::{Endpoints, Peers};
use crate::recovery_ramp::RampEvidence;
use crate::report::OutlierReport;
use crate::report_store::{EngineFilter, ReportStore};
use crate::settings::Settings;
use crate::{EngineIncarnation, Micros};

/// If at least this fraction of the engines of a kind time out, the cause is taken to be overload, and the
/// engines that time out are not outliers.
const MIN_OVERLOAD_FRACTION: f64 = 0.34;

/// In fleets of at least this many nodes `min_reporters` applies. In smaller ones one reporter is enough.
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

/// How an outlier fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureMode {
    /// At least one reporter's last failed attempt timed out, which also happens under overload.
    TimingOut,
    /// No reporter's last failed attempt timed out.
    Failing,
}

/// The number of engines of one kind, and of those that time out.
#[derive(Clone, Copy, Debug, Default)]
struct KindTimeouts {
    engines: usize,
    timing_out: usize,
}

impl KindTimeouts {
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
    pub(crate) reports: ReportStore,
    pub(crate) ejections: Ejections,
    /// When operators cleared an engine. Evidence from before that time does not count.
    cleared: BTreeMap<EngineIncarnation, Micros>,
}

impl OutlierDetector {
    /// Creates the detector of the node `local`, without any report.
    pub fn new(settings: Settings, local: Node) -> OutlierDetector {
        OutlierDetector {
            settings,
            peers: Peers::new(local),
            endpoints: Endpoints::default(),
            reports: ReportStore::new(settings),
            ejections: Ejections::new(settings),
            cleared: BTreeMap::new(),
        }
    }

    /// Replaces the list of engines that accept work, each with the number of its zone. The state of other
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

    /// Ends an engine's ejection by an operator's command. Evidence from before `now` no longer counts.
    pub fn clear(&mut self, now: Micros, engine: EngineIncarnation) {
        self.cleared.insert(engine, now);
        self.ejections.remove(engine);
    }

    /// The incarnation of the engine that is listed under a name.
    pub fn incarnation(&self, name: &str) -> Option<EngineIncarnation> {
        self.endpoints.incarnation(name)
    }

    /// Engines that a node reports or that are recovering. All nodes include their evidence of these engines
    /// in their reports.
    pub fn reported_engines(&self, now: Micros) -> BTreeSet<EngineIncarnation> {
        self.reports.reported_engines(now).chain(self.ejections.ramps().keys().copied()).collect()
    }

    /// Evaluates all reports again and returns the engines that this node must not use.
    pub fn tick(&mut self, now: Micros) -> &BTreeSet<EngineIncarnation> {
        self.ejections.add_elapsed_time(now);
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
    fn outliers(
        &self,
        now: Micros,
        unreliable: &BTreeSet<String>,
    ) -> BTreeMap<EngineIncarnation, FailureMode> {
        let mut outliers = BTreeMap::new();
        for engine in self.reported_engines(now) {
            if !self.endpoints.contains(&engine) {
                continue;
            }
            let reports = self.reports_of(now, engine, 0, unreliable);
            let scope = reports.scope(self.min_reporters());
            let is_concerned = scope.is_some_and(|scope| scope.concerns(&self.peers.local));
            // A node for which the engine works relies on its own evidence and does not eject the engine.
            if is_concerned && !reports.is_working_for(&self.peers.local) {
                let failure_mode =
                    if reports.any_timeout() { FailureMode::TimingOut } else { FailureMode::Failing };
                outliers.insert(engine, failure_mode);
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
                RampEvidence::NoReport
            }
        };
        self.ejections.ramps().iter().map(|(engine, ramp)| (*engine, evidence(*engine, ramp.since))).collect()
    }

    /// The reports about an engine that are later than `after` and than an operator's command to clear it.
    pub(crate) fn reports_of(
        &self,
        now: Micros,
        engine: EngineIncarnation,
        after: Micros,
        unreliable: &BTreeSet<String>,
    ) -> EngineReports<'_> {
        let cleared = self.cleared.get(&engine).copied().unwrap_or(0);
        let zone = self.endpoints.zone(&engine);
        self.reports.about_engine(now, EngineFilter { engine, zone, after: after.max(cleared) }, unreliable)
    }

    /// How many nodes must report a fault in this fleet.
    pub(crate) fn min_reporters(&self) -> usize {
        if self.peers.count() < MIN_NODES_FOR_AGREEMENT {
            1
        } else {
            self.settings.min_reporters
        }
    }

    /// Removes engines that time out together with many others of their kind, since the cause is overload.
    fn exclude_overloaded(&self, outliers: &mut BTreeMap<EngineIncarnation, FailureMode>) {
        let mut timeouts_by_kind: BTreeMap<&str, KindTimeouts> = BTreeMap::new();
        for (engine, kind) in self.endpoints.kinds() {
            let timeouts = timeouts_by_kind.entry(kind).or_default();
            timeouts.engines += 1;
            timeouts.timing_out += usize::from(outliers.get(engine) == Some(&FailureMode::TimingOut));
        }
        outliers.retain(|engine, failure_mode| {
            let timeouts = timeouts_by_kind.get(self.endpoints.kind(engine));
            *failure_mode == FailureMode::Failing
                || !timeouts.is_some_and(|timeouts| timeouts.is_overloaded())
        });
    }
}
