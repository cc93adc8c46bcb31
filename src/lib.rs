//! Decision core of pintally, a request router before separate readers (prefill)
//! and writers (decode) of a language model.
//!
//! The core does no input or output. A host builds a [`Router`] from its
//! [`Settings`](interface::Settings), hands it every [`Event`](interface::Event)
//! with the time at which it came, and carries out the
//! [`Action`](interface::Action)s that it gets back.

mod estimates;
pub mod interface;
pub mod rules;
mod state;

pub use estimates::{AdmissionEstimate, EngineEstimate};
pub use rules::Router;
