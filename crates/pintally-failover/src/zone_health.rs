//! The health of zones according to the reports of all nodes.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::observer::ZoneReport;
use crate::plan::FULL_PARTS;
use crate::Micros;

/// Reports older than this are dropped, in microseconds.
const REPORT_LIFETIME_MICROS: Micros = 3_000_000;
/// The maximum number of nodes whose reports are kept, which bounds memory. Reports of further nodes are ignored.
const MAX_REPORTING_NODES: usize = 4096;
/// A zone is failing if this fraction of attempts fails.
const MIN_FAILING_FRACTION: f64 = 0.5;
/// A zone is degraded if this fraction of attempts fails.
const MIN_DEGRADED_FRACTION: f64 = 0.05;
/// A zone is degraded if this fraction of requests is late. A recovering zone is not opened further meanwhile.
const MIN_LATE_FRACTION: f64 = 0.5;
/// With fewer attempts than this there is no evidence about the engines of a zone.
const MIN_ATTEMPTS: f64 = 4.0;

/// The health of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ZoneHealth {
    /// Its engines serve, or there is no evidence against it.
    #[serde(rename = "Alive")]
    Healthy,
    /// Some attempts fail, or many requests are late (a gray failure).
    #[serde(rename = "Grey")]
    Degraded,
    /// Most attempts fail, and nodes of the zone are alive.
    Failing,
    /// Most attempts fail, and no node of the zone is alive.
    #[serde(rename = "Gone")]
    Lost,
    /// No node of the zone is alive, and there is no evidence about its engines. The cause may be a network partition,
    /// so the zone does not count as failed.
    Unknown,
}

/// Recent attempts of all nodes at the engines of one zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneAttempts {
    pub(crate) count: f64,
    pub(crate) failed_fraction: f64,
    pub(crate) late_fraction: f64,
}

/// The attempts that the nodes report for one zone, and the zone's health.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedZone {
    pub(crate) attempts: ZoneAttempts,
    pub(crate) health: ZoneHealth,
}

impl ObservedZone {
    /// Determines the health of a zone from its attempts and the number of its nodes that are alive.
    pub(crate) fn new(attempts: ZoneAttempts, nodes: usize) -> ObservedZone {
        ObservedZone { attempts, health: health(&attempts, nodes) }
    }

    /// Whether so many requests are late that no more may be admitted.
    pub(crate) fn is_late(&self) -> bool {
        self.attempts.late_fraction >= MIN_LATE_FRACTION
    }

    /// The fraction of the zone's capacity that serves.
    pub(crate) fn working_fraction(&self) -> f64 {
        let ZoneAttempts { count, failed_fraction, .. } = self.attempts;
        if count >= MIN_ATTEMPTS && failed_fraction >= MIN_DEGRADED_FRACTION {
            1.0 - failed_fraction
        } else {
            1.0
        }
    }
}

fn health(attempts: &ZoneAttempts, nodes: usize) -> ZoneHealth {
    let has_nodes = nodes > 0;
    if attempts.count < MIN_ATTEMPTS {
        return if has_nodes { ZoneHealth::Healthy } else { ZoneHealth::Unknown };
    }
    if attempts.failed_fraction >= MIN_FAILING_FRACTION {
        return if has_nodes { ZoneHealth::Failing } else { ZoneHealth::Lost };
    }
    if attempts.failed_fraction >= MIN_DEGRADED_FRACTION || attempts.late_fraction >= MIN_LATE_FRACTION {
        return ZoneHealth::Degraded;
    }
    ZoneHealth::Healthy
}

/// The latest report of one node.
#[derive(Clone, Debug)]
struct NodeReport {
    /// The node's own zone.
    zone: usize,
    received: Micros,
    report: ZoneReport,
}

/// The latest reports of all nodes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reports {
    by_node: BTreeMap<String, NodeReport>,
}

impl Reports {
    /// Replaces the report of the node `name`, which is in `zone`.
    pub(crate) fn receive(&mut self, now: Micros, name: &str, zone: usize, report: ZoneReport) {
        if self.by_node.len() < MAX_REPORTING_NODES || self.by_node.contains_key(name) {
            self.by_node.insert(name.to_string(), NodeReport { zone, received: now, report });
        }
    }

    /// Drops old reports.
    pub(crate) fn expire(&mut self, now: Micros) {
        self.by_node.retain(|_, report| now.saturating_sub(report.received) <= REPORT_LIFETIME_MICROS);
    }

    /// The attempts of all nodes at the engines of a zone.
    pub(crate) fn attempts(&self, zone: usize) -> ZoneAttempts {
        let (mut count, mut failed, mut late) = (0.0, 0.0, 0.0);
        for node in self.by_node.values() {
            let Some((ended, failed_parts, late_parts)) = node.report.zones.get(zone) else { continue };
            let ended = f64::from(*ended);
            count += ended;
            failed += ended * f64::from(*failed_parts) / f64::from(FULL_PARTS);
            late += ended * f64::from(*late_parts) / f64::from(FULL_PARTS);
        }
        let divisor = count.max(1e-9);
        ZoneAttempts { count, failed_fraction: failed / divisor, late_fraction: late / divisor }
    }

    /// By zone, for `zones` zones: requests per second that clients send to its nodes.
    pub(crate) fn offered(&self, zones: usize) -> Vec<f64> {
        let mut offered = vec![0.0; zones];
        for node in self.by_node.values() {
            offered[node.zone] += f64::from(node.report.offered);
        }
        offered
    }
}
