//! Limits that hold for a whole fleet. The leader of the consensus group grants parts of each limit to
//! the nodes. A node decides on the basis of its own allocations, so no request waits for another node.
//!
//! The sum of the allocations of a *hard* limit never exceeds it, even if messages are lost, duplicated or
//! delayed. A *soft* limit may be exceeded by a configured fraction, which disconnected nodes may continue
//! to use. The sum is conserved as in escrow and the demarcation protocol (O'Neil 1986; Barbará and
//! Garcia-Molina 1994): an allocation is debited before it is granted, and credited when its holder reports
//! that it holds less or when its lease has expired. The bounds and proofs are in `docs/limits.md`.

#![deny(missing_docs)]

mod bounds;
mod granter;
mod holder;
mod leader_granter;
mod limit;
mod message;

pub use bounds::Bounds;
pub use granter::{LeaseGranter, PoolStatus};
pub use holder::{Admission, LimitStatus, QuotaHolder};
pub use leader_granter::LeaderGranter;
pub use limit::{Enforcement, Limit, LimitId, LimitKind, Settings};
pub use message::{LeaseGrant, LeaseRequest, MAX_ENTRIES_PER_MESSAGE};
pub use pintally_validation::InvalidConfiguration;

/// Microseconds of a monotonic clock.
pub type Micros = u64;

/// Microseconds in a second, for rates.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;
