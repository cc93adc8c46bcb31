//! The cells file: cells, the engines that they need, the cells of each tenant, and moves under way.

mod parse;
mod render;
mod versions;

use crate::assign::{cells_by_hash, number, pick};
use crate::moves::TenantMove;
use crate::CellName;

pub use versions::{MoveCommand, MoveError, VersionError};

/// The contents of a cells file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellsFile {
    /// Grows with each change.
    pub version: u64,
    /// The cells.
    pub cells: Vec<CellSpec>,
    /// Tenants whose cells the operator has chosen, wholly or in part.
    pub tenants: Vec<TenantHome>,
    /// The moves under way.
    pub moves: Vec<TenantMove>,
}

/// A cell.
#[derive(Clone, Debug, PartialEq)]
pub struct CellSpec {
    /// Its name.
    pub name: CellName,
    /// Its weight wherever something is divided: tenants, sessions and slots of a node.
    pub weight: f64,
    /// The engines that it needs.
    pub required_engines: RequiredEngines,
    /// The cell that serves what it can of this one's requests while this one is unavailable.
    pub fallback: Option<CellName>,
}

/// The engines that a cell needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequiredEngines {
    /// Engines that read; mixed ones count for the role that lacks them.
    pub readers: usize,
    /// Engines that write.
    pub writers: usize,
}

/// The cells of a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantHome {
    /// The tenant.
    pub tenant: String,
    /// Its cells.
    pub home: HomeCells,
}

/// Which cells serve a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeCells {
    /// These cells.
    Pinned(Vec<CellName>),
    /// This many cells, chosen by hash.
    Shards(usize),
}

impl CellsFile {
    /// The cells that serve a tenant while it does not move.
    pub fn home(&self, tenant: &str) -> Vec<CellName> {
        match self.tenants.iter().find(|known| known.tenant == tenant).map(|known| &known.home) {
            Some(HomeCells::Pinned(cells)) => cells.clone(),
            Some(HomeCells::Shards(count)) => cells_by_hash(&self.cells, number(tenant), *count),
            None => cells_by_hash(&self.cells, number(tenant), 1),
        }
    }

    /// The cell of a request at a time.
    pub fn cell_for(&self, tenant: Option<&str>, session: u64, unix_ms: u64) -> Option<CellName> {
        self.cell_for_share(tenant, session, |tenant_move| tenant_move.moved_share(unix_ms))
    }

    /// The cell of a request when the tenant's move has come as far as `share` says.
    pub fn cell_for_share(
        &self,
        tenant: Option<&str>,
        session: u64,
        share: impl FnOnce(&TenantMove) -> f64,
    ) -> Option<CellName> {
        let Some(tenant) = tenant else {
            return cells_by_hash(&self.cells, session, 1).into_iter().next();
        };
        let current_move = self.moves.iter().find(|tenant_move| tenant_move.tenant == tenant);
        let moved =
            current_move.filter(|tenant_move| tenant_move.has_moved_at_share(session, share(tenant_move)));
        let cells = match moved {
            Some(tenant_move) => tenant_move.to.clone(),
            None => self.home(tenant),
        };
        pick(&cells, session)
    }

    /// A cell by its name.
    pub fn cell_named(&self, name: &CellName) -> Option<&CellSpec> {
        self.cells.iter().find(|cell| cell.name == *name)
    }
}
