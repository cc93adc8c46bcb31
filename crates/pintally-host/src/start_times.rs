//! Start times of engines, corrected for an error of the machine's wall clock.
//!
//! Discovery sends start times in the time that all machines share; the node knows that time only from its
//! own wall clock, which may be wrong by seconds or hours. An engine that is warming up must not be taken for
//! a warm one because the clock is ahead. The newest start time of a list shows more than the clock does:
//!
//! - No engine starts after it is listed: a start in the future shows that the clock is behind.
//! - A start that is hardly in the past shows that the clock is not ahead by more than that: it is confirmed.
//! - An engine that was not in the list before may just have started. While the clock is not confirmed, the
//!   newest of them gets the age that would have confirmed it, and the clock is corrected by that.
//! - An engine that is listed while the node watches the list has started since the previous message, give or
//!   take the delay of the list. An older start shows that the clock is wrong, or that machines disagree about
//!   the time: the engine counts as started now.
//!
//! A corrected clock is ahead by a part of the warm-up time at most, and behind by the age of that newest
//! engine at most. The first list of a process has none before it; there the clock is used as it is, until a
//! later list shows that it is ahead.

use std::collections::HashMap;

use pintally::interface::{EngineId, Micros};

use crate::input::EngineEndpoint;

/// Maximum delay between the start of an engine and the list that contains it.
const MAX_LIST_DELAY: Micros = 15_000_000;
/// A confirmed clock is ahead by at most the warm-up time divided by this.
const CONFIRMED_ERROR_DIVISOR: Micros = 6;

/// A start time as it was received, and in the node's time.
#[derive(Clone, Copy)]
struct StartTime {
    received: Micros,
    local: Micros,
    /// The correction with which it was converted.
    correction: i64,
}

/// The start times of the listed engines, and the correction of the wall clock.
pub struct StartTimes {
    by_engine: HashMap<EngineId, StartTime>,
    /// Added to received times, in microseconds.
    correction: i64,
    /// The corrected clock is not ahead of the true time by more than `max_confirmed_error`.
    is_confirmed: bool,
    max_confirmed_error: Micros,
    /// A list was received, so that later ones show which engines are new.
    has_list: bool,
    corrections: u64,
}

impl StartTimes {
    /// No start times yet; engines warm up for `slow_start_duration`.
    pub fn new(slow_start_duration: Micros) -> StartTimes {
        StartTimes {
            by_engine: HashMap::new(),
            correction: 0,
            is_confirmed: false,
            max_confirmed_error: slow_start_duration / CONFIRMED_ERROR_DIVISOR,
            has_list: false,
            corrections: 0,
        }
    }

    /// Converts the start times in a list to the node's time. `last_message` is the time of the message from
    /// discovery before this list, if this process has received one.
    pub fn adjust(&mut self, now: Micros, last_message: Option<Micros>, list: &mut [EngineEndpoint]) {
        let newest = list.iter().filter(|listed| self.has_new_start(listed));
        if let Some(newest) = newest.filter_map(|listed| listed.endpoint.started).max() {
            self.check_clock(now, last_message, newest);
        }
        for listed in list.iter_mut() {
            let Some(received) = listed.endpoint.started else { continue };
            let local = match self.by_engine.get(&listed.endpoint.engine) {
                Some(start) if start.received == received && start.correction >= self.correction => {
                    start.local
                }
                _ => self.corrected(received).min(now),
            };
            let start = StartTime { received, local, correction: self.correction };
            self.by_engine.insert(listed.endpoint.engine.clone(), start);
            listed.endpoint.started = Some(local);
        }
        self.has_list |= !list.is_empty();
    }

    /// Removes engines that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&EngineId) -> bool) {
        self.by_engine.retain(|engine, _| is_listed(engine));
    }

    /// How far the clock is estimated to be ahead, in microseconds; negative if it is behind.
    pub fn clock_error(&self) -> i64 {
        self.correction
    }

    /// Number of times that the correction was changed.
    pub fn corrections(&self) -> u64 {
        self.corrections
    }

    /// Whether the engine's start time was not received before.
    fn has_new_start(&self, listed: &EngineEndpoint) -> bool {
        let before = self.by_engine.get(&listed.endpoint.engine).map(|start| start.received);
        before != listed.endpoint.started
    }

    /// Compares the clock with the newest start time that was not received before.
    fn check_clock(&mut self, now: Micros, last_message: Option<Micros>, newest: Micros) {
        let started = self.corrected(newest);
        if started > now || is_before_watch(last_message, started) {
            self.set_correction(now, newest);
        } else if now - started <= self.max_confirmed_error {
            self.is_confirmed = true;
        } else if self.has_list && !self.is_confirmed {
            self.set_correction(now - self.max_confirmed_error, newest);
        }
    }

    fn corrected(&self, received: Micros) -> Micros {
        received.saturating_add_signed(self.correction)
    }

    /// Sets the correction so that the received time corresponds to this time, which is not long before the current
    /// one: the corrected clock is not ahead by more than that, because the engine has started by now.
    fn set_correction(&mut self, local: Micros, received: Micros) {
        self.correction = local as i64 - received as i64;
        self.is_confirmed = true;
        self.corrections += 1;
    }
}

/// Whether an engine that a watch lists for the first time has started too long before the message before.
fn is_before_watch(last_message: Option<Micros>, started: Micros) -> bool {
    last_message.is_some_and(|before| started < before.saturating_sub(MAX_LIST_DELAY))
}

#[cfg(test)]
mod tests;
