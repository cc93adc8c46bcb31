//! Visibility: how much of the fleet's traffic and load this node can see.

use super::Router;
use crate::interface::*;

/// Up to this many nodes, each sees enough of the traffic to rely on its own affinity table alone.
const MAX_SELF_SUFFICIENT_NODES: f64 = 2.5;
/// A node with less visibility than this seldom knows the load and health of engines.
const NEGLIGIBLE_VISIBILITY: f64 = 0.1;
/// A node with less visibility than this is one of many: most of the engines' load is by other nodes.
const LOW_VISIBILITY: f64 = 0.5;

impl Router {
    /// How well a node's own traffic represents that of the fleet: 1 with few nodes, next to 0 with many.
    pub(super) fn visibility(&self) -> f64 {
        (MAX_SELF_SUFFICIENT_NODES / f64::from(self.settings.node_count.max(1))).min(1.0)
    }

    /// The number of nodes, at least one.
    pub(crate) fn node_count(&self) -> u32 {
        self.settings.node_count.max(1)
    }

    /// Whether this is one of so many nodes that most of the engines' load is by other nodes.
    pub(super) fn has_low_visibility(&self) -> bool {
        self.visibility() < LOW_VISIBILITY
    }

    /// Whether this is one of so many nodes that it seldom knows the load and health of an engine.
    pub(super) fn has_negligible_visibility(&self) -> bool {
        self.visibility() < NEGLIGIBLE_VISIBILITY
    }

    /// Whether no engine reports its load.
    pub(super) fn without_load_reports(&self) -> bool {
        self.settings.load_reporting == LoadReporting::Off
    }

    /// The number of serving engines that write.
    pub(super) fn writer_count(&self) -> f64 {
        self.racks.values().map(|rack| rack.writers).sum()
    }
}
