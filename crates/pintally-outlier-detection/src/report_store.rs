//! The latest report of each node, merged by engine.

use std::collections::{BTreeMap, BTreeSet};

use crate::agreement::{EngineReports, Reporter};
use crate::detector::Node;
use crate::evidence::EngineEvidence;
use crate::report::OutlierReport;
use crate::settings::Settings;
use crate::{EngineIncarnation, Micros};

/// Greatest number of nodes whose reports are stored, to bound their memory. Reports of further nodes are
/// ignored.
const MAX_REPORTING_NODES: usize = 4096;

/// A node must have used at least this many engines before their failures are attributed to the node.
const MIN_USED_ENGINES: u32 = 3;

/// Reports are dropped after this many times the evidence retention.
const REPORT_RETENTION_FACTOR: u64 = 2;

/// A node's recent use of the engines of one zone.
#[derive(Clone, Copy, Debug)]
struct ZoneUsage {
    zone: u32,
    used: u32,
    failing: u32,
}

/// The latest report of one node.
#[derive(Clone, Debug)]
struct NodeReport {
    node: Node,
    received_at: Micros,
    evidence: BTreeMap<EngineIncarnation, EngineEvidence>,
    zones: Vec<ZoneUsage>,
}

impl NodeReport {
    fn new(now: Micros, node: &Node, report: &OutlierReport) -> NodeReport {
        let evidence = report
            .observations
            .iter()
            .map(|observation| (observation.engine, EngineEvidence::received(now, observation)))
            .collect();
        let zones = report
            .zones
            .iter()
            .map(|(zone, used, failing)| ZoneUsage {
                zone: *zone,
                used: u32::from(*used),
                failing: u32::from(*failing),
            })
            .collect();
        NodeReport { node: node.clone(), received_at: now, evidence, zones }
    }

    /// Whether most of the engines that the node uses fail for it.
    fn is_unreliable(&self, settings: &Settings) -> bool {
        let used = self.zones.iter().map(|zone| zone.used).sum();
        let failing = self.zones.iter().map(|zone| zone.failing).sum();
        mostly_failing(used, failing, settings)
    }

    /// Whether most of the engines of a zone that the node uses fail for it.
    fn cannot_reach_zone(&self, zone: u32, settings: &Settings) -> bool {
        let usage = self.zones.iter().find(|usage| usage.zone == zone);
        usage.is_some_and(|usage| mostly_failing(usage.used, usage.failing, settings))
    }
}

fn mostly_failing(used: u32, failing: u32, settings: &Settings) -> bool {
    used >= MIN_USED_ENGINES && f64::from(failing) >= settings.local_fault_fraction * f64::from(used)
}

/// Selects the reports about one engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineFilter {
    pub(crate) engine: EngineIncarnation,
    /// The number of the engine's zone.
    pub(crate) zone: u32,
    /// Only evidence later than this counts.
    pub(crate) after: Micros,
}

/// The latest reports of all nodes.
#[derive(Clone, Debug)]
pub(crate) struct ReportStore {
    settings: Settings,
    by_node: BTreeMap<String, NodeReport>,
}

impl ReportStore {
    pub(crate) fn new(settings: Settings) -> ReportStore {
        ReportStore { settings, by_node: BTreeMap::new() }
    }

    /// Replaces a node's report.
    pub(crate) fn receive(&mut self, now: Micros, node: &Node, report: &OutlierReport) {
        if self.by_node.len() >= MAX_REPORTING_NODES && !self.by_node.contains_key(&node.name) {
            return;
        }
        self.by_node.insert(node.name.clone(), NodeReport::new(now, node, report));
    }

    /// Drops reports that are older than their retention.
    pub(crate) fn expire(&mut self, now: Micros) {
        let retention = REPORT_RETENTION_FACTOR * self.settings.evidence_retention;
        self.by_node.retain(|_, report| now.saturating_sub(report.received_at) <= retention);
    }

    /// Engines that at least one node reports.
    pub(crate) fn reported_engines(&self, now: Micros) -> impl Iterator<Item = EngineIncarnation> + '_ {
        self.by_node
            .values()
            .flat_map(|report| &report.evidence)
            .filter(move |(_, evidence)| evidence.reports_failure(now, &self.settings))
            .map(|(engine, _)| *engine)
    }

    /// Nodes for which most engines fail. The cause is taken to be the node, and its reports do not count.
    pub(crate) fn unreliable_nodes(&self) -> BTreeSet<String> {
        self.by_node
            .iter()
            .filter(|(_, report)| report.is_unreliable(&self.settings))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// The partitions between zones: for each node for which most of the engines of a zone fail, the name of
    /// the node's zone and the number of the engines' zone.
    pub(crate) fn partitions(&self) -> BTreeSet<(String, u32)> {
        let mut partitions = BTreeSet::new();
        for report in self.by_node.values() {
            let unreachable =
                report.zones.iter().filter(|usage| report.cannot_reach_zone(usage.zone, &self.settings));
            partitions.extend(unreachable.map(|usage| (report.node.zone.clone(), usage.zone)));
        }
        partitions
    }

    /// The current reports about one engine. A fault does not count if it is reported by an unreliable node
    /// or by a node for which most of the engines of the engine's zone fail.
    pub(crate) fn about_engine(
        &self,
        now: Micros,
        filter: EngineFilter,
        unreliable: &BTreeSet<String>,
    ) -> EngineReports<'_> {
        let EngineFilter { engine, zone, after } = filter;
        let evidence_of_engine =
            || self.by_node.values().filter_map(|report| Some((report, *report.evidence.get(&engine)?)));
        let reporters: Vec<Reporter<'_>> = evidence_of_engine()
            .filter(|(report, _)| !unreliable.contains(&report.node.name))
            .filter(|(report, _)| !report.cannot_reach_zone(zone, &self.settings))
            .filter(|(_, evidence)| evidence.reports_failure(now, &self.settings))
            .filter(|(_, evidence)| evidence.last_failure > after)
            .map(|(report, evidence)| Reporter { node: &report.node, evidence })
            .collect();
        // A success before the first reported failure does not contradict the reporters.
        let first_failure = reporters.iter().map(|reporter| reporter.evidence.last_failure).min();
        let after = first_failure.unwrap_or(0).max(after);
        let working_for = evidence_of_engine()
            .filter(|(_, evidence)| evidence.reports_success(now, &self.settings))
            .filter(|(_, evidence)| evidence.last_success > after)
            .map(|(report, _)| &report.node)
            .collect();
        EngineReports { reporters, working_for }
    }
}
