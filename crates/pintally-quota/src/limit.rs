//! Limits, and the figures by which they are shared.

use pintally_validation::{ensure, InvalidConfiguration};
use serde::{Deserialize, Serialize};

use crate::Micros;

/// What stands for a limit among nodes: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LimitId(pub u32);

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LimitKind {
    /// So much a second.
    Rate,
    /// So many at once.
    Concurrency,
}

/// What gives way when nodes cannot hear each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Enforcement {
    /// The limit holds; what cannot be asked for is refused.
    Hard,
    /// Service goes on; the limit is exceeded by a stated part.
    Soft,
}

/// One limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// What it counts.
    pub kind: LimitKind,
    /// What gives way.
    pub enforcement: Enforcement,
    /// How much for the whole fleet, a second or at once.
    pub amount: f64,
}

/// How limits are shared. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Nodes of the fleet: each has a floor of its own, whoever is there.
    pub nodes: u32,
    /// The part of a hard limit that is floors, so that a node that is cut off can go on a little.
    pub reserved_fraction: f64,
    /// The part by which a soft limit may be exceeded while nodes are cut off.
    pub soft_excess_fraction: f64,
    /// A share that is not asked for again ends after this time.
    pub lease_duration: Micros,
    /// A share in use is asked for this often.
    pub request_interval: Micros,
    /// What was not used of a rate may be used later, within this time.
    pub burst: Micros,
    /// What is counted at once ends within this time: a lost holder's part returns no sooner.
    pub max_hold: Micros,
    /// The soft share of a node that is cut off falls away over this time.
    pub soft_decay: Micros,
    /// The most by which a second of one clock differs from a second of another, as a part.
    pub max_clock_drift: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            nodes: 1,
            reserved_fraction: 0.2,
            soft_excess_fraction: 0.25,
            lease_duration: 4_000_000,
            request_interval: 400_000,
            burst: 1_000_000,
            max_hold: 30_000_000,
            soft_decay: 4_000_000,
            max_clock_drift: 0.01,
        }
    }
}

impl Settings {
    /// Checks that the figures go together.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        ensure(self.nodes != 0, "a fleet has one node at least")?;
        ensure((0.0..0.9).contains(&self.reserved_fraction), "floors take nearly all of a hard limit")?;
        ensure(
            (0.0..=1.0).contains(&self.soft_excess_fraction),
            "a soft limit is exceeded by more than itself",
        )?;
        ensure(self.request_interval != 0, "a share is asked for all the time")?;
        ensure(
            self.lease_duration >= 4 * self.request_interval,
            "a lease ends before it was asked for four times",
        )?;
        ensure(self.burst >= 10_000, "what is not used at once is lost")?;
        ensure(
            (0.0..=0.2).contains(&self.max_clock_drift),
            "clocks that drift apart by over a fifth are none",
        )
    }

    /// What a node may use of a limit without asking anybody.
    pub fn floor(&self, limit: &Limit) -> f64 {
        let nodes = f64::from(self.nodes.max(1));
        match (limit.enforcement, limit.kind) {
            (Enforcement::Hard, LimitKind::Rate) => limit.amount * self.reserved_fraction / nodes,
            // Half a stream is none: what does not make a whole one for each node stays with the lender.
            (Enforcement::Hard, LimitKind::Concurrency) => {
                (limit.amount * self.reserved_fraction / nodes).floor()
            }
            (Enforcement::Soft, LimitKind::Rate) => limit.amount * self.soft_excess_fraction / nodes,
            (Enforcement::Soft, LimitKind::Concurrency) => {
                (limit.amount * self.soft_excess_fraction / nodes).floor()
            }
        }
    }

    /// What there is to lend of a limit.
    pub fn lendable(&self, limit: &Limit) -> f64 {
        match limit.enforcement {
            Enforcement::Hard => limit.amount - self.floor(limit) * f64::from(self.nodes.max(1)),
            Enforcement::Soft => limit.amount,
        }
    }

    /// How long a lender reckons with a share after it was last asked for: the holder counts from when
    /// it asked, by a clock that may be slow, and ends what it has at once within its own time.
    pub fn debited_for(&self, limit: &Limit) -> Micros {
        let lease = (self.lease_duration as f64 * (1.0 + 2.0 * self.max_clock_drift)) as Micros;
        lease
            + match (limit.kind, limit.enforcement) {
                (LimitKind::Concurrency, _) => {
                    (self.max_hold as f64 * (1.0 + 2.0 * self.max_clock_drift)) as Micros
                }
                (LimitKind::Rate, Enforcement::Hard) => 0,
                (LimitKind::Rate, Enforcement::Soft) => {
                    (self.soft_decay as f64 * (1.0 + 2.0 * self.max_clock_drift)) as Micros
                }
            }
    }
}
