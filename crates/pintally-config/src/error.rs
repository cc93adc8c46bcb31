//! Errors in configuration files.

use std::fmt;

/// An error in a configuration file: its position, a message, and the violated rule, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The name of the file, as given by the caller.
    pub file: String,
    /// The line, counted from 1; 0 if the error has no position.
    pub line: usize,
    /// The column, counted from 1; 0 if the error has no position.
    pub column: usize,
    /// The invalid field and what is expected of it.
    pub message: String,
    /// The rule of the service that the setting would violate, if any.
    pub rule: Option<&'static str>,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.message)?;
        match self.rule {
            Some(rule) => write!(f, " (rule: {rule})"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for ConfigError {}
