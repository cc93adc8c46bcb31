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
/// Nodes that see a majority of the fleet divide everything among those that they see; others take the share
/// that they would have if all nodes were alive. In any partition at most one side sees a majority, so the
/// shares of all nodes add up to at most `1 + (expected - majority) / expected`, under one and a half;
/// without a partition, to one.
pub fn admission_share(fleet: FleetSize) -> f64 {
    let expected = fleet.expected.max(1);
    let alive = fleet.alive.clamp(1, expected);
    let has_majority = alive * 2 > expected;
    let sharers = if has_majority { alive } else { expected };
    1.0 / sharers as f64
}

/// Identifies an engine in reports between nodes. Two engines with one hash count as one and are reported as
/// one.
type EngineHash = u32;

fn engine_hash(engine: &EngineId) -> EngineHash {
    xxh3_64(engine.0.as_bytes()) as EngineHash
}

/// Engines in one report: so many fit into a direct message between peers.
const MAX_REPORTED_ENGINES: usize = 56;
/// Ages are reported in units of this many microseconds, up to the largest that fits.
const AGE_UNIT: Micros = 10_000;
/// Bits of the age in a reported engine; the hash is above it.
const AGE_BITS: u32 = 16;
/// Where not all engines fit into a report, others are reported after this time.
const REPORT_ROTATION_INTERVAL: Micros = 1_000_000;

/// An engine that has answered, and its age since then. It is one number on the wire.
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

/// Numbers of engines. In JSON it is a pair.
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

/// Which engines have answered any node since the start, and since when.
///
/// An engine that nobody has tried yet counts as cold: the core has a budget of its own for each cold engine.
/// One that could not be reached counts for nothing until it answers.
///
/// A node of a large fleet meets few engines while they warm up. So nodes report to each other which have
/// answered and how long ago; the delay of a report makes an engine younger and never older.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    listed: BTreeSet<EngineHash>,
    /// When engines have answered first.
    answered: BTreeMap<EngineHash, Micros>,
    /// When this node last failed to reach engines. Remembered when they answer again: a report from before
    /// that time says nothing of the process that runs now.
    lost: BTreeMap<EngineHash, Micros>,
}

impl Capacity {
    /// Sets the listed engines that take work.
    pub fn set_listed<'a>(&mut self, engines: impl Iterator<Item = &'a EngineId>) {
        self.listed = engines.map(engine_hash).collect();
        let listed = &self.listed;
        self.lost.retain(|hash, _| listed.contains(hash));
    }

    /// An engine has answered.
    pub fn engine_answered(&mut self, now: Micros, engine: &EngineId) {
        self.answered.entry(engine_hash(engine)).or_insert(now);
    }

    /// An engine could not be reached, or is gone.
    pub fn engine_lost(&mut self, now: Micros, engine: &EngineId) {
        let hash = engine_hash(engine);
        self.answered.remove(&hash);
        self.lost.insert(hash, now);
    }

    /// The report for other nodes: engines that have answered and how long ago, other ones each second where
    /// not all fit.
    pub(crate) fn report(&self, now: Micros) -> Vec<u64> {
        let count = self.answered.len();
        let first = match count {
            0..=MAX_REPORTED_ENGINES => 0,
            _ => (now / REPORT_ROTATION_INTERVAL) as usize * MAX_REPORTED_ENGINES % count,
        };
        let reported = self.answered.iter().cycle().skip(first).take(count.min(MAX_REPORTED_ENGINES));
        reported
            .map(|(hash, since)| ReportedEngine { hash: *hash, age: now.saturating_sub(*since) }.encode())
            .collect()
    }

    /// Applies the report of another node.
    pub(crate) fn apply_report(&mut self, now: Micros, report: &[u64]) {
        for encoded in report.iter().take(MAX_REPORTED_ENGINES) {
            let engine = ReportedEngine::decode(*encoded);
            let since = now.saturating_sub(engine.age);
            let is_stale = self.lost.get(&engine.hash).is_some_and(|lost| since <= *lost);
            if is_stale || !self.listed.contains(&engine.hash) {
                continue;
            }
            let known = self.answered.entry(engine.hash).or_insert(since);
            *known = since.min(*known);
        }
    }

    /// How many engines have answered, and how many are listed.
    pub fn counts(&self) -> EngineCounts {
        let answered = self.listed.iter().filter(|hash| self.answered.contains_key(hash)).count();
        EngineCounts { answered, listed: self.listed.len() }
    }

    /// The fraction of the warm fleet's work that its engines can do now. An engine warms up from when it has
    /// answered first, which is never earlier than its start.
    pub fn warm_fraction(&self, now: Micros, settings: &Settings) -> f64 {
        if self.listed.is_empty() {
            return 0.0;
        }
        let sum: f64 = self.listed.iter().map(|hash| self.engine_fraction(now, hash, settings)).sum();
        (sum / self.listed.len() as f64).min(1.0)
    }

    fn engine_fraction(&self, now: Micros, engine: &EngineHash, settings: &Settings) -> f64 {
        let cold = settings.slow_start_min_capacity;
        if let Some(since) = self.answered.get(engine) {
            let age = now.saturating_sub(*since) as f64 / settings.slow_start_duration.max(1) as f64;
            return cold + (1.0 - cold) * age.min(1.0);
        }
        if self.lost.contains_key(engine) {
            return 0.0;
        }
        cold
    }
}

#[cfg(test)]
mod tests;
