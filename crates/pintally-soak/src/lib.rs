//! Soak runs of `pintally platform`: dozens of real processes on loopback, with mock engines, a mock
//! discovery service and clients, under seeded faults that overlap in time.
//!
//! Everything that crosses a socket is recorded with its time. After the run, invariants are checked on the
//! record (see [`Violation`]). The same seed draws the same faults and clients, but timing depends on the
//! machine, so a run is not reproducible: a violation names a request id, which can be traced in the record
//! and in the nodes' logs.

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
