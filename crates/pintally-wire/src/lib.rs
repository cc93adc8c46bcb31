//! The settings object, the entries of lists and the labels of load reports in the bench's names.
//!
//! The simulator's adapter and the platform's node both read them here, so that both hand the
//! decision core the same from the same words. Nothing here decides.

mod labels;
mod settings;

pub use labels::{listing, Entry, LabelIndex};
pub use settings::{settings, NodeConfiguration, TransportSettings};

use pintally::interface::Micros;

/// Seconds on the wire as microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

/// Microseconds as seconds on the wire.
pub fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// A number that may be missing, as a count.
pub fn count(value: Option<f64>) -> u64 {
    value.unwrap_or(0.0).max(0.0) as u64
}
