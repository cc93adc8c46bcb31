//! Outcomes of this node's own attempts, counted by engine.

use std::collections::{BTreeMap, BTreeSet};

use crate::report::{Observation, OutlierReport, AGE_UNIT_MICROS, MAX_OBSERVATIONS, MAX_REPORTED_ZONES};
use crate::settings::Settings;
use crate::{EngineIncarnation, Micros};

/// How an attempt at an engine failed. The numbers are sent in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be established.
    Unreachable = 1,
    /// The connection broke during the attempt.
    ConnectionBroken = 2,
    /// The engine did not answer in time.
    TimedOut = 3,
    /// The engine answered with an error, or with a malformed response.
    ErrorResponse = 4,
}

impl Fault {
    /// The fault of a number in a report; `None` if the number is unknown.
    pub(crate) fn from_number(number: u8) -> Option<Fault> {
        [Fault::Unreachable, Fault::ConnectionBroken, Fault::TimedOut, Fault::ErrorResponse]
            .into_iter()
            .find(|fault| *fault as u8 == number)
    }

    /// The description in the status document.
    pub fn description(self) -> &'static str {
        match self {
            Fault::Unreachable => "cannot be reached",
            Fault::ConnectionBroken => "breaks off",
            Fault::TimedOut => "does not answer in time",
            Fault::ErrorResponse => "answers wrongly",
        }
    }
}

/// Outcomes of this node's attempts at one engine.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptCounts {
    zone: u32,
    failures: u8,
    successes: u8,
    last_failure: Micros,
    last_success: Micros,
    /// The number of the last fault; 0 if there was none.
    fault: u8,
}

impl AttemptCounts {
    fn record_failure(&mut self, now: Micros, fault: Fault) {
        // Failures are consecutive if no success occurred between them.
        if self.last_success > self.last_failure {
            self.failures = 0;
        }
        self.failures = self.failures.saturating_add(1);
        self.last_failure = now;
        self.fault = fault as u8;
    }

    fn record_success(&mut self, now: Micros) {
        if self.last_failure > self.last_success {
            self.successes = 0;
        }
        self.successes = self.successes.saturating_add(1);
        self.last_success = now;
    }

    fn last_attempt(&self) -> Micros {
        self.last_failure.max(self.last_success)
    }

    /// Whether the last attempt failed, within the evidence retention.
    fn is_failing(&self, now: Micros, retention: Micros) -> bool {
        self.last_failure > self.last_success && now.saturating_sub(self.last_failure) <= retention
    }

    fn observation(&self, now: Micros, engine: EngineIncarnation) -> Observation {
        let age = |at: Micros| (now.saturating_sub(at) / AGE_UNIT_MICROS).min(u64::from(u16::MAX)) as u16;
        Observation {
            engine,
            failures: self.failures,
            successes: self.successes,
            failure_age: age(self.last_failure),
            success_age: age(self.last_success),
            fault: self.fault,
        }
    }
}

/// Counts the outcomes of this node's own attempts and reports them to the other nodes.
#[derive(Clone, Debug)]
pub struct Observer {
    settings: Settings,
    counts: BTreeMap<EngineIncarnation, AttemptCounts>,
}

impl Observer {
    /// Creates an observer without any recorded attempt.
    pub fn new(settings: Settings) -> Observer {
        Observer { settings, counts: BTreeMap::new() }
    }

    /// Records the end of an attempt: a success, or a fault. `zone` is the number of the engine's zone.
    pub fn record(&mut self, now: Micros, engine: EngineIncarnation, zone: u32, fault: Option<Fault>) {
        let counts = self.counts.entry(engine).or_default();
        counts.zone = zone;
        match fault {
            Some(fault) => counts.record_failure(now, fault),
            None => counts.record_success(now),
        }
    }

    /// Forgets the recorded attempts at an engine.
    pub fn clear(&mut self, engine: EngineIncarnation) {
        self.counts.remove(&engine);
    }

    /// This node's report: its observations of the engines that fail for it and of `reported_by_others`.
    pub fn report(&mut self, now: Micros, reported_by_others: &BTreeSet<EngineIncarnation>) -> OutlierReport {
        let retention = self.settings.evidence_retention;
        self.counts.retain(|_, counts| now.saturating_sub(counts.last_attempt()) <= retention);
        let mut observations: Vec<Observation> = self
            .counts
            .iter()
            .filter(|(engine, counts)| {
                counts.is_failing(now, retention) || reported_by_others.contains(engine)
            })
            .map(|(engine, counts)| counts.observation(now, *engine))
            .collect();
        // The observations with the most recent attempt are kept if there are too many.
        observations.sort_by_key(|observation| {
            (observation.failure_age.min(observation.success_age), observation.engine)
        });
        observations.truncate(MAX_OBSERVATIONS);
        OutlierReport { observations, zones: self.zone_usage(now) }
    }

    /// The number of used engines and of failing ones, by zone.
    fn zone_usage(&self, now: Micros) -> Vec<(u32, u8, u8)> {
        let mut zones: BTreeMap<u32, (u8, u8)> = BTreeMap::new();
        for counts in self.counts.values() {
            let (used, failing) = zones.entry(counts.zone).or_default();
            let is_failing = counts.is_failing(now, self.settings.evidence_retention);
            *used = used.saturating_add(1);
            *failing = failing.saturating_add(u8::from(is_failing));
        }
        zones
            .into_iter()
            .take(MAX_REPORTED_ZONES)
            .map(|(zone, (used, failing))| (zone, used, failing))
            .collect()
    }
}
