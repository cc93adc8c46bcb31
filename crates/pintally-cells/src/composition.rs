//! The number of engines of a cell by role, compared with what the cell requires.

use pintally::interface::Role;

use crate::file::{CellSpec, RequiredEngines};

/// Engines that a cell lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Shortage {
    pub(crate) readers: usize,
    pub(crate) writers: usize,
}

impl Shortage {
    pub(crate) fn is_none(self) -> bool {
        self == Shortage::default()
    }

    /// How many engines of a role would reduce the shortage.
    pub(crate) fn of_role(self, role: Role) -> usize {
        match role {
            Role::Reader => self.readers,
            Role::Writer => self.writers,
            Role::Mixed => self.readers.max(self.writers),
        }
    }
}

/// Engines of a cell by role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Composition {
    readers: usize,
    writers: usize,
    mixed: usize,
}

impl Composition {
    pub(crate) fn add(&mut self, role: Role) {
        match role {
            Role::Reader => self.readers += 1,
            Role::Writer => self.writers += 1,
            Role::Mixed => self.mixed += 1,
        }
    }

    /// The shortage if each mixed engine counts for the role that lacks more engines.
    pub(crate) fn shortage(&self, required: &RequiredEngines) -> Shortage {
        let mut readers = required.readers.saturating_sub(self.readers);
        let mut writers = required.writers.saturating_sub(self.writers);
        for _ in 0..self.mixed {
            if readers >= writers {
                readers = readers.saturating_sub(1);
            } else {
                writers -= 1;
            }
        }
        Shortage { readers, writers }
    }

    /// The fraction of the required engines that the cell has, for the role with the lower fraction.
    pub(crate) fn fraction(&self, cell: &CellSpec) -> f64 {
        let shortage = self.shortage(&cell.required_engines);
        let fraction = |missing: usize, needed: usize| 1.0 - missing as f64 / needed.max(1) as f64;
        fraction(shortage.readers, cell.required_engines.readers)
            .min(fraction(shortage.writers, cell.required_engines.writers))
    }
}

/// The fraction of the required engines for the role with the lower fraction, if each engine counts by its health
/// score, and each mixed engine counts for the role that lacks more.
pub(crate) fn healthy_fraction(cell: &CellSpec, scores: &[(Role, f64)]) -> f64 {
    let mut readers = cell.required_engines.readers as f64;
    let mut writers = cell.required_engines.writers as f64;
    for (role, score) in scores {
        match role {
            Role::Reader => readers -= score,
            Role::Writer => writers -= score,
            Role::Mixed => {}
        }
    }
    for (_, score) in scores.iter().filter(|(role, _)| *role == Role::Mixed) {
        if readers >= writers {
            readers -= score;
        } else {
            writers -= score;
        }
    }
    let fraction = |missing: f64, needed: usize| 1.0 - missing.max(0.0) / needed.max(1) as f64;
    fraction(readers, cell.required_engines.readers).min(fraction(writers, cell.required_engines.writers))
}
