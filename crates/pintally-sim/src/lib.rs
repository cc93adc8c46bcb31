//! Deterministic simulation of overlapping faults in virtual time, drawn from a seed and checked after
//! every step.
//!
//! Each node runs the production host ([`pintally_host::Host`]) with its core. The connections between
//! nodes and engines are modelled: they are established late or never, stop delivering, are reset while
//! requests are open, and lose the response of an attempt that succeeded. A [`Plan`] lists all requests and
//! faults. It is drawn from a seed by swarm testing (each seed enables some kinds of fault and varies how
//! often they occur), can be shrunk, and serializes to one line of JSON that replays identically.
//!
//! Not simulated: the bytes on connections, which the nodes' own code reads and writes (the multi-process
//! tests cover those), the load of engines, cold engines that crash under too much work, cells and peers.

mod attempts;
mod check;
mod clients;
mod engines;
mod faults;
mod mutation;
mod nodes;
mod plan;
mod releases;
mod search;
mod world;

pub use check::{Rule, Violation};
pub use mutation::{Mutation, MUTATIONS};
pub use plan::{Fault, FaultKind, FreeScope, Plan, PlannedRequest};
pub use search::{mutations, run, shrink, SearchSummary};
pub use world::{play, RunReport};

/// Microseconds since the start of the simulated run.
pub type Micros = u64;

pub(crate) const MS: Micros = 1_000;
