//! Compares nodes of two configurations, called shapes, that share the same engines during a migration.

use std::collections::HashMap;

use pintally_audit::{AuditEvent, Record};
use serde::Serialize;

use crate::request_records::requests;
use crate::spec::Scenario;

/// Requests and results of the nodes of one shape.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ShapeStats {
    /// Nodes of this shape.
    pub nodes: usize,
    /// Requests sent to them,
    pub asked: u64,
    /// how many of these were served,
    pub served: u64,
    /// and how many were served with the first token, or the whole answer if not streamed, within the class's
    /// latency objective.
    pub in_time: u64,
    /// Attempts that they sent to engines and that arrived.
    pub sends: u64,
}

impl ShapeStats {
    /// Share of the requests that were served in time.
    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }
}

/// Statistics of the nodes of the old and the new shape in one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ShapeComparison {
    /// Nodes that have not been migrated.
    pub old: ShapeStats,
    /// Nodes that have been migrated.
    pub new: ShapeStats,
}

impl ShapeComparison {
    /// Computes the statistics from the record of a run.
    pub fn of(scenario: &Scenario, record: &[Record]) -> ShapeComparison {
        let migrated: HashMap<String, bool> =
            (0..scenario.nodes).map(|n| (scenario.node(n).name, scenario.is_migrated(n))).collect();
        let is_new = |node: &str| migrated.get(node).copied().unwrap_or(false);
        let mut shapes = ShapeComparison::default();
        for is_new in migrated.values() {
            shapes.stats_mut(*is_new).nodes += 1;
        }
        for request in requests(scenario, record) {
            let shape = shapes.stats_mut(is_new(&request.node));
            shape.asked += 1;
            shape.served += u64::from(request.served);
            shape.in_time += u64::from(request.in_time());
        }
        for record in record {
            if let AuditEvent::AttemptArrived { node, reached: true, .. } = &record.event {
                shapes.stats_mut(is_new(node)).sends += 1;
            }
        }
        shapes
    }

    fn stats_mut(&mut self, is_new: bool) -> &mut ShapeStats {
        if is_new {
            &mut self.new
        } else {
            &mut self.old
        }
    }

    /// Ratio of the lower `share` of the two shapes to the higher one: near 1 if neither starves the other.
    pub fn evenness(&self) -> f64 {
        let (old, new) = (self.old.share(), self.new.share());
        old.min(new) / old.max(new).max(f64::MIN_POSITIVE)
    }
}
