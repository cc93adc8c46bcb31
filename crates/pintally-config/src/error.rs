//! What is wrong with a file of settings, and where.

use std::fmt;

/// A mistake in a file: its place, what is wrong, and the rule that it would break, if one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file's name as the caller gave it.
    pub file: String,
    /// Line, from 1; 0 if the mistake has no one place.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// The rule of the service that the setting would break.
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
