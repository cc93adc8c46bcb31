//! Runs a scenario: starts nodes, engines and clients, applies the scripted faults, and audits the record.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use pintally_audit::{
    audit, AuditEvent, ClassParameters, EngineLocation, Idempotency, IdempotencyScope, Record, Report,
    RuleParameters,
};
use pintally_config::NodeSettings;
use pintally_kserve_node::Node;
use serde::Serialize;

use crate::migration::ShapeComparison;
use crate::process::NodeProcess;
use crate::runner::Runner;
use crate::spec::Scenario;

/// A running node.
pub trait RunningNode: Send {
    /// The address at which clients reach it.
    fn address(&self) -> SocketAddr;
    /// Ends it at once, as if its process had been killed.
    fn kill(self: Box<Self>);
    /// Shuts it down gracefully.
    fn stop(self: Box<Self>);
    /// Pauses or resumes it; only a node that is a process supports this.
    fn pause(&self, _on: bool) {}
}

impl RunningNode for Node {
    fn address(&self) -> SocketAddr {
        Node::address(self)
    }

    fn kill(self: Box<Self>) {
        Node::kill(*self);
    }

    fn stop(self: Box<Self>) {
        Node::stop(*self);
    }
}

/// Starts a node from its settings and a seed; tests pass launchers of faulty nodes.
pub type NodeLauncher<'a> = &'a dyn Fn(Arc<NodeSettings>, u64) -> Result<Box<dyn RunningNode>, String>;

/// Why a scenario could not be run.
#[derive(Debug)]
pub struct RunError(pub String);

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for RunError {}

/// Result of one run of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioResult {
    /// The scenario's name.
    pub day: String,
    /// The seed.
    pub seed: u64,
    /// Duration of the run in seconds.
    pub took_s: f64,
    /// Kinds of faults in the scenario.
    pub troubles: Vec<&'static str>,
    /// The audit report.
    pub report: Report,
    /// Statistics of the nodes by shape, if the scenario migrates some of them.
    pub shapes: Option<ShapeComparison>,
    /// Attempts that could not connect to a node.
    pub no_node: u64,
    /// Cold engines that crashed from overload, whether or not the nodes knew that they were cold.
    pub fell: usize,
    /// The record.
    #[serde(skip)]
    pub record: Vec<Record>,
}

impl ScenarioResult {
    /// Whether all rules held and at least one request was made.
    pub fn kept(&self) -> bool {
        self.report.rules.kept() && self.report.requests > 0
    }

    /// The summary as JSON, for scripts.
    pub fn summary(&self) -> serde_json::Value {
        let rules: serde_json::Map<String, serde_json::Value> = self
            .report
            .rules
            .each()
            .iter()
            .map(|(name, found)| (name.to_string(), found.len().into()))
            .collect();
        serde_json::json!({
            "requests": self.report.requests,
            "served": self.report.served,
            "refused": self.report.refused,
            "failed": self.report.failed,
            "left": self.report.left,
            "died_with_node": self.report.died,
            "fell": self.fell,
            "shapes": self.shapes,
            "rules": rules,
            "verdict": if self.kept() { "kept" } else { "broken" },
        })
    }
}

/// Runs a scenario with nodes that are processes of the program at `exe`, or threads if the scenario does not
/// ask for processes.
pub fn run_with(scenario: &Scenario, seed: u64, exe: &Path) -> Result<ScenarioResult, RunError> {
    if !scenario.processes {
        return run(scenario, seed, None);
    }
    let launch = |settings: Arc<NodeSettings>, seed: u64| -> Result<Box<dyn RunningNode>, String> {
        NodeProcess::start(exe, &settings, &scenario.shared_settings, seed)
            .map(|p| Box::new(p) as Box<dyn RunningNode>)
    };
    run(scenario, seed, Some(&launch))
}

/// A lateness above which the machine counts as stalled: the results of a run depend on delays of this size.
const STALL_THRESHOLD_US: u64 = 250_000;
/// Most runs of one scenario to get one without a stall of the machine.
const MAX_STEADY_RUNS: u32 = 5;

