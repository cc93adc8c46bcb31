//! One zone in the leader's eyes: what is known of it, and its way out and back.

use serde::Serialize;

use crate::map::Settings;
use crate::Micros;

/// What is known of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ZoneHealth {
    /// It serves.
    Alive,
    /// It serves late, or fails a part.
    Grey,
    /// Most of what is sent there fails.
    Failing,
    /// Nobody is there, and what is sent there fails.
    Gone,
    /// Nobody there is heard, and nothing is known of its engines: that is no death.
    Unknown,
}

/// The steps of the way back, as parts of 255 of a zone's room: a trickle that shows how it fares, a
/// quarter, a half, all.
const STEPS: [u8; 5] = [0, 8, 64, 128, 255];

/// A zone's way out and back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Way {
    /// Place in [`STEPS`].
    step: usize,
    since: Micros,
    /// Since when it looks bad without a pause.
    bad_since: Option<Micros>,
    hold: Micros,
    /// How often it was given up or came a step back.
    pub(crate) moves: u64,
}

impl Way {
    pub(crate) fn new(now: Micros, settings: &Settings) -> Way {
        Way { step: STEPS.len() - 1, since: now, bad_since: None, hold: settings.base_hold_down, moves: 0 }
    }

    /// Goes on from what a leader before told of it.
    pub(crate) fn resume(now: Micros, open: u8, settings: &Settings) -> Way {
        let step = STEPS.iter().rposition(|s| *s <= open).unwrap_or(0);
        Way { step, ..Way::new(now, settings) }
    }

    pub(crate) fn open(&self) -> u8 {
        STEPS[self.step]
    }

    /// Looks at what is known, and takes a step if it is time.
    pub(crate) fn look(&mut self, now: Micros, known: ZoneHealth, late: bool, settings: &Settings) {
        let bad = matches!(known, ZoneHealth::Failing | ZoneHealth::Gone);
        self.bad_since = if bad { self.bad_since.or(Some(now)) } else { None };
        let whole = self.step == STEPS.len() - 1;
        let at = now.saturating_sub(self.since);
        // What fails on its way back is given up on the first sign, a whole one only when it lasts.
        let lasts = self.bad_since.is_some_and(|b| now.saturating_sub(b) >= settings.failure_grace);
        if self.step > 0 && bad && (lasts || !whole) {
            self.hold = if whole { self.hold } else { (2 * self.hold).min(settings.max_hold_down) };
            return self.go(now, 0);
        }
        // A death that is undone is a matter of the hold time; what is unknown stays as it is.
        let waits = if self.step == 0 { self.hold } else { settings.ramp_step };
        // Guards against steps that go faster than engines get warm: while what is let in is late, or
        // refused there, nothing more is.
        let ready = self.step == 0 || !(bad || late);
        if !whole && at >= waits && ready && known != ZoneHealth::Unknown {
            return self.go(now, self.step + 1);
        }
        if whole && at >= 4 * settings.max_hold_down {
            self.hold = settings.base_hold_down;
        }
    }

    /// People give it up: it stays out until they take that back.
    pub(crate) fn put_out(&mut self, now: Micros) {
        if self.step > 0 {
            self.go(now, 0);
        }
        self.since = now;
    }

    fn go(&mut self, now: Micros, step: usize) {
        (self.step, self.since) = (step, now);
        self.moves += 1;
    }
}
