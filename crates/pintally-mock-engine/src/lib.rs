//! Emulated engines behind sockets on loopback: readers, writers and mixed engines that serve the
//! completion interface, with scripted faults and a record of every request they receive.
//!
//! `pintally-emulator` models how an engine schedules and executes work; this crate adds its connections
//! and their faults. The engines are simulated: their speeds are settings, not measurements of any real
//! engine.

mod driver;
mod engine;
mod fleet;
mod port;
mod serve;
mod spec;
mod text;

pub use driver::audit_freed_by;
pub use engine::{emulator_spec, Engine};
pub use fleet::{Fleet, Recorder, LINK_RATES};
pub use port::Port;
pub use spec::{EngineSpec, Faults, ReportAccuracy, Role};
pub use text::{block_hashes, token_count};
