//! The figures that recovery goes by.

use pintally::interface::Micros;
use pintally_validation::{ensure, InvalidConfiguration};

/// A class, as far as it matters to what is let in first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassPriority {
    /// What one request is worth.
    pub worth: f64,
    /// It must never run twice.
    pub once: bool,
}

/// The figures that recovery goes by; times in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Nodes of the fleet, by the settings.
    pub expected: usize,
    /// Whether there is anybody to ask.
    pub peers: bool,
    /// So many peers are asked at once.
    pub ask: usize,
    /// For an answer.
    pub answer_within: Micros,
    /// Rounds of questions, to other peers each.
    pub rounds: u32,
    /// The careful stage ends after this time at the latest.
    pub careful_most: Micros,
    /// An engine that has just started can do this part of its work at first.
    pub cold_from: f64,
    /// And is warm after this long at most.
    pub warm_after: Micros,
    /// Requests a second that a warm engine carries, where nothing is remembered.
    pub per_engine: f64,
    /// The part of its usual requests that an engine carries while it holds none of their texts.
    pub textless: f64,
    /// Clients heed a time to come back up to this; 0 where they heed none.
    pub retry_most: Micros,
    /// The classes, in the order of the settings.
    pub classes: Vec<ClassPriority>,
}

impl Settings {
    /// Checks that the figures go together.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        ensure(self.expected != 0, "a fleet has one node at least")?;
        ensure((0.001..=1.0).contains(&self.cold_from), "a cold engine does some part of its work")?;
        ensure((0.01..=1.0).contains(&self.textless), "an engine without texts does some part of its work")?;
        ensure((0.001..=1e6).contains(&self.per_engine), "an engine carries some requests a second")?;
        ensure(self.ask != 0 && self.rounds != 0, "somebody must be asked, at least once")?;
        ensure(self.answer_within != 0, "an answer takes some time")?;
        ensure(
            self.careful_most >= self.warm_after,
            "the careful stage must not end before an engine that started with it is warm",
        )
    }

    /// The longest time from the end of reading to the careful stage: with every peer silent.
    pub fn asking_most(&self) -> Micros {
        match self.peers {
            true => self.answer_within * Micros::from(self.rounds),
            false => 0,
        }
    }
}
