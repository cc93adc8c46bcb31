//! Cells: subsets of the fleet, each of which serves a subset of the tenants and sessions.
//!
//! All nodes with the same cells file assign a request to the same cell, because the assignment depends only on the
//! file, the tenant, the session and the time. What a single node observes affects only which requests it rejects,
//! which engines are borrowed and how fast sessions move between cells.
//!
//! The crate performs no input or output; the caller passes the time. `docs/cells.md` compares the design options.

#![deny(missing_docs)]

mod admission;
mod assignment;
mod cell_health;
mod cells;
mod composition;
mod edge;
mod engine_health;
mod file;
mod hashing;
mod loans;
mod move_rate;
mod overload;
mod tenant_move;

pub use admission::{AdmissionRequest, CellAdmission, RejectionReason};
pub use assignment::EngineAssignment;
pub use cell_health::{CellHealth, ServiceLevel};
pub use cells::{CellStatus, Cells};
pub use edge::{EdgeAdmission, EdgeDecision, SlotUsage};
pub use engine_health::EngineHealth;
pub use file::{
    CellSpec, CellsFile, HomeCells, MoveCommand, MoveError, RequiredEngines, TenantHome, VersionError,
};
pub use hashing::{cells_by_hash, hash_fraction};
pub use loans::{Loans, ServingEngine};
pub use move_rate::MoveRateController;
pub use overload::OverloadTracker;
pub use tenant_move::{MovePhase, TenantMove};

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
