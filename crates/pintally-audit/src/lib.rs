//! Checks five rules over a record of what clients and engines saw on their sockets.
//!
//! Clients, engines, the publisher of the engine lists and the test harness write the record; it uses nothing
//! that a node reports about itself. [`audit`] reads a record and returns the violations of each rule, with
//! the names of the requests and engines.

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

/// The result of an audit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Requests that clients sent.
    pub requests: u64,
    /// Requests whose first final answer was a served one.
    pub served: u64,
    /// Requests that were rejected.
    pub refused: u64,
    /// Requests that failed or whose answer was cut off.
    pub failed: u64,
    /// Requests without a final answer that their clients abandoned.
    pub left: u64,
    /// Requests without a final answer whose node was killed or received SIGTERM.
    pub died: u64,
    /// The violations of each rule.
    pub rules: Rules,
}

/// The violations of each rule, as texts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Rules {
    /// Requests that were lost, answered more than once or late, or attempted after their end.
    pub lost: Vec<String>,
    /// Requests whose effect happened, or may have happened, more often than their class allows.
    pub twice: Vec<String>,
    /// Requests sent to draining engines after the grace.
    pub drain: Vec<String>,
    /// Cold engines that were overloaded by nodes that knew of their start.
    pub cold: Vec<String>,
    /// Read states that were neither fetched nor released in time.
    pub pinned: Vec<String>,
}

impl Rules {
    /// The name of each rule with its violations.
    pub fn each(&self) -> [(&'static str, &Vec<String>); 5] {
        [
            ("lost", &self.lost),
            ("twice", &self.twice),
            ("drain", &self.drain),
            ("cold", &self.cold),
            ("pinned", &self.pinned),
        ]
    }

    /// Whether no rule is broken.
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
