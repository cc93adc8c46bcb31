//! What can be wrong with a settings object.

use thiserror::Error;

/// What is missing in a settings object, or wrong with it.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// It lacks a key, or a value is of the wrong type.
    #[error("settings: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The node's number is not below the number of nodes.
    #[error("settings: `me` is {node}, outside the {nodes} of `balancers`")]
    NodeOutOfRange {
        /// The node's number.
        node: u32,
        /// How many nodes there are.
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
    /// A class does not say whether its requests may be repeated.
    #[error("settings: unknown value `{0}` for `effect`")]
    UnknownIdempotency(String),
    /// The endpoint list arrives in an unknown way.
    #[error("settings: unknown value `{0}` for `discovery`")]
    UnknownDiscoveryMode(String),
}

/// Callers that report errors as text take the message.
impl From<SettingsError> for String {
    fn from(error: SettingsError) -> String {
        error.to_string()
    }
}
