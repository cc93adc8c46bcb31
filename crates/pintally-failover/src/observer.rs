//! One node's counts of its clients' requests, and of the outcomes of its attempts by zone.

use serde::{Deserialize, Serialize};

use crate::plan::FULL_PARTS;
use crate::settings::MAX_ZONES;
use crate::Micros;

/// Half-life of the decaying counts, in microseconds.
const HALF_LIFE_MICROS: f64 = 1.5e6;

/// A zone with fewer recent attempts than this is reported with no attempts.
const MIN_REPORTED_ATTEMPTS: f64 = 0.5;

/// The maximum reported number of attempts, which is sent in 16 bits.
const MAX_REPORTED_ATTEMPTS: f64 = 65_000.0;

/// The report of one node, in the form in which it is gossiped.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Requests per second that clients send to the node.
    pub offered: f32,
    /// By the zone of the engines: the number of recent attempts, and the fractions of them that failed and that were
    /// late, in parts of 255.
    pub zones: Vec<(u16, u8, u8)>,
}

impl ZoneReport {
    /// Encodes the report.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a report; `None` if the bytes are malformed, if there are too many zones, or if the rate is negative or
    /// not finite.
    pub fn decode(bytes: &[u8]) -> Option<ZoneReport> {
        let report: ZoneReport = postcard::from_bytes(bytes).ok()?;
        let valid = report.offered.is_finite() && report.offered >= 0.0 && report.zones.len() <= MAX_ZONES;
        valid.then_some(report)
    }
}

/// Decaying counts of the attempts at one zone.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptCounts {
    ended: f64,
    failed: f64,
    late: f64,
}

impl AttemptCounts {
    fn scale(&mut self, factor: f64) {
        self.ended *= factor;
        self.failed *= factor;
        self.late *= factor;
    }

    /// The number of attempts and the fractions that failed and were late, as reported.
    fn report(&self) -> (u16, u8, u8) {
        if self.ended < MIN_REPORTED_ATTEMPTS {
            return (0, 0, 0);
        }
        let parts =
            |count: f64| (f64::from(FULL_PARTS) * (count / self.ended.max(1e-9)).clamp(0.0, 1.0)) as u8;
        (self.ended.min(MAX_REPORTED_ATTEMPTS) as u16, parts(self.failed), parts(self.late))
    }
}

/// Counts the requests of this node's clients and the outcomes of its attempts by zone.
#[derive(Clone, Debug)]
pub struct ZoneObserver {
    zones: Vec<AttemptCounts>,
    offered: f64,
    /// When the counts last decayed.
    updated: Micros,
}

impl ZoneObserver {
    /// An observer of `zones` zones without any counts.
    pub fn new(zones: usize) -> ZoneObserver {
        ZoneObserver { zones: vec![AttemptCounts::default(); zones], offered: 0.0, updated: 0 }
    }

    fn decay(&mut self, now: Micros) {
        let factor = 0.5f64.powf(now.saturating_sub(self.updated) as f64 / HALF_LIFE_MICROS);
        self.updated = self.updated.max(now);
        self.offered *= factor;
        self.zones.iter_mut().for_each(|zone| zone.scale(factor));
    }

    /// Records a request of a client.
    pub fn record_request(&mut self, now: Micros) {
        self.decay(now);
        self.offered += 1.0;
    }

    /// Records the end of an attempt at an engine of a zone.
    pub fn record_attempt(&mut self, now: Micros, zone: usize, failed: bool) {
        self.decay(now);
        if let Some(counts) = self.zones.get_mut(zone) {
            counts.ended += 1.0;
            counts.failed += f64::from(u8::from(failed));
        }
    }

    /// Records a request in a zone whose response began too late, or never did.
    pub fn record_late(&mut self, now: Micros, zone: usize) {
        self.decay(now);
        if let Some(counts) = self.zones.get_mut(zone) {
            counts.late += 1.0;
        }
    }

    /// This node's report.
    pub fn report(&mut self, now: Micros) -> ZoneReport {
        self.decay(now);
        ZoneReport {
            // A steady rate accumulates to the rate times the half-life over ln 2.
            offered: (self.offered * std::f64::consts::LN_2 / (HALF_LIFE_MICROS / 1e6)) as f32,
            zones: self.zones.iter().map(AttemptCounts::report).collect(),
        }
    }
}
