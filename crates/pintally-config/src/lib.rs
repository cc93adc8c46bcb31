//! The settings of pintally, written as S-expressions: their types, defaults and validation.
//!
//! This package does no input or output: callers pass the name and the text of a file, and get the settings
//! or a [`ConfigError`] with the line, the column and the rule of the service that a setting would violate.

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
