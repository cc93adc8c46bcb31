//! The pace of a move at this node: no faster than the file says, and held while it would harm.
//!
//! The file says how far a move may have come. While the receiving cell is late or short of engines
//! the node lets no further session go, and afterwards goes on at the file's pace, so that what was
//! held does not come all at once. The same holds for a node that hears late that sessions may go: it
//! lets them go at the pace, not all at once that went elsewhere meanwhile. Sessions that are over
//! stay over. A node that restarts, or has never heard that the move was announced, begins at the
//! file's share: a session's cell decides where its texts are kept, not whether it is served.

use std::collections::BTreeMap;

use crate::moves::{Move, Step};

#[derive(Clone, Copy, Debug)]
struct Going {
    since: u64,
    share: f64,
    at: u64,
}

/// How far each move has come at this node.
#[derive(Clone, Debug, Default)]
pub struct MoveRateController {
    moves: BTreeMap<String, Going>,
}

impl MoveRateController {
    /// The share of a tenant's sessions that are over here, at a time and with the receiving cell
    /// pressed or not.
    pub fn share(&mut self, one: &Move, unix_ms: u64, pressed: bool) -> f64 {
        let file = one.share(unix_ms);
        let since = match one.step {
            Step::Prepare => {
                let waits = Going { since: 0, share: 0.0, at: unix_ms };
                self.moves.insert(one.tenant.clone(), waits);
                return 0.0;
            }
            Step::Both { since } | Step::Done { since } | Step::Back { since, .. } => since,
        };
        let fresh = Going { since, share: file, at: unix_ms };
        let going = match self.moves.get_mut(&one.tenant) {
            Some(going) if going.since == since => going,
            Some(going) if going.since == 0 => {
                going.since = since;
                going
            }
            _ => {
                self.moves.insert(one.tenant.clone(), fresh);
                return file;
            }
        };
        let passed = unix_ms.saturating_sub(going.at) as f64 / one.over_ms.max(1) as f64;
        // Clocks may step back; what has gone stays gone.
        going.at = going.at.max(unix_ms);
        if matches!(one.step, Step::Back { .. }) {
            going.share = going.share.min(file);
        } else if !pressed {
            going.share = file.min(going.share + passed).max(going.share);
        }
        going.share
    }

    /// How far a tenant's move has come here, if it has begun.
    pub fn of(&self, tenant: &str) -> Option<f64> {
        self.moves.get(tenant).map(|g| g.share)
    }

    /// Forgets moves that are over.
    pub fn keep(&mut self, known: impl Fn(&str) -> bool) {
        self.moves.retain(|t, _| known(t));
    }
}
