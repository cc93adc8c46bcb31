//! Emulated engines behind sockets on loopback: readers, writers and mixed ones that speak the
//! completion interface, with faults by script, and a record of all that comes to them.
//!
//! What an engine does with its work is `pintally-emulator`'s; here are its connections, and the faults
//! of those. They are simulated servers: their speeds are settings, not measurements of any real engine.

mod clock;
mod engine;
mod fleet;
mod port;
mod serve;
mod spec;
mod text;

pub use clock::audit_freed_by;
pub use engine::{emulator_spec, Engine};
pub use fleet::{Fleet, Recorder, LINK_RATES};
pub use port::Port;
pub use spec::{EngineSpec, Faults, ReportAccuracy, Role};
pub use text::{block_hashes, token_count};
