//! The move of a tenant from its cells to others, step by step, each step a version of the cells file.
//!
//! `prepare`: nothing changes yet. `both`: sessions move one by one until all have, so that only a few at a time
//! find a cold cache. `done`: all have moved. `back`: they return in the same way, from wherever the move had come.
//! How far a move has come follows from times in the file, so that a node that restarts, sees a version late or
//! misses one reaches the same decision as the others. A request stays in the cell in which it began, whatever the
//! move does meanwhile.

use crate::assign::draw;
use crate::CellName;

/// The step of a move; times are Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Prepared: nothing changes yet.
    Prepare,
    /// Sessions move.
    Both {
        /// When the first session moved.
        since: u64,
    },
    /// All sessions have moved; where the time of `both` has not passed yet they still follow it.
    Done {
        /// When the first session moved.
        since: u64,
    },
    /// Sessions return.
    Back {
        /// When the first session moved.
        since: u64,
        /// When the first session returned.
        at: u64,
    },
}

impl Step {
    /// When the first session moved; `None` if the move is only prepared.
    pub(crate) fn since(&self) -> Option<u64> {
        match *self {
            Step::Prepare => None,
            Step::Both { since } | Step::Done { since } | Step::Back { since, .. } => Some(since),
        }
    }
}

/// A tenant's move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The tenant.
    pub tenant: String,
    /// The target cells.
    pub to: Vec<CellName>,
    /// Time until all sessions have moved, in milliseconds.
    pub over_ms: u64,
    /// The current step.
    pub step: Step,
}

impl Move {
    /// The share of sessions that have moved at a time.
    pub fn share(&self, unix_ms: u64) -> f64 {
        let moved = |since: u64, at: u64| {
            (at.saturating_sub(since) as f64 / self.over_ms.max(1) as f64).clamp(0.0, 1.0)
        };
        match self.step {
            Step::Prepare => 0.0,
            Step::Both { since } | Step::Done { since } => moved(since, unix_ms),
            Step::Back { since, at } => (moved(since, at) - moved(at, unix_ms)).max(0.0),
        }
    }

    /// Whether a session has moved at a time. Sessions move in the order of a hash and return in the reverse
    /// order.
    pub fn is_over(&self, session: u64, unix_ms: u64) -> bool {
        self.is_over_at(session, self.share(unix_ms))
    }

    /// Whether a session has moved when a share of all sessions has.
    pub fn is_over_at(&self, session: u64, share: f64) -> bool {
        share >= 1.0 || draw(&self.tenant, session) < share
    }

    /// Whether the step may follow that of an earlier version of the same move.
    pub fn may_follow(&self, before: &Move) -> bool {
        if self.tenant != before.tenant || self.to != before.to || self.over_ms != before.over_ms {
            return false;
        }
        match (before.step, self.step) {
            (a, b) if a == b => true,
            (Step::Prepare, Step::Both { .. } | Step::Done { .. } | Step::Back { .. }) => true,
            (Step::Both { since: a }, Step::Done { since: b }) => a == b,
            (Step::Both { since: a } | Step::Done { since: a }, Step::Back { since: b, at }) => {
                a == b && at >= a
            }
            _ => false,
        }
    }
}
