//! The settings object, the entries of endpoint lists and the labels of load reports in the bench's
//! spelling.
//!
//! The simulator's adapter and the platform's node both read them here, so that both hand the
//! decision core the same settings for the same input. Nothing here decides.

mod labels;
mod settings;

pub use labels::{listing, Entry, LabelIndex};
pub use settings::{settings, NodeConfiguration, SettingsError, TransportSettings};

use pintally::interface::Micros;

const MICROS_PER_SECOND: f64 = 1e6;

/// Seconds on the wire as microseconds; negative ones as none.
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * MICROS_PER_SECOND).round() as Micros
}

/// Microseconds as seconds on the wire.
pub fn seconds(span: Micros) -> f64 {
    span as f64 / MICROS_PER_SECOND
}

/// A number that may be missing, as a count; missing and negative ones as 0.
pub fn count(value: Option<f64>) -> u64 {
    value.unwrap_or(0.0).max(0.0) as u64
}
