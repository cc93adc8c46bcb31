//! Limits, and the settings by which they are allocated.

use pintally_validation::{ensure, InvalidConfiguration};
use serde::{Deserialize, Serialize};

use crate::Micros;

/// The greatest part of a hard limit that floors may take: beyond it hardly anything is left to grant.
const MAX_RESERVED_FRACTION: f64 = 0.9;
/// Requests for an allocation that fit into a lease, so that a few lost messages do not end it.
const MIN_REQUESTS_PER_LEASE: u64 = 4;
/// The shortest burst: below it whatever is not used immediately is lost.
const MIN_BURST_US: Micros = 10_000;
/// The greatest clock drift under which a lease still means something.
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

/// What gives way when nodes are disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Enforcement {
    /// The limit holds; load for which no allocation can be obtained is shed.
    Hard,
    /// Service goes on; the limit is exceeded by a configured part.
    Soft,
}

/// A limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// What it counts.
    pub kind: LimitKind,
    /// What gives way when nodes are disconnected.
    pub enforcement: Enforcement,
    /// The amount for the whole fleet, per second or at the same time.
    pub amount: f64,
}

/// How limits are allocated. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The number of nodes in the fleet. Each has a floor, whether it is up or not.
    pub node_count: u32,
    /// The part of a hard limit that the floors take, so that a disconnected node can continue at a low
    /// rate.
    pub reserved_fraction: f64,
    /// The part by which a soft limit may be exceeded while nodes are disconnected.
    pub soft_excess_fraction: f64,
    /// An allocation that is not requested again expires after this time.
    pub lease_duration: Micros,
    /// The time between two requests for an allocation in use.
    pub lease_request_interval: Micros,
    /// What is not used of a rate may be used within this time.
    pub burst_window: Micros,
    /// What a concurrency limit counts ends within this time: the allocation of a lost holder is not
    /// granted again any sooner.
    pub max_request_duration: Micros,
    /// The time over which the soft allocation of a disconnected node decays.
    pub soft_decay_duration: Micros,
    /// The greatest difference between a second of one clock and a second of another, as a fraction.
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
        ensure(self.node_count != 0, "a fleet has one node at least")?;
        ensure(
            (0.0..MAX_RESERVED_FRACTION).contains(&self.reserved_fraction),
            "floors take nearly all of a hard limit",
        )?;
        ensure(
            (0.0..=1.0).contains(&self.soft_excess_fraction),
            "a soft limit is exceeded by more than itself",
        )?;
        ensure(self.lease_request_interval != 0, "a share is asked for all the time")?;
        ensure(
            self.lease_duration >= MIN_REQUESTS_PER_LEASE * self.lease_request_interval,
            "a lease ends before it was asked for four times",
        )?;
        ensure(self.burst_window >= MIN_BURST_US, "what is not used at once is lost")?;
        ensure(
            (0.0..=MAX_CLOCK_DRIFT).contains(&self.max_clock_drift),
            "clocks that drift apart by over a fifth are none",
        )
    }

    /// What a node may use of a limit without a lease.
    pub fn floor(&self, limit: &Limit) -> f64 {
        let fraction = match limit.enforcement {
            Enforcement::Hard => self.reserved_fraction,
            Enforcement::Soft => self.soft_excess_fraction,
        };
        let per_node = limit.amount * fraction / f64::from(self.node_count.max(1));
        match limit.kind {
            LimitKind::Rate => per_node,
            // Half a stream is of no use: what does not make a whole one for each node is left to grant.
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

    /// For how long the granter debits an allocation after it was last requested. The holder counts its
    /// lease from the sending of the request, by a clock that may be slow, and what it has admitted under
    /// a concurrency limit ends later, within its own time.
    pub fn debit_duration(&self, limit: &Limit) -> Micros {
        let use_after_lease = match (limit.kind, limit.enforcement) {
            (LimitKind::Concurrency, _) => self.max_request_duration,
            (LimitKind::Rate, Enforcement::Hard) => 0,
            (LimitKind::Rate, Enforcement::Soft) => self.soft_decay_duration,
        };
        self.with_drift(self.lease_duration) + self.with_drift(use_after_lease)
    }

    /// A time of one clock as measured by another, at most.
    fn with_drift(&self, duration: Micros) -> Micros {
        (duration as f64 * (1.0 + 2.0 * self.max_clock_drift)) as Micros
    }
}
