//! The settings of recovery, and their validation.

use pintally::interface::Micros;
use pintally_validation::{ensure, InvalidConfiguration};

/// The priority of a class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassPriority {
    /// Classes with a higher weight are admitted first.
    pub priority_weight: f64,
    /// Its requests must never run twice.
    pub at_most_once: bool,
}

/// Settings of a node's recovery. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Nodes of the fleet.
    pub expected_nodes: usize,
    /// Whether the node has peers that it can query.
    pub has_peers: bool,
    /// Peers that are queried at once.
    pub peers_queried: usize,
    /// Time for an answer.
    pub answer_timeout: Micros,
    /// Rounds of queries, each to other peers.
    pub query_rounds: u32,
    /// Slow start ends after this time at the latest.
    pub max_slow_start: Micros,
    /// The fraction of its work that a cold engine can do.
    pub slow_start_min_capacity: f64,
    /// A cold engine is warm after this time.
    pub slow_start_duration: Micros,
    /// Requests per second that a warm engine carries, for a fleet that does not remember its rate.
    pub requests_per_second_per_engine: f64,
    /// The fraction of its usual requests that an engine carries while its prefix cache is empty.
    pub uncached_capacity_fraction: f64,
    /// The longest Retry-After that clients heed; 0 where they heed none.
    pub max_retry_after: Micros,
    /// The classes, in the order of the configuration.
    pub classes: Vec<ClassPriority>,
}

impl Settings {
    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// [`InvalidConfiguration`] with the first rule that is broken.
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

    /// The longest time that peers are queried: no peer answers.
    pub fn max_query_time(&self) -> Micros {
        if !self.has_peers {
            return 0;
        }
        self.answer_timeout * Micros::from(self.query_rounds)
    }
}
