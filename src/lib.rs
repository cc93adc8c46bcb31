//! Decision core of pintally, a request router in front of separate readers (prefill engines)
//! and writers (decode engines) of a language model.
//!
//! The core does no input or output. A host builds a [`Router`] from its
//! [`Settings`](interface::Settings), hands it every [`Event`](interface::Event)
//! with the time at which it came, and carries out the
//! [`Action`](interface::Action)s that it gets back.

mod estimates;
pub mod interface;
mod policy;
mod state;

pub use estimates::{AdmissionEstimate, EngineEstimate};
pub use policy::Router;
