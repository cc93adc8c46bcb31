//! A node's own health, considered before it accuses others (Lifeguard's local health multiplier).

use crate::Micros;

/// The worst score: every timeout is then nine times as long.
const MAX_LOCAL_HEALTH_SCORE: u32 = 8;

/// How much evidence a node has that it is itself unhealthy.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// A probe was acknowledged.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Something happened that a healthy node would not see: a probe that even the relays could not
    /// report on, a suspicion of this node, a tick that came late.
    pub(crate) fn degrade(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_LOCAL_HEALTH_SCORE);
    }

    /// A timeout, multiplied by the score plus one.
    pub(crate) fn scale(&self, timeout: Micros) -> Micros {
        timeout.saturating_mul(u64::from(self.score) + 1)
    }

    /// 0 (healthy) to 8.
    pub(crate) fn score(&self) -> u32 {
        self.score
    }
}
