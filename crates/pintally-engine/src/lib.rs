//! The protocol of engines: the completion interface published by vLLM. Requests are turned into bytes, and the
//! bytes of responses into outcomes.
//!
//! Prefill and decode are two completions, connected by `kv_transfer_params`. Additions to the published
//! interface are in [`extension`]. This package does no input or output and makes no routing decisions.

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
