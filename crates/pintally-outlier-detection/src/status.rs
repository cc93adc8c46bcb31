//! The status document of outlier detection. The JSON names are fixed and differ from the names of the
//! fields.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::agreement::FaultScope;
use crate::detector::OutlierDetector;
use crate::observer::Fault;
use crate::{EngineIncarnation, Micros};

/// The state of one engine.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EngineStatus {
    /// The engine's name.
    pub engine: String,
    /// The description of the most recent fault.
    pub fault: Option<&'static str>,
    /// The scope of the fault; `None` if the engine is recovering and no node reports it now.
    #[serde(rename = "reach")]
    pub scope: Option<FaultScope>,
    /// Nodes that report the fault.
    #[serde(rename = "accusers")]
    pub reporters: Vec<String>,
    /// Nodes for which the engine works.
    #[serde(rename = "clear")]
    pub working_for: Vec<String>,
    /// `rests`, `on trial`, `a quarter` or `back`, if the engine is ejected or recovering.
    #[serde(rename = "step")]
    pub recovery_step: Option<&'static str>,
    /// Whether this node currently does not use the engine.
    #[serde(rename = "held_back")]
    pub ejected: bool,
    /// How long ago the recovery step began, in milliseconds.
    #[serde(rename = "for_ms")]
    pub step_age_ms: u64,
}

/// The state of outlier detection at one node.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// Engines that at least one node reports, or that are recovering.
    pub engines: Vec<EngineStatus>,
    /// Nodes for which most engines fail, so that their reports do not count.
    #[serde(rename = "unsound")]
    pub unreliable_nodes: Vec<String>,
    /// Partitions between zones: the name of a zone of nodes, and the number of a zone of engines of which
    /// most fail for a node of the former.
    #[serde(rename = "cut")]
    pub partitions: Vec<(String, u32)>,
    /// Engine-seconds of ejection at this node.
    #[serde(rename = "held_s")]
    pub ejection_seconds: f64,
    /// How often an engine was ejected, without repeated ejections during a recovery.
    #[serde(rename = "verdicts")]
    pub ejections: u64,
}

impl OutlierDetector {
    /// The status document.
    pub fn status(&self, now: Micros) -> Status {
        let unreliable = self.reports.unreliable_nodes();
        let engines = self.reported_engines(now);
        Status {
            engines: engines
                .into_iter()
                .filter_map(|engine| self.engine_status(now, engine, &unreliable))
                .collect(),
            unreliable_nodes: unreliable.into_iter().collect(),
            partitions: self.reports.partitions().into_iter().collect(),
            ejection_seconds: self.ejections.total_ejection_seconds,
            ejections: self.ejections.total_ejections,
        }
    }

    /// The state of an engine; `None` if it is not listed, or if it is neither reported nor recovering.
    fn engine_status(
        &self,
        now: Micros,
        engine: EngineIncarnation,
        unreliable: &BTreeSet<String>,
    ) -> Option<EngineStatus> {
        let name = self.endpoints.name(&engine)?;
        let reports = self.reports_of(now, engine, 0, unreliable);
        let ramp = self.ejections.ramps().get(&engine);
        if reports.reporters.is_empty() && ramp.is_none() {
            return None;
        }
        Some(EngineStatus {
            engine: name.to_string(),
            fault: reports.last_fault().map(Fault::description),
            scope: reports.scope(self.min_reporters()),
            reporters: reports.reporters.iter().map(|reporter| reporter.node.name.clone()).collect(),
            working_for: reports.working_for.iter().map(|node| node.name.clone()).collect(),
            recovery_step: ramp.map(|ramp| ramp.step.name()),
            ejected: self.ejections.ejected().contains(&engine),
            step_age_ms: ramp.map_or(0, |ramp| now.saturating_sub(ramp.since) / 1000),
        })
    }
}
