//! What one node sees: what it is asked for, and how each zone's engines fare for it.

use serde::{Deserialize, Serialize};

use crate::map::MAX_ZONES;
use crate::Micros;

/// What was seen fades with this half-life.
const HALF_LIFE: f64 = 1.5e6;

/// One node's word, as it is spread.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Requests a second that clients bring to it.
    pub offered: f32,
    /// By zone of engines: requests that ended there lately, the part that failed and the part that was
    /// late, of 255.
    pub zones: Vec<(u16, u8, u8)>,
}

impl ZoneReport {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a word; nothing if it is none.
    pub fn decode(bytes: &[u8]) -> Option<ZoneReport> {
        let word: ZoneReport = postcard::from_bytes(bytes).ok()?;
        (word.offered.is_finite() && word.offered >= 0.0 && word.zones.len() <= MAX_ZONES).then_some(word)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    ended: f64,
    failed: f64,
    late: f64,
}

/// What this node sees.
#[derive(Clone, Debug)]
pub struct ZoneObserver {
    zones: Vec<Count>,
    offered: f64,
    at: Micros,
}

impl ZoneObserver {
    /// One that has seen nothing of so many zones.
    pub fn new(zones: usize) -> ZoneObserver {
        ZoneObserver { zones: vec![Count::default(); zones], offered: 0.0, at: 0 }
    }

    fn fade(&mut self, now: Micros) {
        let part = 0.5f64.powf(now.saturating_sub(self.at) as f64 / HALF_LIFE);
        self.at = self.at.max(now);
        self.offered *= part;
        for count in &mut self.zones {
            count.ended *= part;
            count.failed *= part;
            count.late *= part;
        }
    }

    /// A client has asked.
    pub fn offered(&mut self, now: Micros) {
        self.fade(now);
        self.offered += 1.0;
    }

    /// An attempt at a zone's engine has ended.
    pub fn ended(&mut self, now: Micros, zone: usize, failed: bool) {
        self.fade(now);
        if let Some(count) = self.zones.get_mut(zone) {
            count.ended += 1.0;
            count.failed += f64::from(u8::from(failed));
        }
    }

    /// A request at a zone began to be answered too late, or never was.
    pub fn late(&mut self, now: Micros, zone: usize) {
        self.fade(now);
        if let Some(count) = self.zones.get_mut(zone) {
            count.late += 1.0;
        }
    }

    /// What it says.
    pub fn report(&mut self, now: Micros) -> ZoneReport {
        self.fade(now);
        let part = |x: f64, of: f64| (255.0 * (x / of.max(1e-9)).clamp(0.0, 1.0)) as u8;
        let zone = |c: &Count| match c.ended >= 0.5 {
            true => (c.ended.min(65_000.0) as u16, part(c.failed, c.ended), part(c.late, c.ended)),
            false => (0, 0, 0),
        };
        ZoneReport {
            offered: (self.offered * std::f64::consts::LN_2 / (HALF_LIFE / 1e6)) as f32,
            zones: self.zones.iter().map(zone).collect(),
        }
    }
}
