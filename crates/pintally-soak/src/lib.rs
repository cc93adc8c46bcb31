//! Soak runs of `pintally platform`: dozens of real processes on loopback, with the run's own engines,
//! discovery and clients, under seeded troubles that overlap in time.
//!
//! Everything that crosses a socket is recorded with its time; behind the run the record is judged by
//! invariants (see [`Violation`]). The same seed draws the same troubles and clients; what they meet depends
//! on the machine, so a violation is followed by its request's id in the record and in the nodes' logs.

mod client;
mod discovery;
mod engine;
pub mod fault_layer;
mod judge;
mod node;
mod record;
mod run;
mod timing;
mod trouble;

pub use judge::{FaultKind, Violation};
pub use run::{soak, Options, Report};
