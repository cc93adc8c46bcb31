//! Operators' commands and the answers to them, exchanged as JSON between the command line and a node.

#[cfg(test)]
pub(crate) mod tests;

use serde::{Deserialize, Serialize};

/// An operator's command. Unless renamed, the names of the variants are part of the JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum OperatorCommand {
    /// Sets the amount of the limit with this name.
    Limit(String, f64),
    /// Replaces the set of replicas. The new set has one replica more or one fewer than the old one.
    #[serde(rename = "Keepers")]
    Replicas(Vec<String>),
    /// Ends the ejection of an engine, regardless of outlier reports.
    Clear(String),
    /// Evacuates a zone (`out`), keeps it as it is (`hold`), or returns it to the planner (empty).
    Zone(String, String),
    /// Returns what the failover plan would be without a zone.
    Rehearse(String),
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct CommandAnswer {
    done: bool,
    #[serde(rename = "why")]
    message: String,
}

impl CommandAnswer {
    /// The command has taken effect.
    pub(crate) fn done(message: impl Into<String>) -> CommandAnswer {
        CommandAnswer { done: true, message: message.into() }
    }

    /// The command has not taken effect, or it is unknown whether it has.
    pub(crate) fn rejected(message: impl Into<String>) -> CommandAnswer {
        CommandAnswer { done: false, message: message.into() }
    }
}
