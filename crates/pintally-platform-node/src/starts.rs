//! When engines started, in the node's own time, whatever its machine's wall clock says.
//!
//! Discovery tells starts in the time that all machines share; the node knows that time only by its own wall
//! clock, which may be wrong by seconds or an hour. What it knows besides:
//!
//! - no engine starts later than it is told: a start in the future shows a clock that is behind;
//! - while the list is followed, an engine that is told anew has started since the word before, with some delay
//!   of the list's: an older start shows a clock that is ahead.
//!
//! Either sets a correction, by which starts told from then on are aged. A start that shows a wrong clock counts as just
//! now, so that a cold engine is never taken for a warm one by that. What started before the first list of this process
//! cannot be told apart from older ones by a clock that is ahead.

use std::collections::HashMap;

use pintally::interface::{EngineId, Micros};
use pintally_host::EngineEndpoint;

/// Lists tell of a start with so much delay at the most.
const LIST_DELAY_MAX: Micros = 15_000_000;

/// A start as it was told, and when it was in the node's time.
#[derive(Clone, Copy)]
struct Start {
    told: Micros,
    own: Micros,
}

/// The starts that are known, and how far the wall clock is off.
#[derive(Default)]
pub(crate) struct Starts {
    known: HashMap<EngineId, Start>,
    /// What is added to a time that is told, in microseconds.
    correction: i64,
    /// How often that was changed.
    pub(crate) corrections: u64,
}

impl Starts {
    /// Puts the starts of a list into the node's own time. `word_before` is when discovery was last heard in this
    /// process, before this list.
    pub(crate) fn take(&mut self, now: Micros, word_before: Option<Micros>, list: &mut [EngineEndpoint]) {
        let newest = list.iter().filter_map(|one| one.endpoint.started).max();
        if let Some(newest) = newest.filter(|newest| self.corrected(*newest) > now) {
            self.set_correction(now, newest);
        }
        for one in list {
            let Some(told) = one.endpoint.started else { continue };
            let own = match self.known.get(&one.endpoint.engine) {
                Some(start) if start.told == told => start.own,
                _ => self.age(now, word_before, told),
            };
            self.known.insert(one.endpoint.engine.clone(), Start { told, own });
            one.endpoint.started = Some(own);
        }
    }

    /// Forgets engines that are not known any more.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&EngineId) -> bool) {
        self.known.retain(|engine, _| is_known(engine));
    }

    /// A start that was not told before, in the node's time.
    fn age(&mut self, now: Micros, word_before: Option<Micros>, told: Micros) -> Micros {
        let own = self.corrected(told).min(now);
        let earliest = word_before.map_or(0, |before| before.saturating_sub(LIST_DELAY_MAX));
        if own >= earliest {
            return own;
        }
        self.set_correction(now, told);
        now
    }

    fn corrected(&self, told: Micros) -> Micros {
        told.saturating_add_signed(self.correction)
    }

    /// What was told is now.
    fn set_correction(&mut self, now: Micros, told: Micros) {
        self.correction = now as i64 - told as i64;
        self.corrections += 1;
    }
}

#[cfg(test)]
mod tests;
