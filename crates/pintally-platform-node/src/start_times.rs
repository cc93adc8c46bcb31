//! Start times of engines in the node's own time, whatever its machine's wall clock says.
//!
//! Discovery sends start times in the time that all machines share; the node knows that time only by its own wall
//! clock, which may be wrong by seconds or an hour. Two facts show that:
//!
//! - no engine starts later than it is listed: a start in the future shows a clock that is behind;
//! - while the list is followed, an engine that is listed for the first time has started since the message before,
//!   with some delay of the list's: an older start shows a clock that is ahead.
//!
//! Either sets a correction for the start times that are received from then on. A start that shows a wrong clock
//! counts as just now, so that an engine that is warming up is never taken for a warm one by that. What started before
//! the first list of this process cannot be distinguished from older ones by a clock that is ahead.

use std::collections::HashMap;

use pintally::interface::{EngineId, Micros};
use pintally_host::EngineEndpoint;

/// Maximum delay with which a list has a start.
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
    /// How often the correction was changed.
    pub(crate) corrections: u64,
}

impl StartTimes {
    /// Replaces the start times of a list by the node's own time. `last_message` is when discovery was last heard in
    /// this process, before this list.
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

    /// Forgets engines that are not listed any more.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&EngineId) -> bool) {
        self.by_engine.retain(|engine, _| is_listed(engine));
    }

    /// A start time that was not received before, in the node's time.
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

    /// Sets the correction so that the received time is now.
    fn set_correction(&mut self, now: Micros, received: Micros) {
        self.correction = now as i64 - received as i64;
        self.corrections += 1;
    }
}

#[cfg(test)]
mod tests;
