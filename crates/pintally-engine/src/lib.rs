//! The interface of engines: the completion interface that vLLM publishes, as bytes and outcomes.
//!
//! Prefill and decode are two completions joined by `kv_transfer_params`. What that interface lacks
//! is in [`extension`]. No input or output, no decisions.

#![deny(missing_docs)]

mod attempt_reader;
pub mod extension;
mod load;
mod outcome;
mod request;

pub use attempt_reader::{AttemptReader, Progress};
pub use load::{load_from_header, load_from_metrics, LOAD_HEADER};
pub use outcome::{outcome_of_status, outcome_of_transport_error, Phase};
pub use request::{completion, health_check, release, Completion, Step};
