//! Model of serving engines, without sockets or a clock.
//!
//! An [`Engine`] uses continuous batching: each step decodes one token for every running answer and reads
//! chunks of prompts within a token budget. Its memory is paged; whole blocks of prompts are cached in a
//! prefix tree and evicted least recently used first. A [`Fleet`] connects engines by links that transfer
//! read states and share their bandwidth fairly.
//!
//! The caller passes the time and all random draws come from a seed, so the same inputs give the same
//! notices, byte for byte. Engines behind sockets and simulations with a virtual clock run the same code.
//! `docs/emulator.md` lists what the model leaves out.

mod cold;
mod engine;
mod faults;
mod fleet;
mod links;
mod memory;
mod notice;
mod report;
mod spec;

pub use engine::{Arrival, Engine, Work, WorkId};
pub use faults::{Faults, ReportAccuracy};
pub use fleet::{Fleet, Place};
pub use links::{FlowId, LinkId, Links};
pub use memory::{BlockHash, Memory};
pub use notice::{FreedBy, Notice, Refusal};
pub use report::Report;
pub use spec::{ColdStart, Cost, EngineRole, LoadReporting, NetworkSpec, Spec};

/// Time in microseconds.
pub type Micros = u64;
