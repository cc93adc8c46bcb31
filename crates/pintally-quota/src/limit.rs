//! Limits, and the settings for their allocation.

use pintally_validation::{ensure, InvalidConfiguration};
use serde::{Deserialize, Serialize};

use crate::Micros;

/// The fraction of a hard limit that floors must stay below: with more, hardly anything is left to grant.
const MAX_RESERVED_FRACTION: f64 = 0.9;
/// The minimum number of request intervals in a lease, so that a few lost messages do not end it.
const MIN_REQUESTS_PER_LEASE: u64 = 4;
/// The minimum burst window: with a shorter one, tokens that are not used immediately are lost.
const MIN_BURST_WINDOW_US: Micros = 10_000;
/// The maximum clock drift: with a greater one a lease is no useful guarantee.
const MAX_CLOCK_DRIFT: f64 = 0.2;

/// Identifies a limit among nodes: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LimitId(pub u32);

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LimitKind {
    /// An amount per second.
    Rate,
    /// An amount in use at the same time.
    Concurrency,
}

/// Whether the limit or availability takes precedence when nodes are disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Enforcement {
    /// The limit holds; load for which no allocation can be obtained is rejected.
    Hard,
    /// Requests are still admitted; the limit may be exceeded by a configured fraction.
    Soft,
}

/// A limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// What the limit counts.
    pub kind: LimitKind,
    /// Whether the limit or availability takes precedence when nodes are disconnected.
    pub enforcement: Enforcement,
    /// The amount for the whole fleet: per second, or in use at the same time.
    pub amount: f64,
}

/// The settings for the allocation of limits. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The number of nodes in the fleet. Each of them has a floor, even while it is down.
    pub node_count: u32,
    /// The fraction of a hard limit that the floors of all nodes take, so that a disconnected node can
    /// continue at a low rate.
    pub reserved_fraction: f64,
    /// The fraction by which a soft limit may be exceeded while nodes are disconnected.
    pub soft_excess_fraction: f64,
    /// An allocation that is not requested again expires after this time.
    pub lease_duration: Micros,
    /// The time between two requests for an allocation in use.
    pub lease_request_interval: Micros,
    /// Unused tokens of a rate accumulate for at most this time.
    pub burst_window: Micros,
    /// The maximum duration of a request under a concurrency limit. After the lease of a lost holder has
    /// expired, its allocation is not granted again until this time has passed as well.
    pub max_request_duration: Micros,
    /// The time over which an allocation of a soft limit decays to zero after its lease has expired.
    pub soft_decay_duration: Micros,
    /// The maximum relative difference between the rates of two clocks, as a fraction.
    pub max_clock_drift: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            node_count: 1,
            reserved_fraction: 0.2,
            soft_excess_fraction: 0.25,
            lease_duration: 4_000_000,
            lease_request_interval: 400_000,
            burst_window: 1_000_000,
            max_request_duration: 30_000_000,
            soft_decay_duration: 4_000_000,
            max_clock_drift: 0.01,
        }
    }
}

impl Settings {
    /// Checks that the settings are consistent with each other.
    ///
    /// # Errors
    ///
    /// [`InvalidConfiguration`] with the first rule that is violated.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        ensure(self.node_count != 0, "the fleet must have at least one node")?;
        ensure(
            (0.0..MAX_RESERVED_FRACTION).contains(&self.reserved_fraction),
            "`reserve` must be at least 0 and less than 0.9: floors must not take nearly all of a hard limit",
        )?;
        ensure(
            (0.0..=1.0).contains(&self.soft_excess_fraction),
            "`over` must be between 0 and 1: a soft limit is exceeded by at most itself",
        )?;
        ensure(self.lease_request_interval != 0, "`every-ms` must not be 0")?;
        ensure(
            self.lease_duration >= MIN_REQUESTS_PER_LEASE * self.lease_request_interval,
            "`lease-ms` must be at least four times `every-ms`",
        )?;
        ensure(
            self.burst_window >= MIN_BURST_WINDOW_US,
            "`burst-ms` must be at least 10: with less, tokens that are not used at once are lost",
        )?;
        ensure((0.0..=MAX_CLOCK_DRIFT).contains(&self.max_clock_drift), "`drift` must be between 0 and 0.2")
    }

    /// The amount of a limit that a node may use without a lease.
    pub fn floor(&self, limit: &Limit) -> f64 {
        let fraction = match limit.enforcement {
            Enforcement::Hard => self.reserved_fraction,
            Enforcement::Soft => self.soft_excess_fraction,
        };
        let per_node = limit.amount * fraction / f64::from(self.node_count.max(1));
        match limit.kind {
            LimitKind::Rate => per_node,
            // Concurrency is used in whole units: what is not a whole unit for each node is left to grant.
            LimitKind::Concurrency => per_node.floor(),
        }
    }

    /// The part of a limit that can be granted.
    pub fn grantable(&self, limit: &Limit) -> f64 {
        match limit.enforcement {
            Enforcement::Hard => limit.amount - self.floor(limit) * f64::from(self.node_count.max(1)),
            Enforcement::Soft => limit.amount,
        }
    }

    /// How long the granter debits an allocation after the last request for it. The holder measures its
    /// lease from the sending of the request, with a clock that may run slow. Use continues after the lease:
    /// requests admitted under a concurrency limit run to their end, and the allocation of a soft rate
    /// decays.
    pub fn debit_duration(&self, limit: &Limit) -> Micros {
        let use_after_lease = match (limit.kind, limit.enforcement) {
            (LimitKind::Concurrency, _) => self.max_request_duration,
            (LimitKind::Rate, Enforcement::Hard) => 0,
            (LimitKind::Rate, Enforcement::Soft) => self.soft_decay_duration,
        };
        self.with_drift(self.lease_duration) + self.with_drift(use_after_lease)
    }

    /// The longest time that another clock may measure for a duration on one clock.
    fn with_drift(&self, duration: Micros) -> Micros {
        (duration as f64 * (1.0 + 2.0 * self.max_clock_drift)) as Micros
    }
}
