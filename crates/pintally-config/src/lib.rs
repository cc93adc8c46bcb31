//! Settings of pintally as S-expressions: types, defaults, and checks that name the rule they guard.
//!
//! This package does no input or output: callers hand it the text of a file and its name, and get
//! values or a [`ConfigError`] with line and column.

mod check;
mod error;
mod fleet;
pub mod form;
mod members;
mod regions;
mod settings;
mod shared;

pub use check::check;
pub use error::ConfigError;
pub use fleet::{MembershipSettings, RecoverySettings, STORAGE_FAULTS};
pub use members::{EngineEntry, EngineList};
pub use regions::FailoverSettings;
pub use settings::{shape, ClassSettings, Limits, NodeSettings};
pub use shared::{verdicts_form, ConsensusSettings, Counts, QuotaSettings, QuotaSpec};
