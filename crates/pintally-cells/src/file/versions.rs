//! Which versions of a cells file may follow another: steps of a move.

use std::collections::BTreeSet;

use super::{CellsFile, HomeCells, TenantHome};
use crate::moves::{MovePhase, TenantMove};
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
    /// Move sessions from now on.
    Go,
    /// All sessions have moved.
    Done,
    /// Move the sessions back.
    Back,
    /// End the move: the cells where the sessions are become the tenant's home.
    Settle,
}

/// Why a command for a move is not possible now.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum MoveError {
    /// The tenant does not move.
    #[error("tenant `{0}` is not on the move")]
    NotMoving(String),
    /// The tenant moves already.
    #[error("tenant `{0}` is on the move already")]
    AlreadyMoving(String),
    /// A target cell does not exist.
    #[error("no cell is named `{0}`")]
    UnknownCell(CellName),
    /// The target is the tenant's home, or there is none.
    #[error("tenant `{0}` is there already")]
    AlreadyThere(String),
    /// Not all sessions have moved yet.
    #[error("only {:.0}% of the sessions are over", .moved_share * 100.0)]
    Incomplete {
        /// The share of sessions that have moved.
        moved_share: f64,
    },
    /// The command does not fit the move's step.
    #[error("a move that stands at {phase:?} cannot take the turn {command:?}")]
    WrongPhase {
        /// The move's step.
        phase: MovePhase,
        /// The command.
        command: MoveCommand,
    },
}

/// Why a version of the cells file may not replace the current one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VersionError {
    /// It is older.
    #[error("version {version} is older than {current}, which holds")]
    Older {
        /// The version.
        version: u64,
        /// The version in force.
        current: u64,
    },
    /// A move takes a step that may not follow its current one.
    #[error("the move of tenant `{tenant}` goes from {from:?} to {to:?}")]
    InvalidPhaseChange {
        /// The tenant.
        tenant: String,
        /// The step in the current version.
        from: MovePhase,
        /// The step in the new version.
        to: MovePhase,
    },
    /// A tenant has moved to a cell that the version does not have.
    #[error("tenant `{0}` has moved to a cell that is gone")]
    TargetRemoved(String),
}

impl CellsFile {
    /// The next version, in which a tenant's move takes a step.
    ///
    /// # Errors
    ///
    /// [`MoveError`] if the command is not possible now.
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

    /// The move of a tenant that does not move yet.
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

    /// Makes cells the home of a tenant.
    fn pin(&mut self, tenant: &str, cells: Vec<CellName>) {
        let home = HomeCells::Pinned(cells);
        match self.tenants.iter_mut().find(|known| known.tenant == tenant) {
            Some(known) => known.home = home,
            None => self.tenants.push(TenantHome { tenant: tenant.to_string(), home }),
        }
    }

    /// Checks that this version may follow another: no move may take a step that does not follow its current one.
    /// Moves that end by leaving the file may do so at any step.
    ///
    /// # Errors
    ///
    /// [`VersionError`] names the move that contradicts.
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

/// The step after a command for a move that goes on.
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
