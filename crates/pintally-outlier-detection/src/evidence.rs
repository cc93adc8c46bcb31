//! What one node says of one engine, as it is weighed here.

use serde::Serialize;

use crate::observer::Fault;
use crate::report::Observation;
use crate::settings::Settings;
use crate::Micros;

/// How far a failure reaches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum FaultScope {
    /// Some nodes' own links: others are well with it.
    Link,
    /// The nodes of this zone.
    Zone(String),
    /// Everyone.
    Everyone,
}

/// What one node says of one engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Word {
    pub(crate) bad: u8,
    pub(crate) bad_at: Micros,
    pub(crate) good: u8,
    pub(crate) good_at: Micros,
    pub(crate) fault: u8,
}

impl Word {
    /// As it was told at a time, by this node's clock. What was never seen is told as the greatest age.
    pub(crate) fn told(now: Micros, seen: &Observation) -> Word {
        let at = |age: u16| if age == u16::MAX { 0 } else { now.saturating_sub(u64::from(age) * 10_000) };
        let (bad_at, good_at) = (at(seen.bad_age), at(seen.good_age));
        Word { bad: seen.bad, bad_at, good: seen.good, good_at, fault: seen.fault }
    }

    pub(crate) fn accuses(&self, now: Micros, settings: &Settings) -> bool {
        // Lateness has many reasons: it takes twice as many.
        let late = Fault::of(self.fault) == Some(Fault::Late);
        let strikes = if late { 2 * settings.consecutive_failures } else { settings.consecutive_failures };
        u32::from(self.bad) >= strikes
            && self.bad_at > self.good_at
            && now.saturating_sub(self.bad_at) <= settings.evidence_retention
    }

    pub(crate) fn clears(&self, now: Micros, settings: &Settings) -> bool {
        self.good > 0
            && self.good_at > self.bad_at
            && now.saturating_sub(self.good_at) <= settings.evidence_retention
    }
}
