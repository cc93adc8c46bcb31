//! The capacity of a fleet whose engines are warming up, and this node's share of it.

use std::collections::{BTreeMap, BTreeSet};

use pintally::interface::{EngineId, Micros};
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::settings::Settings;

/// The size of the fleet, as far as a node knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSize {
    /// Nodes that are alive, this one included.
    pub alive: usize,
    /// Nodes according to the settings.
    pub expected: usize,
}

/// This node's share of the requests that all nodes together may admit.
///
/// If a majority of the fleet is alive, as far as this node knows, the live nodes share all requests equally.
/// Otherwise each node takes the share that it would have if all nodes were alive. In any partition at most
/// one side sees a majority, so the shares of all nodes add up to at most
/// `1 + (expected - majority) / expected`, which is less than 1.5; without a partition they add up to 1.
pub fn admission_share(fleet: FleetSize) -> f64 {
    let expected = fleet.expected.max(1);
    let alive = fleet.alive.clamp(1, expected);
    let has_majority = alive * 2 > expected;
    let sharers = if has_majority { alive } else { expected };
    1.0 / sharers as f64
}

/// Identifies an engine in reports between nodes. Two engines with the same hash count as one engine.
type EngineHash = u32;

fn engine_hash(engine: &EngineId) -> EngineHash {
    xxh3_64(engine.0.as_bytes()) as EngineHash
}

/// Limit of the engines in one report: as many as fit into a direct message between peers.
const MAX_REPORTED_ENGINES: usize = 56;
/// Resolution of reported ages. An age too large for its field is reported as the largest that fits.
const AGE_UNIT: Micros = 10_000;
/// Width of the age, which is in the low bits of an encoded engine; the hash is in the bits above.
const AGE_BITS: u32 = 16;
/// If not all engines fit into one report, the reported ones change at this interval.
const REPORT_ROTATION_INTERVAL: Micros = 1_000_000;

/// An engine that has answered, and the time since its first answer. Encoded as one number on the wire.
struct ReportedEngine {
    hash: EngineHash,
    age: Micros,
}

impl ReportedEngine {
    fn encode(&self) -> u64 {
        let units = (self.age / AGE_UNIT).min(u64::from(u16::MAX));
        u64::from(self.hash) << AGE_BITS | units
    }

    fn decode(encoded: u64) -> ReportedEngine {
        let units = encoded & u64::from(u16::MAX);
        ReportedEngine { hash: (encoded >> AGE_BITS) as EngineHash, age: units * AGE_UNIT }
    }
}

/// Numbers of engines. In JSON it is the pair `[answered, listed]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(usize, usize)")]
pub struct EngineCounts {
    /// Listed engines that have answered since the start.
    pub answered: usize,
    /// Listed engines.
    pub listed: usize,
}

impl From<EngineCounts> for (usize, usize) {
    fn from(counts: EngineCounts) -> (usize, usize) {
        (counts.answered, counts.listed)
    }
}

/// Which engines have answered any node since the start, and when each answered first.
///
/// An engine that no node has contacted yet counts as cold: the router core has a separate budget for each
/// cold engine. An engine that could not be reached counts as no capacity until it answers.
///
/// In a large fleet each node contacts only a few engines while they warm up. Nodes therefore report to each
/// other which engines have answered and how long ago. The delay of a report makes an engine appear younger
/// and never older.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    listed: BTreeSet<EngineHash>,
    /// When each engine answered first.
    first_answers: BTreeMap<EngineHash, Micros>,
    /// When this node last failed to reach each engine. Kept after the engine answers again, because a first
    /// answer from before the failure may be that of a process that has since been replaced.
    last_failures: BTreeMap<EngineHash, Micros>,
}

impl Capacity {
    /// Sets the listed engines that accept requests.
    pub fn set_listed<'a>(&mut self, engines: impl Iterator<Item = &'a EngineId>) {
        self.listed = engines.map(engine_hash).collect();
        let listed = &self.listed;
        self.last_failures.retain(|hash, _| listed.contains(hash));
    }

    /// Records that an engine has answered.
    pub fn engine_answered(&mut self, now: Micros, engine: &EngineId) {
        self.first_answers.entry(engine_hash(engine)).or_insert(now);
    }

    /// Records that an engine could not be reached, or is gone.
    pub fn engine_unreachable(&mut self, now: Micros, engine: &EngineId) {
        let hash = engine_hash(engine);
        self.first_answers.remove(&hash);
        self.last_failures.insert(hash, now);
    }

    /// The report for other nodes: engines that have answered, and how long ago. If not all of them fit, each
    /// second other ones are reported.
    pub(crate) fn report(&self, now: Micros) -> Vec<u64> {
        let count = self.first_answers.len();
        let first = match count {
            0..=MAX_REPORTED_ENGINES => 0,
            _ => (now / REPORT_ROTATION_INTERVAL) as usize * MAX_REPORTED_ENGINES % count,
        };
        let reported = self.first_answers.iter().cycle().skip(first).take(count.min(MAX_REPORTED_ENGINES));
        reported
            .map(|(hash, first_answer)| {
                ReportedEngine { hash: *hash, age: now.saturating_sub(*first_answer) }.encode()
            })
            .collect()
    }

    /// Applies the report of another node.
    pub(crate) fn apply_report(&mut self, now: Micros, report: &[u64]) {
        for encoded in report.iter().take(MAX_REPORTED_ENGINES) {
            let engine = ReportedEngine::decode(*encoded);
            let since = now.saturating_sub(engine.age);
            let is_stale = self.last_failures.get(&engine.hash).is_some_and(|failed_at| since <= *failed_at);
            if is_stale || !self.listed.contains(&engine.hash) {
                continue;
            }
            let first_answer = self.first_answers.entry(engine.hash).or_insert(since);
            *first_answer = since.min(*first_answer);
        }
    }

    /// How many engines have answered, and how many are listed.
    pub fn counts(&self) -> EngineCounts {
        let answered = self.listed.iter().filter(|hash| self.first_answers.contains_key(hash)).count();
        EngineCounts { answered, listed: self.listed.len() }
    }

    /// The fraction of the requests of a fully warm fleet that the listed engines can serve now. The warm-up
    /// of an engine is counted from its first answer, which is never earlier than its start.
    pub fn warm_fraction(&self, now: Micros, settings: &Settings) -> f64 {
        if self.listed.is_empty() {
            return 0.0;
        }
        let total: f64 = self.listed.iter().map(|hash| self.engine_fraction(now, hash, settings)).sum();
        (total / self.listed.len() as f64).min(1.0)
    }

    fn engine_fraction(&self, now: Micros, engine: &EngineHash, settings: &Settings) -> f64 {
        let cold_fraction = settings.slow_start_min_capacity;
        if let Some(first_answer) = self.first_answers.get(engine) {
            let warm_up =
                now.saturating_sub(*first_answer) as f64 / settings.slow_start_duration.max(1) as f64;
            return cold_fraction + (1.0 - cold_fraction) * warm_up.min(1.0);
        }
        if self.last_failures.contains_key(engine) {
            return 0.0;
        }
        cold_fraction
    }
}

#[cfg(test)]
mod tests;
