//! Serving engines as they behave, without sockets or clock.
//!
//! An [`Engine`] batches by iteration: each step decodes one token for every running answer and reads
//! chunks of prompts within a budget of tokens. Its memory is paged; whole blocks of prompts are kept
//! in a prefix tree and evicted by age. A [`Fleet`] joins engines by links that move read states, and
//! share their bandwidth fairly.
//!
//! Time is handed in, everything drawn comes from a seed: the same inputs give the same notices, byte
//! for byte. Sockets and a virtual clock drive the same code. `docs/emulator.md` says what the model
//! leaves out.

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

/// Microseconds.
pub type Micros = u64;
