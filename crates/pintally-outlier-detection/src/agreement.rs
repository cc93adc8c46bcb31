//! Agreement of the nodes on a fault of one engine and on its scope.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::detector::Node;
use crate::evidence::EngineEvidence;
use crate::observer::Fault;

/// At least this many nodes must report an engine for each node for which it works.
const SUCCESS_WEIGHT: usize = 4;

/// The nodes that a fault of an engine concerns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum FaultScope {
    /// Only the links of the reporting nodes: the engine works for others.
    Link,
    /// The nodes of this zone.
    Zone(String),
    /// All nodes.
    #[serde(rename = "Everyone")]
    AllNodes,
}

impl FaultScope {
    /// Whether the scope is a reason for `node` to eject the engine. A link fault is not: each node handles
    /// faults of its own links by itself.
    pub(crate) fn concerns(&self, node: &Node) -> bool {
        match self {
            FaultScope::AllNodes => true,
            FaultScope::Zone(zone) => *zone == node.zone,
            FaultScope::Link => false,
        }
    }
}

/// A node that reports a fault of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reporter<'a> {
    pub(crate) node: &'a Node,
    pub(crate) evidence: EngineEvidence,
}

/// All current reports about one engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineReports<'a> {
    /// Nodes that report a fault.
    pub(crate) reporters: Vec<Reporter<'a>>,
    /// Nodes for which the engine worked after the first of these faults.
    pub(crate) working_for: Vec<&'a Node>,
}

impl EngineReports<'_> {
    /// The scope of the fault, if a wider scope than the link requires `min_reporters`; `None` if no node
    /// reports a fault.
    pub(crate) fn scope(&self, min_reporters: usize) -> Option<FaultScope> {
        if self.reporters.is_empty() {
            return None;
        }
        let is_agreed = |reporters: usize, working_for: usize| {
            reporters >= min_reporters && reporters >= SUCCESS_WEIGHT * working_for
        };
        if is_agreed(self.reporters.len(), self.working_for.len()) {
            return Some(FaultScope::AllNodes);
        }
        let zones: BTreeSet<&str> =
            self.reporters.iter().map(|reporter| reporter.node.zone.as_str()).collect();
        let zone = zones.into_iter().find(|zone| {
            let reporters = self.reporters.iter().filter(|reporter| reporter.node.zone == *zone).count();
            let working_for = self.working_for.iter().filter(|node| node.zone == *zone).count();
            is_agreed(reporters, working_for)
        });
        Some(zone.map_or(FaultScope::Link, |zone| FaultScope::Zone(zone.to_string())))
    }

    /// Whether the engine works for a node.
    pub(crate) fn is_working_for(&self, node: &Node) -> bool {
        self.working_for.iter().any(|other| other.name == node.name)
    }

    /// Whether any reporter's last failed attempt timed out.
    pub(crate) fn any_timeout(&self) -> bool {
        self.reporters.iter().any(|reporter| reporter.evidence.fault == Some(Fault::TimedOut))
    }

    /// The most recent fault.
    pub(crate) fn last_fault(&self) -> Option<Fault> {
        let last = self.reporters.iter().max_by_key(|reporter| reporter.evidence.last_failure)?;
        last.evidence.fault
    }
}
