//! How much of the fleet's traffic and load this node can see.

use super::Router;
use crate::interface::*;

/// Of no more nodes than this each sees enough of the traffic to go by its own table alone.
const MAX_SELF_SUFFICIENT_NODES: f64 = 2.5;
/// A node that sees less than this part of the traffic seldom knows how the engines are doing.
const BLIND_BELOW: f64 = 0.1;
/// A node that sees less than this part of the traffic counts as one of many.
const ONE_OF_MANY_BELOW: f64 = 0.5;

impl Router {
    /// How far a node sees the fleet's traffic in its own: 1 for few nodes, next to 0 for many.
    pub(super) fn visibility(&self) -> f64 {
        (MAX_SELF_SUFFICIENT_NODES / f64::from(self.settings.node_count.max(1))).min(1.0)
    }

    /// One of several nodes, so that others fill the engines as much as it does.
    pub(super) fn is_one_of_many(&self) -> bool {
        self.visibility() < ONE_OF_MANY_BELOW
    }

    /// One of so many nodes that it seldom knows how the engine to which it sends is doing.
    pub(super) fn is_blind(&self) -> bool {
        self.visibility() < BLIND_BELOW
    }

    /// No engine reports its load.
    pub(super) fn without_load_reports(&self) -> bool {
        self.settings.load_reporting == LoadReporting::Off
    }

    /// Listed engines that write.
    pub(super) fn writers(&self) -> f64 {
        self.racks.values().map(|rack| rack.writers).sum()
    }
}
