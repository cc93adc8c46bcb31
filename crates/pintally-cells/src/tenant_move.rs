//! The move of a tenant from its home cells to others. Each phase of a move is set by a version of the cells file.
//!
//! `prepare`: nothing changes yet. `both`: sessions move gradually until all have moved, so that only a few at a time
//! find a cold cache. `done`: all sessions have moved. `back`: the sessions that have moved return in the same way.
//! The progress of a move is computed from times in the file, so that a node that restarts, receives a version late
//! or misses one reaches the same decision as the others. A request stays in the cell in which it began, regardless
//! of the move's progress.

use crate::hashing::hash_fraction;
use crate::CellName;

/// The phase of a move; times are Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MovePhase {
    /// Prepared: nothing changes yet.
    Prepare,
    /// Sessions move gradually.
    Both {
        /// When the first session moved.
        since: u64,
    },
    /// All sessions have moved; until [`TenantMove::over_ms`] has passed since the first one they still move gradually.
    Done {
        /// When the first session moved.
        since: u64,
    },
    /// Sessions return gradually.
    Back {
        /// When the first session moved.
        since: u64,
        /// When the first session returned.
        at: u64,
    },
}

impl MovePhase {
    /// When the first session moved; `None` if the move is only prepared.
    pub(crate) fn since(&self) -> Option<u64> {
        match *self {
            MovePhase::Prepare => None,
            MovePhase::Both { since } | MovePhase::Done { since } | MovePhase::Back { since, .. } => {
                Some(since)
            }
        }
    }
}

/// A tenant's move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantMove {
    /// The tenant.
    pub tenant: String,
    /// The target cells.
    pub to: Vec<CellName>,
    /// Time until all sessions have moved, in milliseconds.
    pub over_ms: u64,
    /// The current phase.
    pub phase: MovePhase,
}

impl TenantMove {
    /// The share of sessions that have moved at a time.
    pub fn moved_share(&self, unix_ms: u64) -> f64 {
        let moved = |since: u64, at: u64| {
            (at.saturating_sub(since) as f64 / self.over_ms.max(1) as f64).clamp(0.0, 1.0)
        };
        match self.phase {
            MovePhase::Prepare => 0.0,
            MovePhase::Both { since } | MovePhase::Done { since } => moved(since, unix_ms),
            MovePhase::Back { since, at } => (moved(since, at) - moved(at, unix_ms)).max(0.0),
        }
    }

    /// Whether a session has moved at a time. Sessions move in the order of a hash and return in the reverse
    /// order.
    pub fn has_moved(&self, session: u64, unix_ms: u64) -> bool {
        self.has_moved_at_share(session, self.moved_share(unix_ms))
    }

    /// Whether a session has moved when a share of all sessions has.
    pub fn has_moved_at_share(&self, session: u64, share: f64) -> bool {
        share >= 1.0 || hash_fraction(&self.tenant, session) < share
    }

    /// Whether this is the same move as in an earlier version, in the same phase or one that may follow.
    pub fn may_follow(&self, before: &TenantMove) -> bool {
        if self.tenant != before.tenant || self.to != before.to || self.over_ms != before.over_ms {
            return false;
        }
        match (before.phase, self.phase) {
            (a, b) if a == b => true,
            (
                MovePhase::Prepare,
                MovePhase::Both { .. } | MovePhase::Done { .. } | MovePhase::Back { .. },
            ) => true,
            (MovePhase::Both { since: a }, MovePhase::Done { since: b }) => a == b,
            (
                MovePhase::Both { since: a } | MovePhase::Done { since: a },
                MovePhase::Back { since: b, at },
            ) => a == b && at >= a,
            _ => false,
        }
    }
}
