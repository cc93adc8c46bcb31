//! A tenant's move from its cells to others, step by step, each step a version of the cells file.
//!
//! `prepare`: announced, nothing changes. `both`: sessions go over one by one, more and more of them
//! until all have, so that cold caches come a few at a time. `done`: all are over. `back`: they
//! return the same way, from wherever they had come. How far a move has come follows from times in
//! the file, so that a node that restarts, sees a version late or misses one comes to the same answer
//! as the others. A request stays in the cell in which it began, whatever the move does meanwhile.

use crate::assign::draw;
use crate::CellName;

/// Where a move stands; times are Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Announced.
    Prepare,
    /// Sessions go over from then on.
    Both {
        /// When the first goes.
        since: u64,
    },
    /// All are over; where the time of `both` has not run out yet they still follow it.
    Done {
        /// When the first went.
        since: u64,
    },
    /// Rolled back.
    Back {
        /// When the first went.
        since: u64,
        /// When they began to return.
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
    /// Who moves.
    pub tenant: String,
    /// Where to.
    pub to: Vec<CellName>,
    /// Time that it takes until all sessions are over, in milliseconds.
    pub over_ms: u64,
    /// Where it stands.
    pub step: Step,
}

impl Move {
    /// The share of sessions that are over at a time.
    pub fn share(&self, unix_ms: u64) -> f64 {
        let gone = |since: u64, at: u64| {
            (at.saturating_sub(since) as f64 / self.over_ms.max(1) as f64).clamp(0.0, 1.0)
        };
        match self.step {
            Step::Prepare => 0.0,
            Step::Both { since } | Step::Done { since } => gone(since, unix_ms),
            Step::Back { since, at } => (gone(since, at) - gone(at, unix_ms)).max(0.0),
        }
    }

    /// Whether a session is over at a time. Sessions go in an order of their own and return in the
    /// reverse of it.
    pub fn is_over(&self, session: u64, unix_ms: u64) -> bool {
        self.is_over_at(session, self.share(unix_ms))
    }

    /// Whether a session is over when a share of all of them is.
    pub fn is_over_at(&self, session: u64, share: f64) -> bool {
        share >= 1.0 || draw(&self.tenant, session) < share
    }

    /// Whether one step may follow another of the same move.
    pub fn may_follow(&self, before: &Move) -> bool {
        if self.tenant != before.tenant || self.to != before.to || self.over_ms != before.over_ms {
            return false;
        }
        match (before.step, self.step) {
            (a, b) if a == b => true,
            (Step::Prepare, Step::Both { .. } | Step::Back { .. }) => true,
            (Step::Prepare, Step::Done { .. }) => true,
            (Step::Both { since: a }, Step::Done { since: b }) => a == b,
            (Step::Both { since: a } | Step::Done { since: a }, Step::Back { since: b, at }) => {
                a == b && at >= a
            }
            _ => false,
        }
    }
}
