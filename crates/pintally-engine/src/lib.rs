//! The engines' side: the completion interface that vLLM publishes, as bytes and outcomes.
//!
//! Reading and writing are two completions joined by `kv_transfer_params`. What that interface lacks
//! is in [`extension`]. No input or output, no decisions.

mod answer;
pub mod extension;
mod load;
mod outcome;
mod request;

pub use answer::{AttemptReader, Progress};
pub use load::{load_from_header, load_from_metrics, LOAD_HEADER};
pub use outcome::{of_status, of_transport, Phase};
pub use request::{probe, release, work, Step, Work};
