//! The cells file: the cells, the engines that they need, the cells of each tenant, and the current moves.

mod parse;
mod render;
mod versions;

use crate::hashing::{cell_for_session, cells_by_hash, key_of};
use crate::tenant_move::TenantMove;
use crate::CellName;

pub use versions::{MoveCommand, MoveError, VersionError};

/// The contents of a cells file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellsFile {
    /// Increases with each change of the file.
    pub version: u64,
    /// The cells.
    pub cells: Vec<CellSpec>,
    /// Tenants for which the operator has set the cells, or how many of them.
    pub tenants: Vec<TenantHome>,
    /// The moves that have begun and are not settled.
    pub moves: Vec<TenantMove>,
}

/// A cell.
#[derive(Clone, Debug, PartialEq)]
pub struct CellSpec {
    /// Its name.
    pub name: CellName,
    /// Its weight in the division of tenants and sessions over cells, and of each node's slots and bytes for bodies.
    pub weight: f64,
    /// The engines that it needs.
    pub required_engines: RequiredEngines,
    /// The cell that serves requests of this one while this one is unavailable, as far as it has spare capacity.
    pub fallback: Option<CellName>,
}

/// The engines that a cell needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequiredEngines {
    /// The required number of readers. A mixed engine counts for the role that lacks more engines.
    pub readers: usize,
    /// The required number of writers.
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
    /// The home cells of a tenant, which serve it unless its sessions have moved.
    pub fn home(&self, tenant: &str) -> Vec<CellName> {
        match self.tenants.iter().find(|known| known.tenant == tenant).map(|known| &known.home) {
            Some(HomeCells::Pinned(cells)) => cells.clone(),
            Some(HomeCells::Shards(count)) => cells_by_hash(&self.cells, key_of(tenant), *count),
            None => cells_by_hash(&self.cells, key_of(tenant), 1),
        }
    }

    /// The cell of a request at a time.
    pub fn cell_for(&self, tenant: Option<&str>, session: u64, unix_ms: u64) -> Option<CellName> {
        self.cell_for_share(tenant, session, |tenant_move| tenant_move.moved_share(unix_ms))
    }

    /// The cell of a request, if `share` returns the share of sessions that a move has moved so far.
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
        cell_for_session(&cells, session)
    }

    /// A cell by its name.
    pub fn cell_named(&self, name: &CellName) -> Option<&CellSpec> {
        self.cells.iter().find(|cell| cell.name == *name)
    }
}
