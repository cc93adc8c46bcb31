//! Parsers of the data formats that the bench and the operators' platform share: the settings object,
//! the entries of endpoint lists, and the labels of load reports.
//!
//! The bench's adapter and the platform's node both use them, so that both pass the decision core the
//! same settings for the same input. No routing decision is made here.

mod labels;
mod settings;

pub use labels::{endpoint_state, EndpointEntry, LabelIndex};
pub use settings::{parse_settings, ParsedSettings, SettingsError, TransportSettings};

use pintally::interface::Micros;

const MICROS_PER_SECOND: f64 = 1e6;

/// Converts seconds to microseconds, rounded; negative values become 0.
pub fn seconds_to_micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * MICROS_PER_SECOND).round() as Micros
}

/// Converts microseconds to seconds.
pub fn micros_to_seconds(span: Micros) -> f64 {
    span as f64 / MICROS_PER_SECOND
}

/// Converts an optional number to a count; a missing or negative one becomes 0.
pub fn to_count(value: Option<f64>) -> u64 {
    value.unwrap_or(0.0).max(0.0) as u64
}
