//! Operator commands for moves, and which version of a cells file may replace another.

use std::collections::BTreeSet;

use super::{CellsFile, HomeCells, TenantHome};
use crate::tenant_move::{MovePhase, TenantMove};
use crate::CellName;

/// An operator's command for a tenant's move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveCommand {
    /// Prepare a move.
    Begin {
        /// The target cells.
        to: Vec<CellName>,
        /// Time until all sessions have moved, in milliseconds.
        over_ms: u64,
    },
    /// Start to move sessions.
    Go,
    /// Mark the move as done; possible once all sessions have moved.
    Done,
    /// Move the sessions back.
    Back,
    /// End the move: the cells in which the sessions are become the tenant's home cells.
    Settle,
}

/// Why a command for a move is not possible in its current phase.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum MoveError {
    /// The tenant has no move.
    #[error("tenant `{0}` has no move")]
    NotMoving(String),
    /// The tenant has a move already.
    #[error("tenant `{0}` has a move already")]
    AlreadyMoving(String),
    /// A target cell does not exist.
    #[error("no cell is named `{0}`")]
    UnknownCell(CellName),
    /// The target cells are the tenant's home cells, or none is given.
    #[error("the target cells of tenant `{0}` are its home cells, or none is given")]
    AlreadyThere(String),
    /// Not all sessions have moved yet.
    #[error("only {:.0}% of the sessions have moved", .moved_share * 100.0)]
    Incomplete {
        /// The share of sessions that have moved.
        moved_share: f64,
    },
    /// The command is not possible in the move's phase.
    #[error("command {command:?} is not possible for a move in phase {phase:?}")]
    WrongPhase {
        /// The move's phase.
        phase: MovePhase,
        /// The command.
        command: MoveCommand,
    },
}

/// Why a version of the cells file may not replace the current one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VersionError {
    /// It is older.
    #[error("version {version} is older than version {current}, which is in force")]
    Older {
        /// The version.
        version: u64,
        /// The version in force.
        current: u64,
    },
    /// A move enters a phase that may not follow its current one.
    #[error("the move of tenant `{tenant}` cannot change from {from:?} to {to:?}")]
    InvalidPhaseChange {
        /// The tenant.
        tenant: String,
        /// The phase in the current version.
        from: MovePhase,
        /// The phase in the new version.
        to: MovePhase,
    },
    /// A tenant has moved to a cell that the new version does not have.
    #[error("tenant `{0}` has moved to a cell that the new version lacks")]
    TargetRemoved(String),
}

impl CellsFile {
    /// The next version of the file, in which a command is applied to a tenant's move.
    ///
    /// # Errors
    ///
    /// [`MoveError`] if the command is not possible in the move's current phase.
    pub fn apply_move_command(
        &self,
        tenant: &str,
        command: MoveCommand,
        unix_ms: u64,
    ) -> Result<CellsFile, MoveError> {
        let mut next = CellsFile { version: self.version + 1, ..self.clone() };
        let Some(index) = self.moves.iter().position(|known| known.tenant == tenant) else {
            next.moves.push(self.new_move(tenant, command)?);
            return Ok(next);
        };
        let current = &self.moves[index];
        match (&command, current.phase) {
            (MoveCommand::Settle, MovePhase::Done { .. }) => {
                next.moves.remove(index);
                next.pin(tenant, current.to.clone());
            }
            (MoveCommand::Settle, MovePhase::Back { .. }) if current.moved_share(unix_ms) <= 0.0 => {
                next.moves.remove(index);
            }
            _ => {
                next.moves[index].phase = next_phase(current, command, unix_ms)?;
                debug_assert!(next.moves[index].may_follow(current));
            }
        }
        Ok(next)
    }

    /// The move that the command begins, for a tenant without a move.
    fn new_move(&self, tenant: &str, command: MoveCommand) -> Result<TenantMove, MoveError> {
        let MoveCommand::Begin { to, over_ms } = command else {
            return Err(MoveError::NotMoving(tenant.to_string()));
        };
        if let Some(cell) = to.iter().find(|cell| self.cell_named(cell).is_none()) {
            return Err(MoveError::UnknownCell(cell.clone()));
        }
        if to.is_empty() || to == self.home(tenant) {
            return Err(MoveError::AlreadyThere(tenant.to_string()));
        }
        Ok(TenantMove { tenant: tenant.to_string(), to, over_ms: over_ms.max(1), phase: MovePhase::Prepare })
    }

    /// Makes these cells the home cells of a tenant.
    fn pin(&mut self, tenant: &str, cells: Vec<CellName>) {
        let home = HomeCells::Pinned(cells);
        match self.tenants.iter_mut().find(|known| known.tenant == tenant) {
            Some(known) => known.home = home,
            None => self.tenants.push(TenantHome { tenant: tenant.to_string(), home }),
        }
    }

    /// Checks that this version may replace an earlier one: each move must stay in its phase or enter one that may
    /// follow. A move may be removed from the file in any phase; after `done` its target cells must still exist.
    ///
    /// # Errors
    ///
    /// [`VersionError`] names the tenant whose move violates this.
    pub fn check_follows(&self, before: &CellsFile) -> Result<(), VersionError> {
        let cells: BTreeSet<&CellName> = self.cells.iter().map(|cell| &cell.name).collect();
        for old in &before.moves {
            let tenant = old.tenant.clone();
            match self.moves.iter().find(|new| new.tenant == old.tenant) {
                Some(new) if !new.may_follow(old) => {
                    return Err(VersionError::InvalidPhaseChange { tenant, from: old.phase, to: new.phase });
                }
                None if matches!(old.phase, MovePhase::Done { .. })
                    && old.to.iter().any(|cell| !cells.contains(cell)) =>
                {
                    return Err(VersionError::TargetRemoved(tenant));
                }
                _ => {}
            }
        }
        Ok(())
    }
}

/// The phase of a move after a command that does not end it.
fn next_phase(current: &TenantMove, command: MoveCommand, unix_ms: u64) -> Result<MovePhase, MoveError> {
    let moved_share = current.moved_share(unix_ms);
    match (command, current.phase) {
        (MoveCommand::Begin { .. }, _) => Err(MoveError::AlreadyMoving(current.tenant.clone())),
        (MoveCommand::Go, MovePhase::Prepare) => Ok(MovePhase::Both { since: unix_ms }),
        (MoveCommand::Done, MovePhase::Both { since }) if moved_share >= 1.0 => Ok(MovePhase::Done { since }),
        (MoveCommand::Done, MovePhase::Both { .. }) => Err(MoveError::Incomplete { moved_share }),
        (MoveCommand::Back, MovePhase::Prepare) => Ok(MovePhase::Back { since: unix_ms, at: unix_ms }),
        (MoveCommand::Back, MovePhase::Both { since } | MovePhase::Done { since }) => {
            Ok(MovePhase::Back { since, at: unix_ms })
        }
        (command, phase) => Err(MoveError::WrongPhase { phase, command }),
    }
}
