//! What nodes of two shapes got out of the same engines.

use std::collections::HashMap;

use pintally_audit::{Answer, Record, What};
use serde::Serialize;

use crate::spec::Day;

/// What the nodes of one shape were asked and gave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Shape {
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

impl Shape {
    /// The part of what was asked that was served in time.
    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }
}

/// What nodes of the old and of the new shape were asked and gave on a day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Shapes {
    /// Nodes that are still as all were.
    pub old: Shape,
    /// Nodes that have moved.
    pub new: Shape,
}

impl Shapes {
    /// Counts them out of a day's record.
    pub fn of(day: &Day, record: &[Record]) -> Shapes {
        let moved: HashMap<String, bool> =
            (0..day.nodes).map(|n| (day.node(n).name, day.is_moved(n))).collect();
        let new = |node: &str| moved.get(node).copied().unwrap_or(false);
        let aims: HashMap<&str, u64> =
            day.settings.core.classes.iter().map(|c| (c.name.as_str(), c.aim)).collect();
        let mut shapes = Shapes::default();
        shapes.new.nodes = moved.values().filter(|m| **m).count();
        shapes.old.nodes = day.nodes - shapes.new.nodes;
        // By request: its node's shape, until when it is in time, and when its answer began.
        let mut open: HashMap<&str, (bool, u64, Option<u64>)> = HashMap::new();
        for record in record {
            match &record.what {
                What::Asked { request, node, class, .. } => {
                    let aim = aims.get(class.as_str()).copied().unwrap_or(0);
                    open.insert(request, (new(node), record.at + aim, None));
                    shapes.at(new(node)).asked += 1;
                }
                What::First { request } => {
                    if let Some(one) = open.get_mut(request.as_str()) {
                        one.2.get_or_insert(record.at);
                    }
                }
                What::Answered { request, answer: Answer::Served } => {
                    if let Some((new, due, first)) = open.remove(request.as_str()) {
                        let shape = shapes.at(new);
                        shape.served += 1;
                        shape.in_time += u64::from(first.unwrap_or(record.at) <= due);
                    }
                }
                What::Took { node, reached: true, .. } => shapes.at(new(node)).sends += 1,
                _ => {}
            }
        }
        shapes
    }

    fn at(&mut self, new: bool) -> &mut Shape {
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
