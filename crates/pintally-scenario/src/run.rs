//! Plays a day: builds nodes, engines and clients, carries out the script, audits the record.

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

use crate::moved::ShapeComparison;
use crate::play::Play;
use crate::process::NodeProcess;
use crate::spec::Scenario;

/// A node that runs.
pub trait RunningNode: Send {
    /// Where clients reach it.
    fn address(&self) -> SocketAddr;
    /// Ends it at once, as if its process had died.
    fn kill(self: Box<Self>);
    /// Ends it in good order.
    fn stop(self: Box<Self>);
    /// Lets it stand still, or go on; a node that is no process cannot.
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

/// Starts a node; tests hand in broken ones.
pub type NodeLauncher<'a> = &'a dyn Fn(Arc<NodeSettings>, u64) -> Result<Box<dyn RunningNode>, String>;

/// Why a day could not be played.
#[derive(Debug)]
pub struct RunError(pub String);

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for RunError {}

/// What came of a day.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioResult {
    /// The day's name.
    pub day: String,
    /// The seed.
    pub seed: u64,
    /// How long it took, in seconds.
    pub took_s: f64,
    /// Kinds of trouble that were played.
    pub troubles: Vec<&'static str>,
    /// The audit.
    pub report: Report,
    /// What nodes of two shapes got, where some have moved.
    pub shapes: Option<ShapeComparison>,
    /// Tries that found no node to connect to.
    pub no_node: u64,
    /// Cold engines that fell over, whether or not nodes knew that they were cold.
    pub fell: usize,
    /// The record.
    #[serde(skip)]
    pub record: Vec<Record>,
}

impl ScenarioResult {
    /// Whether all rules were kept, and requests were made at all.
    pub fn kept(&self) -> bool {
        self.report.rules.kept() && self.report.requests > 0
    }

    /// The line that machines read.
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

/// Plays a day whose nodes are processes of the program at `exe`, or threads where the day wants none.
pub fn run_with(day: &Scenario, seed: u64, exe: &Path) -> Result<ScenarioResult, RunError> {
    if !day.processes {
        return run(day, seed, None);
    }
    let launch = |settings: Arc<NodeSettings>, seed: u64| -> Result<Box<dyn RunningNode>, String> {
        NodeProcess::start(exe, &settings, &day.shared, seed).map(|p| Box::new(p) as Box<dyn RunningNode>)
    };
    run(day, seed, Some(&launch))
}

/// A lateness from which on the machine counts as having stood still: a day hangs on times like these.
const STOOD_STILL_US: u64 = 250_000;
/// Plays of one day, until the machine holds through one.
const STEADY_PLAYS: u32 = 5;

/// Plays a day, and again if the machine stood still in it: what is served then, and what is caught, says
/// little of nodes. The last of five plays counts whatever the machine does.
pub fn run_steady(
    day: &Scenario,
    seed: u64,
    launch: Option<NodeLauncher>,
) -> Result<ScenarioResult, RunError> {
    let _turn = crate::cores::IN_ONE_PROCESS.acquire();
    crate::cores::on_few_cores();
    let mut result = run(day, seed, launch)?;
    for _ in 1..STEADY_PLAYS {
        let stood = |r: &Record| matches!(r.event, AuditEvent::MachineLate { us } if us > STOOD_STILL_US);
        if !result.record.iter().any(stood) {
            break;
        }
        println!("the machine stood still: day {} is played again", day.name);
        result = run(day, seed, launch)?;
    }
    Ok(result)
}

/// Plays a day with real nodes, or with whatever `launch` starts.
pub fn run(day: &Scenario, seed: u64, launch: Option<NodeLauncher>) -> Result<ScenarioResult, RunError> {
    let real = |settings: Arc<NodeSettings>, seed: u64| -> Result<Box<dyn RunningNode>, String> {
        Node::start(settings, seed).map(|n| Box::new(n) as Box<dyn RunningNode>).map_err(|e| e.to_string())
    };
    let mut play = Play::new(day, seed, launch.unwrap_or(&real))?;
    play.play_whole()?;
    let ((engines, record), no_node, took) = play.end();
    let times = (day.drain_grace.as_micros() as u64, day.slack.as_micros() as u64);
    let record = with_figures(&day.settings, times, engines, record);
    let report = audit(&record).map_err(|e| RunError(format!("the record cannot be audited: {e}")))?;
    let mut troubles: Vec<&'static str> = day.faults.iter().map(|f| crate::faults::name(f.kind)).collect();
    troubles.sort_unstable();
    troubles.dedup();
    let fell = record.iter().filter(|r| matches!(r.event, AuditEvent::EngineOverloaded { .. })).count();
    let took_s = took.as_secs_f64();
    let shapes = day.moved.as_ref().map(|_| ShapeComparison::of(day, &record));
    Ok(ScenarioResult {
        day: day.name.clone(),
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

/// The record with the figures that the rules go by as its first line; times in microseconds: the
/// grace after a drain was notified, and what the measuring may add.
pub fn with_figures(
    settings: &NodeSettings,
    (drain_grace_us, slack_us): (u64, u64),
    engines: Vec<EngineLocation>,
    mut record: Vec<Record>,
) -> Vec<Record> {
    use pintally::interface as core;
    let effect = |e: &core::Idempotency| match e {
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
    let classes =
        core.classes.iter().map(|c| ClassParameters { name: c.name.clone(), effect: effect(&c.idempotency) });
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
