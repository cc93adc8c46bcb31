//! Outlier detection by the whole fleet: records the outcomes of this node's attempts, and presents ejected
//! engines to the core as draining, so that they get no new work.

use std::collections::{BTreeMap, BTreeSet};

use pintally::interface::{Endpoint, EndpointState, EngineId, Micros, Outcome};
use pintally_config::NodeSettings;
use pintally_outlier_detection::{
    EngineIncarnation, Fault, ListedEngine, Node, Observer, OutlierDetector, OutlierReport, Status,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::input::EngineEndpoint;

/// The time between two evaluations of the reports.
pub(crate) const EVALUATION_INTERVAL: Micros = 100_000;
/// The shortest time after which a report in which only the ages have changed is published again.
const MIN_REPUBLISH_INTERVAL: Micros = 1_000_000;

/// An engine's incarnation and the number of its zone in reports.
#[derive(Clone, Copy)]
struct ObservedEngine {
    incarnation: EngineIncarnation,
    zone: u32,
}

/// An engine of a report, and whether its last fault is younger than its last success.
type ReportedEngine = (EngineIncarnation, bool);

/// The report that was published last.
#[derive(Default)]
struct PublishedReport {
    engines: Vec<ReportedEngine>,
    at: Micros,
}

/// An engine that was ejected or readmitted.
pub(crate) struct EjectionChange {
    pub(crate) engine: EngineId,
    pub(crate) is_ejected: bool,
}

/// The result of an evaluation.
pub(crate) struct Evaluation {
    /// The report to publish, if it changed or is due; an empty one withdraws the last report.
    pub(crate) report: Option<Vec<u8>>,
    /// The ejections and readmissions, ordered by engine.
    pub(crate) changes: Vec<EjectionChange>,
}

/// This node's observations of engines, and the ejections that follow from the reports of all nodes.
pub(crate) struct OutlierEjection {
    observer: Observer,
    detector: OutlierDetector,
    this_node: Node,
    engines: BTreeMap<EngineId, ObservedEngine>,
    ejected: BTreeSet<EngineId>,
    published: PublishedReport,
}

/// The number that identifies a zone in reports.
fn zone_number(zone: &str) -> u32 {
    xxh3_64(zone.as_bytes()) as u32
}

impl OutlierEjection {
    /// Creates outlier detection if the settings define it.
    pub(crate) fn new(settings: &NodeSettings) -> Option<OutlierEjection> {
        let detection = settings.outlier_detection?;
        let this_node = Node { name: settings.name.clone(), zone: settings.core.zone.clone() };
        Some(OutlierEjection {
            observer: Observer::new(detection),
            detector: OutlierDetector::new(detection, this_node.clone()),
            this_node,
            engines: BTreeMap::new(),
            ejected: BTreeSet::new(),
            published: PublishedReport::default(),
        })
    }

    /// Health scores and ejections of engines.
    pub(crate) fn status(&self, now: Micros) -> Status {
        self.detector.status(now)
    }

    /// Replaces the listed engines.
    pub(crate) fn set_endpoints<'a>(&mut self, endpoints: impl Iterator<Item = &'a EngineEndpoint>) {
        self.engines.clear();
        let mut listed = BTreeMap::new();
        for EngineEndpoint { endpoint, address, started_unix_ms, .. } in endpoints {
            if endpoint.state != EndpointState::Serving {
                continue;
            }
            let (engine, started) = (&endpoint.engine, started_unix_ms.unwrap_or(0));
            let incarnation = EngineIncarnation::of(&engine.0, &address.to_string(), started);
            let zone = zone_number(&endpoint.zone);
            self.engines.insert(engine.clone(), ObservedEngine { incarnation, zone });
            let description = ListedEngine { name: engine.0.to_string(), kind: endpoint.kind.clone() };
            listed.insert(incarnation, (description, zone));
        }
        self.detector.set_endpoints(listed);
    }

    /// The endpoint as it is announced to the core: ejected engines are draining.
    pub(crate) fn apply_ejection(&self, mut endpoint: Endpoint) -> Endpoint {
        if endpoint.state == EndpointState::Serving && self.ejected.contains(&endpoint.engine) {
            endpoint.state = EndpointState::Draining;
        }
        endpoint
    }

    /// Records the outcome of an attempt.
    pub(crate) fn record_outcome(&mut self, now: Micros, engine: &EngineId, outcome: Outcome) {
        let Some(ObservedEngine { incarnation, zone }) = self.engines.get(engine).copied() else { return };
        let fault = match outcome {
            Outcome::Served | Outcome::Read => None,
            Outcome::Unreachable => Some(Fault::Unreachable),
            Outcome::ConnectionBroken => Some(Fault::ConnectionBroken),
            Outcome::TimedOut => Some(Fault::TimedOut),
            Outcome::Error => Some(Fault::ErrorResponse),
            // Capacity limits, an expired state and attempts that this node cancelled or never sent say nothing about
            // the engine's health.
            Outcome::Overloaded | Outcome::StateNotFound | Outcome::Cancelled | Outcome::NeverSent => return,
        };
        self.observer.record(now, incarnation, zone, fault);
    }

    /// Processes the report of another node.
    pub(crate) fn receive_report(&mut self, now: Micros, from: &Node, report: &[u8]) {
        let report = OutlierReport::decode(report).filter(|_| from.name != self.this_node.name);
        if let Some(report) = report {
            self.detector.receive_report(now, from, &report);
        }
    }

    /// Replaces the nodes whose reports count.
    pub(crate) fn set_peers(&mut self, nodes: Vec<Node>) {
        self.detector.set_peers(nodes);
    }

    /// Clears an engine that the operators declare healthy.
    pub(crate) fn clear(&mut self, now: Micros, engine: &str) {
        if let Some(incarnation) = self.detector.incarnation(engine) {
            self.detector.clear(now, incarnation);
            self.observer.clear(incarnation);
        }
    }

    /// Evaluates the reports of all nodes and updates the ejected engines.
    pub(crate) fn evaluate(&mut self, now: Micros) -> Evaluation {
        let reported = self.detector.reported_engines(now);
        let report = self.observer.report(now, &reported);
        let published = self.report_to_publish(now, &report);
        self.detector.receive_report(now, &self.this_node, &report);
        let outliers = self.detector.tick(now);
        let is_outlier =
            |(_, observed): &(&EngineId, &ObservedEngine)| outliers.contains(&observed.incarnation);
        let ejected: BTreeSet<EngineId> =
            self.engines.iter().filter(is_outlier).map(|(engine, _)| engine.clone()).collect();
        let change = |engine: &EngineId| EjectionChange {
            engine: engine.clone(),
            is_ejected: ejected.contains(engine),
        };
        let changes = ejected.symmetric_difference(&self.ejected).map(change).collect();
        self.ejected = ejected;
        Evaluation { report: published, changes }
    }

    fn report_to_publish(&mut self, now: Micros, report: &OutlierReport) -> Option<Vec<u8>> {
        let engines: Vec<ReportedEngine> = report
            .observations
            .iter()
            .map(|seen| (seen.engine, seen.failure_age < seen.success_age))
            .collect();
        if engines.is_empty() && self.published.engines.is_empty() {
            return None;
        }
        if engines == self.published.engines && now < self.published.at + MIN_REPUBLISH_INTERVAL {
            return None;
        }
        // An empty message withdraws the last report.
        let bytes = if engines.is_empty() { Vec::new() } else { report.encode() };
        self.published = PublishedReport { engines, at: now };
        Some(bytes)
    }
}
