//! The leader's decisions on evacuation and recovery of one zone.

use crate::plan::FULL_PARTS;
use crate::settings::Settings;
use crate::zone_health::{ObservedZone, ZoneHealth};
use crate::Micros;

/// The steps of the recovery ramp, in parts of 255 of the zone's capacity: evacuated, a small fraction that shows
/// whether the zone serves, a quarter, a half, all.
const RAMP_PARTS: [u8; 5] = [0, 8, 64, 128, FULL_PARTS];
const EVACUATED: usize = 0;
const FULLY_OPEN: usize = RAMP_PARTS.len() - 1;

/// The hold-down is reset after the zone has been fully open for this multiple of the longest hold-down.
const HOLD_DOWN_RESET_FACTOR: u64 = 4;

/// The recovery ramp of one zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneRecovery {
    /// Index into [`RAMP_PARTS`].
    step: usize,
    /// When the current step began.
    since: Micros,
    /// Since when the zone has been failing without interruption.
    failing_since: Option<Micros>,
    /// Time from an evacuation to the first step of the recovery.
    hold_down: Micros,
    /// How often the step has changed.
    pub(crate) transitions: u64,
}

impl ZoneRecovery {
    /// A zone that is fully open.
    pub(crate) fn new(now: Micros, settings: &Settings) -> ZoneRecovery {
        ZoneRecovery {
            step: FULLY_OPEN,
            since: now,
            failing_since: None,
            hold_down: settings.base_hold_down,
            transitions: 0,
        }
    }

    /// Continues at the step given by the open parts in the plan of a former leader.
    pub(crate) fn resume(now: Micros, open_parts: u8, settings: &Settings) -> ZoneRecovery {
        let step = RAMP_PARTS.iter().rposition(|parts| *parts <= open_parts).unwrap_or(EVACUATED);
        ZoneRecovery { step, ..ZoneRecovery::new(now, settings) }
    }

    /// The fraction of the zone's capacity that is in use, in parts of 255.
    pub(crate) fn open_parts(&self) -> u8 {
        RAMP_PARTS[self.step]
    }

    /// Whether the whole capacity is in use.
    pub(crate) fn is_fully_open(&self) -> bool {
        self.step == FULLY_OPEN
    }

    /// The fraction of the zone's capacity that is in use.
    pub(crate) fn open_fraction(&self) -> f64 {
        f64::from(self.open_parts()) / f64::from(FULL_PARTS)
    }

    /// Evacuates the zone, or takes the next step of its recovery, if that is due.
    pub(crate) fn advance(&mut self, now: Micros, zone: &ObservedZone, settings: &Settings) {
        let failing = matches!(zone.health, ZoneHealth::Failing | ZoneHealth::Lost);
        self.failing_since = if failing { self.failing_since.or(Some(now)) } else { None };
        if failing && self.step != EVACUATED && self.must_evacuate(now, settings) {
            if !self.is_fully_open() {
                self.hold_down = (2 * self.hold_down).min(settings.max_hold_down);
            }
            return self.enter(now, EVACUATED);
        }
        let elapsed = now.saturating_sub(self.since);
        if self.is_fully_open() {
            if elapsed >= HOLD_DOWN_RESET_FACTOR * settings.max_hold_down {
                self.hold_down = settings.base_hold_down;
            }
            return;
        }
        // An evacuated zone waits for the hold-down only. The later steps also wait while the zone is failing or its
        // requests are late, so that the zone is not opened faster than its engines warm up.
        let (duration, ready) = if self.step == EVACUATED {
            (self.hold_down, true)
        } else {
            (settings.ramp_step, !failing && !zone.is_late())
        };
        // A zone of unknown health stays at its step.
        if elapsed >= duration && ready && zone.health != ZoneHealth::Unknown {
            self.enter(now, self.step + 1);
        }
    }

    /// Whether a failing zone is evacuated now: a recovering one at once, one that is fully open only after it has been
    /// failing for `failure_grace`.
    fn must_evacuate(&self, now: Micros, settings: &Settings) -> bool {
        let grace_elapsed =
            self.failing_since.is_some_and(|since| now.saturating_sub(since) >= settings.failure_grace);
        grace_elapsed || !self.is_fully_open()
    }

    /// Evacuates the zone by an operator's order. The hold-down begins when the order is withdrawn.
    pub(crate) fn evacuate(&mut self, now: Micros) {
        if self.step != EVACUATED {
            self.enter(now, EVACUATED);
        }
        self.since = now;
    }

    fn enter(&mut self, now: Micros, step: usize) {
        self.step = step;
        self.since = now;
        self.transitions += 1;
    }
}
