//! What the settings of the fleet's packages share: figures that do not go together, and how that is told.

use std::fmt;

/// Figures that do not go together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unsound(pub &'static str);

impl fmt::Display for Unsound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Unsound {}

/// An error that says so where something is bad.
pub fn wrong(bad: bool, what: &'static str) -> Result<(), Unsound> {
    match bad {
        true => Err(Unsound(what)),
        false => Ok(()),
    }
}
