//! Validation of settings whose values depend on each other, shared by the packages of the fleet.

use std::fmt;

/// Settings whose values are inconsistent with each other; the text names the violated rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidConfiguration(pub &'static str);

impl fmt::Display for InvalidConfiguration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for InvalidConfiguration {}

/// Returns an error that names the violated rule if `valid` is false.
///
/// # Errors
///
/// Returns [`InvalidConfiguration`] if `valid` is false.
pub fn ensure(valid: bool, violated_rule: &'static str) -> Result<(), InvalidConfiguration> {
    if valid {
        Ok(())
    } else {
        Err(InvalidConfiguration(violated_rule))
    }
}
