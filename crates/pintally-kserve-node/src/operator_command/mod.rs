//! Commands of operators and their answers: JSON between the command line and a node.

#[cfg(test)]
pub(crate) mod tests;

use serde::{Deserialize, Serialize};

/// What an operator may command. The spelling of variants is that of the JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum OperatorCommand {
    /// Another amount for the limit of this name.
    Limit(String, f64),
    /// These replicas from now on: one more or one fewer than before.
    #[serde(rename = "Keepers")]
    Replicas(Vec<String>),
    /// Ends the ejection of an engine, whatever was reported of it.
    Clear(String),
    /// Evacuates a zone (`out`), keeps it as it is (`hold`), or returns it to the planner (empty).
    Zone(String, String),
    /// What the failover plan would be without a zone.
    Rehearse(String),
}

/// What became of a command.
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

    /// The command has not taken effect, or it is not known whether it has.
    pub(crate) fn rejected(message: impl Into<String>) -> CommandAnswer {
        CommandAnswer { done: false, message: message.into() }
    }
}
