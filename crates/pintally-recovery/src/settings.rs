//! The settings of a node's recovery, and their validation.

use pintally::interface::Micros;
use pintally_validation::{ensure, InvalidConfiguration};

/// The priority of a class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassPriority {
    /// Classes with a higher weight are admitted first.
    pub priority_weight: f64,
    /// Its requests must not run twice.
    pub at_most_once: bool,
}

/// Settings of a node's recovery. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of nodes of the fleet.
    pub expected_nodes: usize,
    /// Whether the node has peers that it can query.
    pub has_peers: bool,
    /// Number of peers queried in each round.
    pub peers_queried: usize,
    /// How long a round waits for answers.
    pub answer_timeout: Micros,
    /// Number of query rounds; each queries peers that were not queried before.
    pub query_rounds: u32,
    /// Slow start ends after this time at the latest.
    pub max_slow_start: Micros,
    /// The fraction of a warm engine's requests that a cold engine can serve.
    pub slow_start_min_capacity: f64,
    /// The time in which a cold engine becomes warm.
    pub slow_start_duration: Micros,
    /// Requests per second that a warm engine serves; used if no node remembers the fleet's rate.
    pub requests_per_second_per_engine: f64,
    /// The fraction of its usual requests that an engine serves while its prefix cache is empty.
    pub uncached_capacity_fraction: f64,
    /// The longest Retry-After sent to clients; 0 if clients ignore it.
    pub max_retry_after: Micros,
    /// The classes, in the order of the configuration.
    pub classes: Vec<ClassPriority>,
}

impl Settings {
    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// [`InvalidConfiguration`] with the first rule that is violated.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        ensure(self.expected_nodes != 0, "the number of nodes must be at least 1")?;
        ensure(
            (0.001..=1.0).contains(&self.slow_start_min_capacity),
            "`cold-from` must be from 0.001 to 1: a cold engine does part of its work",
        )?;
        ensure(
            (0.01..=1.0).contains(&self.uncached_capacity_fraction),
            "`textless` must be from 0.01 to 1: an engine with an empty cache does part of its work",
        )?;
        ensure(
            (0.001..=1e6).contains(&self.requests_per_second_per_engine),
            "`per-engine-per-s` must be from 0.001 to 1000000: an engine serves some requests per second",
        )?;
        ensure(
            self.peers_queried != 0 && self.query_rounds != 0,
            "`ask` and `rounds` must be at least 1: at least one peer is queried",
        )?;
        ensure(self.answer_timeout != 0, "`answer-within-ms` must not be 0: an answer takes some time")?;
        ensure(
            self.max_slow_start >= self.slow_start_duration,
            "`careful-most-ms` must not be less than `warm-after-ms`: slow start must not end before an \
             engine that started with it is warm",
        )
    }

    /// The longest time that a node queries peers, reached if no peer answers.
    pub fn max_query_time(&self) -> Micros {
        if !self.has_peers {
            return 0;
        }
        self.answer_timeout * Micros::from(self.query_rounds)
    }
}
