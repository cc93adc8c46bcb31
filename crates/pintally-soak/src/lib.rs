//! Soak runs of `pintally platform`: dozens of real processes on loopback, with the run's own engines,
//! discovery and clients, under seeded faults that overlap in time.
//!
//! Everything that crosses a socket is recorded with its time; behind the run the record is judged by
//! invariants (see [`Violation`]). The same seed draws the same faults and clients; what they meet depends
//! on the machine, so a violation is followed by its request's id in the record and in the nodes' logs.

mod client;
mod discovery;
pub mod fault_layer;
mod injected_faults;
mod invariants;
mod mock_engine;
mod node;
mod record;
mod run;
mod timing;

pub use invariants::{Violation, ViolationKind};
pub use run::{soak, Options, Report};
