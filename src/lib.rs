//! Decision core of pintally, a request router in front of separate readers (prefill engines)
//! and writers (decode engines) that serve a language model.
//!
//! The core does no input or output. A host builds a [`Router`] from its
//! [`Settings`](interface::Settings), passes it every [`Event`](interface::Event)
//! with the time at which it occurred, and carries out the
//! [`Action`](interface::Action)s that the router returns.

mod estimates;
pub mod interface;
mod policy;
mod state;

pub use estimates::{AdmissionEstimate, EngineEstimate, SlowStartControl, SlowStartEstimate, TableSizes};
pub use policy::Router;
