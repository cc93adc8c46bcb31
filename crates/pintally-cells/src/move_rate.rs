//! The rate of moves at this node: at most the rate in the cells file, and zero while a move is paused.
//!
//! The file determines the share of sessions that may have moved at a time. While the target cell is overloaded or
//! short of engines, the node moves no further sessions. Afterwards it continues at the file's rate, so that the
//! sessions held back by the pause do not move all at once. The same applies to a node that receives the phase `both`
//! late. Sessions that have moved do not return because of a pause. A node that restarts, or that has never seen the
//! move in phase `prepare`, starts at the file's share: a session's cell determines where its prefixes are cached,
//! not whether it is served.

use std::collections::BTreeMap;

use crate::tenant_move::{MovePhase, TenantMove};

/// The state of one move at this node.
#[derive(Clone, Copy, Debug)]
struct MoveProgress {
    /// When the first session moved according to the file, in Unix milliseconds; `None` while the move is only
    /// prepared.
    since: Option<u64>,
    /// The share of sessions that have moved.
    share: f64,
    /// When the share was last updated, in Unix milliseconds.
    updated: u64,
}

/// Tracks the progress of each move at this node.
#[derive(Clone, Debug, Default)]
pub struct MoveRateController {
    moves: BTreeMap<String, MoveProgress>,
}

impl MoveRateController {
    /// Updates and returns the share of a tenant's sessions that have moved at this node. If `paused`, no further
    /// session moves to the target cells.
    pub fn update_share(&mut self, tenant_move: &TenantMove, unix_ms: u64, paused: bool) -> f64 {
        let Some(since) = tenant_move.phase.since() else {
            let prepared = MoveProgress { since: None, share: 0.0, updated: unix_ms };
            self.moves.insert(tenant_move.tenant.clone(), prepared);
            return 0.0;
        };
        let file_share = tenant_move.moved_share(unix_ms);
        let known = self.moves.get_mut(&tenant_move.tenant);
        let Some(progress) = known.filter(|known| known.since.is_none_or(|known| known == since)) else {
            let new = MoveProgress { since: Some(since), share: file_share, updated: unix_ms };
            self.moves.insert(tenant_move.tenant.clone(), new);
            return file_share;
        };
        progress.since = Some(since);
        let elapsed = unix_ms.saturating_sub(progress.updated);
        let step = elapsed as f64 / tenant_move.over_ms.max(1) as f64;
        // If the clock goes back, sessions that have moved stay in the target cells.
        progress.updated = progress.updated.max(unix_ms);
        if matches!(tenant_move.phase, MovePhase::Back { .. }) {
            progress.share = progress.share.min(file_share);
        } else if !paused {
            progress.share = file_share.min(progress.share + step).max(progress.share);
        }
        progress.share
    }

    /// The share of a tenant's sessions that have moved at this node; `None` if the node does not track the move.
    pub fn current_share(&self, tenant: &str) -> Option<f64> {
        self.moves.get(tenant).map(|progress| progress.share)
    }

    /// Drops all moves except those of known tenants.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.moves.retain(|tenant, _| is_known(tenant));
    }
}
