//! The host's part in verdicts of the whole fleet: what its attempts tell, and which engines the core is
//! told take no new work for now.

use std::collections::{BTreeMap, BTreeSet};

use pintally::interface::{Endpoint, EndpointState, EngineId, ListUpdate, Micros, Outcome};
use pintally_outlier_detection::{
    EngineIncarnation, Fault, ListedEngine, Node, Observer, OutlierDetector, OutlierReport, Status,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::host::Host;
use crate::input::{Command, EngineEndpoint};
use crate::timers::TimerEvent;

/// How often reports are weighed.
const EVERY: Micros = 100_000;
/// A report of which the ages alone have changed is told anew no sooner.
const AGAIN: Micros = 1_000_000;

/// What this node sees, and what all see.
pub(crate) struct Judging {
    witness: Observer,
    verdicts: OutlierDetector,
    me: Node,
    lives: BTreeMap<EngineId, (EngineIncarnation, u32)>,
    held: BTreeSet<EngineId>,
    /// What was said last: which engines, whether they failed or worked; and when.
    said: (Vec<(EngineIncarnation, bool)>, Micros),
}

/// What stands for a zone in reports.
fn zone_number(zone: &str) -> u32 {
    xxh3_64(zone.as_bytes()) as u32
}

impl Host {
    /// The same host with verdicts of the whole fleet, if the settings hold any.
    pub fn with_outlier_detection(mut self, now: Micros) -> Host {
        if let Some(figures) = self.settings.outlier_detection {
            let me = Node { name: self.settings.name.clone(), zone: self.settings.core.zone.clone() };
            self.judging = Some(Judging {
                witness: Observer::new(figures),
                verdicts: OutlierDetector::new(figures, me.clone()),
                me,
                lives: BTreeMap::new(),
                held: BTreeSet::new(),
                said: (Vec::new(), 0),
            });
            self.timers.set(now + EVERY, TimerEvent::OutlierEvaluation);
        }
        self
    }

    /// What is believed of engines.
    pub fn outlier_status(&self, now: Micros) -> Option<Status> {
        self.judging.as_ref().map(|j| j.verdicts.status(now))
    }

    /// The list has changed: whose lives there are.
    pub(crate) fn relist(&mut self) {
        let Some(judging) = &mut self.judging else { return };
        judging.lives.clear();
        let mut known = BTreeMap::new();
        for (engine, listed) in
            self.members.iter().filter(|(_, l)| l.endpoint.state == EndpointState::Serving)
        {
            let address = listed.address.to_string();
            let life = EngineIncarnation::of(&engine.0, &address, listed.started_unix_ms.unwrap_or(0));
            let zone = zone_number(&listed.endpoint.zone);
            judging.lives.insert(engine.clone(), (life, zone));
            let name = engine.0.to_string();
            known.insert(life, (ListedEngine { name, kind: listed.endpoint.kind.clone() }, zone));
        }
        judging.verdicts.set_endpoints(known);
    }

    /// An engine as the core is to be told of it.
    pub(crate) fn as_judged(&self, mut member: Endpoint) -> Endpoint {
        let held = self.judging.as_ref().is_some_and(|j| j.held.contains(&member.engine));
        if held && member.state == EndpointState::Serving {
            member.state = EndpointState::Draining;
        }
        member
    }

    /// An attempt has ended.
    pub(crate) fn witnessed(&mut self, now: Micros, engine: &EngineId, outcome: Outcome) {
        let Some(judging) = &mut self.judging else { return };
        let Some((life, zone)) = judging.lives.get(engine).copied() else { return };
        let fault = match outcome {
            Outcome::Served | Outcome::Read => None,
            Outcome::Unreachable => Some(Fault::Unreachable),
            Outcome::ConnectionBroken => Some(Fault::Broke),
            Outcome::TimedOut => Some(Fault::Late),
            Outcome::Error => Some(Fault::Wrong),
            // A full engine, a state that is gone and what this node called off tell nothing of it.
            Outcome::Overloaded | Outcome::StateNotFound | Outcome::Cancelled | Outcome::NeverSent => return,
        };
        judging.witness.record(now, life, zone, fault);
    }

    /// A node's report has come.
    pub(crate) fn evidence(&mut self, now: Micros, from: &Node, report: &[u8]) {
        let Some(judging) = &mut self.judging else { return };
        if let Some(report) = OutlierReport::decode(report).filter(|_| from.name != judging.me.name) {
            judging.verdicts.receive_report(now, from, &report);
        }
    }

    /// Who is here.
    pub(crate) fn nodes_here(&mut self, nodes: Vec<Node>) {
        if let Some(judging) = &mut self.judging {
            judging.verdicts.set_peers(nodes);
        }
    }

    /// People say that an engine is well.
    pub(crate) fn cleared(&mut self, now: Micros, engine: &str) {
        let Some(judging) = &mut self.judging else { return };
        if let Some(life) = judging.verdicts.incarnation(engine) {
            judging.verdicts.clear(now, life);
            judging.witness.clear(life);
        }
    }

    /// Says what this node saw, weighs what all saw, and tells the core what has changed.
    pub(crate) fn verdicts_due(&mut self, now: Micros, out: &mut Vec<Command>) {
        let Some(judging) = &mut self.judging else { return };
        let accused = judging.verdicts.reported_engines(now);
        let report = judging.witness.report(now, &accused);
        let says: Vec<(EngineIncarnation, bool)> =
            report.seen.iter().map(|s| (s.engine, s.bad_age < s.good_age)).collect();
        let empty = says.is_empty() && judging.said.0.is_empty();
        if !empty && (says != judging.said.0 || now >= judging.said.1 + AGAIN) {
            // With nothing left to say the report is taken back.
            let bytes = if says.is_empty() { Vec::new() } else { report.encode() };
            out.push(Command::PublishOutlierReport(bytes));
            judging.said = (says, now);
        }
        let me = judging.me.clone();
        judging.verdicts.receive_report(now, &me, &report);
        let held = judging.verdicts.tick(now);
        let held: BTreeSet<EngineId> = judging
            .lives
            .iter()
            .filter(|(_, (life, _))| held.contains(life))
            .map(|(e, _)| e.clone())
            .collect();
        let changed: Vec<EngineId> = held.symmetric_difference(&judging.held).cloned().collect();
        for engine in &changed {
            let what = if held.contains(engine) { "is held back" } else { "is let in again" };
            out.push(Command::Log(format!("engine {} {what} by what the fleet saw", engine.0)));
        }
        judging.held = held;
        let changed: Vec<EngineEndpoint> =
            changed.iter().filter_map(|e| self.members.get(e).cloned()).collect();
        if !changed.is_empty() {
            self.list(now, ListUpdate::Delta, changed, out);
        }
        self.timers.set(now + EVERY, TimerEvent::OutlierEvaluation);
    }
}
