//! The rate of moves at this node: no faster than the cells file says, and paused while a move would harm.
//!
//! The file says how far a move may have come. While the target cell is overloaded or short of engines the node
//! moves no further session, and afterwards continues at the file's rate, so that the sessions of the pause do not
//! move all at once. The same holds for a node that learns late that sessions may move. Sessions that have moved
//! stay. A node that restarts, or has never seen the move prepared, starts at the file's share: a session's cell
//! decides where its prefixes are cached, not whether it is served.

use std::collections::BTreeMap;

use crate::moves::{MovePhase, TenantMove};

/// The state of one move at this node.
#[derive(Clone, Copy, Debug)]
struct MoveProgress {
    /// When the move began, by the file; `None` while it is only prepared.
    since: Option<u64>,
    /// The share of sessions that have moved.
    share: f64,
    /// When the share was last updated.
    updated: u64,
}

/// Tracks how far each move has come at this node.
#[derive(Clone, Debug, Default)]
pub struct MoveRateController {
    moves: BTreeMap<String, MoveProgress>,
}

impl MoveRateController {
    /// The share of a tenant's sessions that have moved at this node; `paused` says whether the target cell must
    /// get no further session.
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
        // The clock may go back; sessions that have moved stay.
        progress.updated = progress.updated.max(unix_ms);
        if matches!(tenant_move.phase, MovePhase::Back { .. }) {
            progress.share = progress.share.min(file_share);
        } else if !paused {
            progress.share = file_share.min(progress.share + step).max(progress.share);
        }
        progress.share
    }

    /// How far a tenant's move has come at this node; `None` if it is not known here.
    pub fn current_share(&self, tenant: &str) -> Option<f64> {
        self.moves.get(tenant).map(|progress| progress.share)
    }

    /// Forgets all moves but those of known tenants.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.moves.retain(|tenant, _| is_known(tenant));
    }
}
