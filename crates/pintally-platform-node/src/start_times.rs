//! Start times of engines, corrected for an error of the machine's wall clock.
//!
//! Discovery sends start times in the time that all machines share; the node knows that time only from its
//! own wall clock, which may be wrong by seconds or an hour. Two observations reveal an error:
//!
//! - no engine starts after it is listed: a start in the future shows that the clock is behind;
//! - an engine that is listed for the first time while the node watches the list has started since the
//!   previous message, give or take the delay of the list: an older start shows that the clock is ahead.
//!
//! Either one sets a correction for the start times that are received from then on. A start time that reveals
//! an error is replaced by the current time, so that an engine that is warming up is never taken for a warm
//! one because of the clock. If the clock is ahead, engines that started shortly before the first list of
//! this process cannot be distinguished from older ones.

use std::collections::HashMap;

use pintally::interface::{EngineId, Micros};
use pintally_host::EngineEndpoint;

/// Maximum delay between the start of an engine and the list that contains it.
const MAX_LIST_DELAY: Micros = 15_000_000;

/// A start time as it was received, and in the node's time.
#[derive(Clone, Copy)]
struct StartTime {
    received: Micros,
    local: Micros,
}

/// The start times of the listed engines, and the correction of the wall clock.
#[derive(Default)]
pub(crate) struct StartTimes {
    by_engine: HashMap<EngineId, StartTime>,
    /// Added to received times, in microseconds.
    correction: i64,
    /// Number of times that the correction was changed.
    pub(crate) corrections: u64,
}

impl StartTimes {
    /// Converts the start times in a list to the node's time. `last_message` is the time of the message from
    /// discovery before this list, if this process has received one.
    pub(crate) fn adjust(&mut self, now: Micros, last_message: Option<Micros>, list: &mut [EngineEndpoint]) {
        let newest = list.iter().filter_map(|listed| listed.endpoint.started).max();
        if let Some(newest) = newest.filter(|newest| self.corrected(*newest) > now) {
            self.set_correction(now, newest);
        }
        for listed in list {
            let Some(received) = listed.endpoint.started else { continue };
            let local = match self.by_engine.get(&listed.endpoint.engine) {
                Some(start) if start.received == received => start.local,
                _ => self.local_time(now, last_message, received),
            };
            self.by_engine.insert(listed.endpoint.engine.clone(), StartTime { received, local });
            listed.endpoint.started = Some(local);
        }
    }

    /// Removes engines that are no longer listed.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&EngineId) -> bool) {
        self.by_engine.retain(|engine, _| is_listed(engine));
    }

    /// Converts a start time that was not received before to the node's time.
    fn local_time(&mut self, now: Micros, last_message: Option<Micros>, received: Micros) -> Micros {
        let local = self.corrected(received).min(now);
        let earliest = last_message.map_or(0, |before| before.saturating_sub(MAX_LIST_DELAY));
        if local >= earliest {
            return local;
        }
        self.set_correction(now, received);
        now
    }

    fn corrected(&self, received: Micros) -> Micros {
        received.saturating_add_signed(self.correction)
    }

    /// Sets the correction so that the received time corresponds to the current time.
    fn set_correction(&mut self, now: Micros, received: Micros) {
        self.correction = now as i64 - received as i64;
        self.corrections += 1;
    }
}

#[cfg(test)]
mod tests;
