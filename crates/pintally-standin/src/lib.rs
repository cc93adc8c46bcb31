//! Small stand-in engines on loopback: readers, writers and mixed ones that speak the completion
//! interface, with faults by script, and a record of all that comes to them.
//!
//! They are simulated servers: their speeds are settings, not measurements of any real engine.

mod engine;
mod fleet;
mod kept;
mod port;
mod serve;
mod spec;

pub use engine::Engine;
pub use fleet::{Fleet, Recorder};
pub use port::Port;
pub use spec::{EngineSpec, Faults, Reports, Role};
