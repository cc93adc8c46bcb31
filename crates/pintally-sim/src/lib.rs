//! Days of failures that overlap, in virtual time, drawn from a seed and checked after every step.
//!
//! Nodes are the hosts that run behind sockets ([`pintally_host::Host`]), with their cores. What stands
//! between them and engines is a model of connections: they come up late or never, fall silent, are reset
//! under requests, and lose the word of what has ended well. A [`Plan`] says all that happens; it comes from
//! a seed by swarm choice (each seed switches some kinds of trouble on and skews how often they come), can be
//! cut down, and is written as one line of JSON that plays the same again.
//!
//! Not in it: the bytes on connections, which the nodes' own code reads and writes (tests of several
//! processes play those), the load of engines, cold engines that fall over, cells and peers.

mod calls;
mod check;
mod clients;
mod engines;
mod faults;
mod flights;
mod mutation;
mod nodes;
mod plan;
mod search;
mod world;

pub use check::{Rule, Violation};
pub use mutation::{Mutation, MUTATIONS};
pub use plan::{Fault, FaultKind, Frees, Plan, PlannedRequest};
pub use search::{mutations, run, shrink, SearchSummary};
pub use world::{play, RunReport};

/// Microseconds since the day began.
pub type Micros = u64;

pub(crate) const MS: Micros = 1_000;
