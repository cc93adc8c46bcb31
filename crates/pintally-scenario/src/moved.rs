//! What nodes of two shapes got out of the same engines.

use std::collections::HashMap;

use pintally_audit::{AuditEvent, Record};
use serde::Serialize;

use crate::spec::Scenario;
use crate::worth::requests;

/// What the nodes of one shape were asked and gave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ShapeStats {
    /// Nodes of this shape.
    pub nodes: usize,
    /// Requests that were asked of them,
    pub asked: u64,
    /// of these served,
    pub served: u64,
    /// and served with a first token, or whole, within their class's aim.
    pub in_time: u64,
    /// Work that they sent to engines and that reached one.
    pub sends: u64,
}

impl ShapeStats {
    /// The part of what was asked that was served in time.
    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }
}

/// What nodes of the old and of the new shape were asked and gave on a day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ShapeComparison {
    /// Nodes that are still as all were.
    pub old: ShapeStats,
    /// Nodes that have moved.
    pub new: ShapeStats,
}

impl ShapeComparison {
    /// Counts them out of a day's record.
    pub fn of(day: &Scenario, record: &[Record]) -> ShapeComparison {
        let moved: HashMap<String, bool> =
            (0..day.nodes).map(|n| (day.node(n).name, day.is_moved(n))).collect();
        let new = |node: &str| moved.get(node).copied().unwrap_or(false);
        let mut shapes = ShapeComparison::default();
        for new in moved.values() {
            shapes.at(*new).nodes += 1;
        }
        for one in requests(day, record) {
            let shape = shapes.at(new(&one.node));
            shape.asked += 1;
            shape.served += u64::from(one.served);
            shape.in_time += u64::from(one.in_time());
        }
        for record in record {
            if let AuditEvent::AttemptArrived { node, reached: true, .. } = &record.event {
                shapes.at(new(node)).sends += 1;
            }
        }
        shapes
    }

    fn at(&mut self, new: bool) -> &mut ShapeStats {
        if new {
            &mut self.new
        } else {
            &mut self.old
        }
    }

    /// The worse-served shape's part in time against the better-served one's: near 1 where neither starves
    /// the other.
    pub fn evenness(&self) -> f64 {
        let (old, new) = (self.old.share(), self.new.share());
        old.min(new) / old.max(new).max(f64::MIN_POSITIVE)
    }
}
