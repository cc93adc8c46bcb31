//! Errors in a settings object.

use thiserror::Error;

/// An error in a settings object.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A key is missing, or a value is of the wrong type.
    #[error("settings: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The node's index is not below the number of nodes.
    #[error("settings: `me` is {node}, outside the {nodes} of `balancers`")]
    NodeOutOfRange {
        /// The node's index.
        node: u32,
        /// The number of nodes.
        nodes: u32,
    },
    /// A kind of machine has an unknown role.
    #[error("settings: unknown value `{0}` in `duty_by_kind`")]
    UnknownRole(String),
    /// A kind of machine has no role.
    #[error("settings: `duty_by_kind` is shorter than `machine_types`")]
    MissingRole,
    /// A class with idempotency keys has no scope, or an unknown one.
    #[error("settings: unknown or missing `group` in `profiles`")]
    UnknownIdempotencyScope,
    /// The idempotency of a class is unknown.
    #[error("settings: unknown value `{0}` for `effect`")]
    UnknownIdempotency(String),
    /// The mode in which the endpoint list is delivered is unknown.
    #[error("settings: unknown value `{0}` for `discovery`")]
    UnknownDiscoveryMode(String),
}

/// For callers that report errors as text.
impl From<SettingsError> for String {
    fn from(error: SettingsError) -> String {
        error.to_string()
    }
}
