//! What a keeper tells people.

use serde::Serialize;

/// What a keeper tells people.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// `leads`, `follows`, `stands` or `is_recovering_votes`.
    pub standing: &'static str,
    /// Why it does not vote yet, or why there is no leader that it knows of.
    pub why: Option<String>,
    /// The term that it knows.
    pub term: u64,
    /// Who leads, as far as it knows.
    pub leader: Option<String>,
    /// Who the keepers are.
    pub keepers: Vec<String>,
    /// Who is to become one and is catching up.
    pub joining: Option<String>,
    /// Agreed on up to here.
    pub commit: u64,
    /// Where its log ends.
    pub last: u64,
    /// How long its lead surely lasts, in milliseconds, if it leads.
    pub lead_ms: Option<u64>,
    /// Values that the register holds.
    pub values: usize,
}
