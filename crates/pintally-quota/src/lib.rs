//! Limits that hold for a whole fleet. One node at a time *lends*: whoever leads the keepers. The others
//! hold shares under leases and decide by them alone, so nothing on a request's way waits for anybody.
//!
//! A limit is *hard*, and the shares of all nodes together never exceed it, whatever is lost, doubled or
//! late, or *soft*, and a node that is cut off keeps a stated part beyond. Conservation is that of escrow
//! and demarcation (O'Neil 1986; Barbará and Garcia-Molina 1994): what is lent is debited first and comes
//! back by the holder's own word or with the lease. `docs/limits.md` has the bounds and proofs.

mod bounds;
mod holder;
mod lender;
mod lending;
mod limit;
mod message;

pub use bounds::Bounds;
pub use holder::{Admission, LimitStatus, QuotaHolder};
pub use lender::{LeaseGranter, PoolStatus};
pub use lending::LeaderGranter;
pub use limit::{Enforcement, Limit, LimitId, LimitKind, Settings};
pub use message::{LeaseGrant, LeaseRequest, MAX_ENTRIES_PER_MESSAGE};
pub use pintally_validation::InvalidConfiguration;

/// Microseconds of a clock that never goes back.
pub type Micros = u64;
