//! Functions that the nodes of the fleet coordinate: quotas, outlier detection and failover between zones.

use pintally::interface::ListUpdate;
use pintally_outlier_detection::Node;
use pintally_quota::LeaseGrant;

use super::Host;
use crate::command::Command;
use crate::input::EngineEndpoint;
use crate::outlier_detection::{EjectionChange, Evaluation, EVALUATION_INTERVAL};
use crate::timers::TimerEvent;

impl Host {
    pub(super) fn on_quota_granted(&mut self, grants: &[LeaseGrant]) {
        if let Some(quota) = &mut self.quota {
            quota.apply_grants(self.now, grants);
        }
    }

    pub(super) fn on_outlier_report(&mut self, from: &Node, report: &[u8]) {
        if let Some(outliers) = &mut self.outliers {
            outliers.receive_report(self.now, from, report);
        }
    }

    pub(super) fn on_peers_changed(&mut self, nodes: Vec<Node>) {
        if let Some(outliers) = &mut self.outliers {
            outliers.set_peers(nodes);
        }
    }

    pub(super) fn on_engine_cleared(&mut self, engine: &str) {
        if let Some(outliers) = &mut self.outliers {
            outliers.clear(self.now, engine);
        }
    }

    pub(super) fn on_failover_plan(&mut self, plan: &[u8]) {
        if let Some(zones) = &mut self.zones {
            zones.apply_plan(self.now, plan);
        }
    }

    /// Requests the quota allocations that are due.
    pub(super) fn request_quota(&mut self, out: &mut Vec<Command>) {
        let Some(quota) = &mut self.quota else { return };
        let requests = quota.lease_requests(self.now);
        if !requests.is_empty() {
            out.push(Command::RequestQuota(requests));
        }
        let next = self.now + quota.check_interval();
        self.timers.set(next, TimerEvent::QuotaRequest);
    }

    /// Publishes this node's report, evaluates those of all nodes, and notifies the cores of engines that are
    /// ejected or readmitted.
    pub(super) fn evaluate_outliers(&mut self, out: &mut Vec<Command>) {
        let Some(outliers) = &mut self.outliers else { return };
        let Evaluation { report, changes } = outliers.evaluate(self.now);
        out.extend(report.map(Command::PublishOutlierReport));
        for EjectionChange { engine, is_ejected } in &changes {
            let event = if *is_ejected { "ejected" } else { "readmitted" };
            out.push(Command::Log(format!("engine {event}: engine={} reason=outlier_detection", engine.0)));
        }
        let listed = changes.iter().filter_map(|change| self.endpoints.endpoint(&change.engine));
        let changed: Vec<EngineEndpoint> = listed.cloned().collect();
        if !changed.is_empty() {
            self.update_endpoints(ListUpdate::Delta, changed, out);
        }
        self.timers.set(self.now + EVALUATION_INTERVAL, TimerEvent::OutlierEvaluation);
    }

    pub(super) fn publish_zone_report(&mut self, out: &mut Vec<Command>) {
        let Some(zones) = &mut self.zones else { return };
        let report = zones.report(self.now, |engine| self.endpoints.is_serving(engine));
        out.push(Command::PublishZoneReport(report.observations, report.serving_engines));
        self.timers.set(self.now + zones.report_interval(), TimerEvent::ZoneReport);
    }
}
