//! Settings of pintally as S-expressions: types, defaults, and checks that name the rule they guard.
//!
//! This package does no input or output: callers hand it the text of a file and its name, and get
//! values or a [`ConfigError`] with line and column.

#![deny(missing_docs)]

mod check;
mod class;
mod consensus;
mod endpoint_list;
mod error;
mod failover;
pub mod form;
mod limits;
mod membership;
mod node;
mod outlier_detection;
mod quota;
mod recovery;
mod router;
mod rule;

pub use check::check;
pub use class::ClassSettings;
pub use consensus::ConsensusSettings;
pub use endpoint_list::{EngineEntry, EngineList};
pub use error::ConfigError;
pub use failover::FailoverSettings;
pub use limits::Limits;
pub use membership::MembershipSettings;
pub use node::NodeSettings;
pub use outlier_detection::outlier_detection_form;
pub use quota::{QuotaSettings, QuotaSpec, QuotaUnit};
pub use recovery::{RecoverySettings, STORAGE_FAULTS};
pub use router::read_rules;