/// Runs a scenario, and repeats it if the machine stalled: the results of such a run say little about the
/// nodes. The fifth run counts even if the machine stalled.
pub fn run_steady(
    scenario: &Scenario,
    seed: u64,
    launch: Option<NodeLauncher>,
) -> Result<ScenarioResult, RunError> {
    let _slot = crate::cpus::RUN_SLOTS.acquire();
    crate::cpus::limit_cpus();
    let mut result = run(scenario, seed, launch)?;
    for _ in 1..MAX_STEADY_RUNS {
        let is_stall =
            |r: &Record| matches!(r.event, AuditEvent::MachineLate { us } if us > STALL_THRESHOLD_US);
        if !result.record.iter().any(is_stall) {
            break;
        }
        println!("the machine stalled: scenario {} is run again", scenario.name);
        result = run(scenario, seed, launch)?;
    }
    Ok(result)
}

/// Runs a scenario with real nodes, or with those that `launch` starts.
pub fn run(scenario: &Scenario, seed: u64, launch: Option<NodeLauncher>) -> Result<ScenarioResult, RunError> {
    let launch_node = |settings: Arc<NodeSettings>, seed: u64| -> Result<Box<dyn RunningNode>, String> {
        Node::start(settings, seed).map(|n| Box::new(n) as Box<dyn RunningNode>).map_err(|e| e.to_string())
    };
    let mut runner = Runner::new(scenario, seed, launch.unwrap_or(&launch_node))?;
    runner.run()?;
    let ((engines, record), no_node, took) = runner.finish();
    let tolerances_us = (scenario.drain_grace.as_micros() as u64, scenario.slack.as_micros() as u64);
    let record = with_figures(&scenario.settings, tolerances_us, engines, record);
    let report = audit(&record).map_err(|e| RunError(format!("the record cannot be audited: {e}")))?;
    let mut troubles: Vec<&'static str> =
        scenario.faults.iter().map(|f| crate::faults::kind_name(f.kind)).collect();
    troubles.sort_unstable();
    troubles.dedup();
    let fell = record.iter().filter(|r| matches!(r.event, AuditEvent::EngineOverloaded { .. })).count();
    let took_s = took.as_secs_f64();
    let shapes = scenario.migrated.as_ref().map(|_| ShapeComparison::of(scenario, &record));
    Ok(ScenarioResult {
        day: scenario.name.clone(),
        seed,
        took_s,
        troubles,
        report,
        shapes,
        no_node,
        fell,
        record,
    })
}

/// Inserts the figures that the audit's rules need as the first record. The pair holds, in microseconds, the
/// grace period after a drain is announced and the tolerance for measurement delays.
pub fn with_figures(
    settings: &NodeSettings,
    (drain_grace_us, slack_us): (u64, u64),
    engines: Vec<EngineLocation>,
    mut record: Vec<Record>,
) -> Vec<Record> {
    use pintally::interface as core;
    let idempotency = |e: &core::Idempotency| match e {
        core::Idempotency::Idempotent => Idempotency::Idempotent,
        core::Idempotency::NotIdempotent => Idempotency::NotIdempotent,
        core::Idempotency::WithKey(group, window_us) => Idempotency::WithKey {
            group: match group {
                core::IdempotencyScope::All => IdempotencyScope::All,
                core::IdempotencyScope::Zone => IdempotencyScope::Zone,
                core::IdempotencyScope::Rack => IdempotencyScope::Rack,
            },
            window_us: *window_us,
        },
    };
    let core = &settings.core;
    let classes = core
        .classes
        .iter()
        .map(|c| ClassParameters { name: c.name.clone(), effect: idempotency(&c.idempotency) });
    let figures = RuleParameters {
        drain_grace_us,
        release_within_us: core.release_deadline,
        slack_us,
        classes: classes.collect(),
        engines,
    };
    record.insert(0, Record { at: 0, event: AuditEvent::Parameters(figures) });
    record
}
