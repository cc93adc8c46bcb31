//! The five rules over a record of what crossed the sockets.
//!
//! A record is made at the ends: by clients, by engines, and by whoever publishes the lists. A node's
//! own word counts for nothing. [`audit`] reads a record and says which rules it breaks, with the
//! requests and engines by name.

mod cold;
mod drain;
mod index;
mod lost;
mod pinned;
mod record;
mod twice;

pub use record::{
    read_record, Answer, AuditEvent, ClassParameters, EngineLocation, FreedBy, Idempotency, IdempotencyScope,
    ListingState, Record, RecordError, RuleParameters, Step,
};

pub use index::lateness_allowance_us;

use index::Index;
use serde::Serialize;

/// The findings of an audit, rule by rule.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Requests that clients sent and that were taken.
    pub requests: u64,
    /// Of these served,
    pub served: u64,
    /// turned away,
    pub refused: u64,
    /// failed or cut off,
    pub failed: u64,
    /// left by their clients,
    pub left: u64,
    /// and held by a node that was killed.
    pub died: u64,
    /// Findings against each rule.
    pub rules: Rules,
}

/// Findings against each rule, in words.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Rules {
    /// No request is lost.
    pub lost: Vec<String>,
    /// No effect happens twice.
    pub twice: Vec<String>,
    /// Drains are kept.
    pub drain: Vec<String>,
    /// A cold engine is not pushed over.
    pub cold: Vec<String>,
    /// Nothing is left pinned.
    pub pinned: Vec<String>,
}

impl Rules {
    /// The rules by name with their findings.
    pub fn each(&self) -> [(&'static str, &Vec<String>); 5] {
        [
            ("lost", &self.lost),
            ("twice", &self.twice),
            ("drain", &self.drain),
            ("cold", &self.cold),
            ("pinned", &self.pinned),
        ]
    }

    /// Whether all are kept.
    pub fn kept(&self) -> bool {
        self.each().iter().all(|(_, found)| found.is_empty())
    }
}

/// Checks a record against the five rules.
pub fn audit(record: &[Record]) -> Result<Report, RecordError> {
    let index = Index::new(record)?;
    let mut report = Report::default();
    index.count(&mut report);
    report.rules = Rules {
        lost: lost::check(&index),
        twice: twice::check(&index),
        drain: drain::check(&index),
        cold: cold::check(&index),
        pinned: pinned::check(&index),
    };
    Ok(report)
}
