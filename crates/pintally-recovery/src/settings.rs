//! The figures that recovery goes by.

use pintally::interface::Micros;
use pintally_validation::{ensure, InvalidConfiguration};

/// A class, as far as it matters to what is let in first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassPriority {
    /// What one request is worth.
    pub priority_weight: f64,
    /// It must never run twice.
    pub at_most_once: bool,
}

/// The figures that recovery goes by; times in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Nodes of the fleet, by the settings.
    pub expected_nodes: usize,
    /// Whether there is anybody to ask.
    pub peers: bool,
    /// So many peers are asked at once.
    pub peers_queried: usize,
    /// For an answer.
    pub answer_timeout: Micros,
    /// Rounds of questions, to other peers each.
    pub query_rounds: u32,
    /// The careful stage ends after this time at the latest.
    pub max_slow_start: Micros,
    /// An engine that has just started can do this part of its work at first.
    pub slow_start_min_capacity: f64,
    /// And is warm after this long at most.
    pub slow_start_duration: Micros,
    /// Requests a second that a warm engine carries, where nothing is remembered.
    pub requests_per_second_per_engine: f64,
    /// The part of its usual requests that an engine carries while it holds none of their texts.
    pub uncached_capacity_fraction: f64,
    /// Clients heed a time to come back up to this; 0 where they heed none.
    pub max_retry_after: Micros,
    /// The classes, in the order of the settings.
    pub classes: Vec<ClassPriority>,
}

impl Settings {
    /// Checks that the figures go together.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        ensure(self.expected_nodes != 0, "a fleet has one node at least")?;
        ensure(
            (0.001..=1.0).contains(&self.slow_start_min_capacity),
            "a cold engine does some part of its work",
        )?;
        ensure(
            (0.01..=1.0).contains(&self.uncached_capacity_fraction),
            "an engine without texts does some part of its work",
        )?;
        ensure(
            (0.001..=1e6).contains(&self.requests_per_second_per_engine),
            "an engine carries some requests a second",
        )?;
        ensure(self.peers_queried != 0 && self.query_rounds != 0, "somebody must be asked, at least once")?;
        ensure(self.answer_timeout != 0, "an answer takes some time")?;
        ensure(
            self.max_slow_start >= self.slow_start_duration,
            "the careful stage must not end before an engine that started with it is warm",
        )
    }

    /// The longest time from the end of reading to the careful stage: with every peer silent.
    pub fn asking_most(&self) -> Micros {
        match self.peers {
            true => self.answer_timeout * Micros::from(self.query_rounds),
            false => 0,
        }
    }
}
