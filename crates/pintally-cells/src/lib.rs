//! Cells: subsets of the fleet that serve some tenants or keys and nobody else.
//!
//! Every node reaches the same decision from the same file: the cell of a request follows from the cells file, the
//! tenant, the session and the time, and from nothing that one node alone has observed. Such observations decide
//! only which requests are rejected, which engines are borrowed and how fast moves go.
//!
//! No input or output; the caller passes the time. `docs/cells.md` weighs the options.

#![deny(missing_docs)]

mod admission;
mod assign;
mod assignment;
mod cells;
mod composition;
mod edge;
mod engine_health;
mod file;
mod health;
mod loans;
mod move_rate;
mod moves;
mod overload;

pub use admission::{AdmissionRequest, CellAdmission, RejectionReason};
pub use assign::{cells_by_hash, hash_fraction};
pub use assignment::EngineAssignment;
pub use cells::{CellStatus, Cells};
pub use edge::{EdgeAdmission, EdgeDecision, SlotUsage};
pub use engine_health::EngineHealth;
pub use file::{
    CellSpec, CellsFile, HomeCells, MoveCommand, MoveError, RequiredEngines, TenantHome, VersionError,
};
pub use health::{CellHealth, ServiceLevel};
pub use loans::{Loans, ServingEngine};
pub use move_rate::MoveRateController;
pub use moves::{MovePhase, TenantMove};
pub use overload::OverloadTracker;

use std::sync::Arc;

/// A cell's name.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellName(pub Arc<str>);

impl From<&str> for CellName {
    fn from(name: &str) -> CellName {
        CellName(name.into())
    }
}

impl std::fmt::Display for CellName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
