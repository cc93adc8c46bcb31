//! A node's own health. It scales the node's timeouts, so that an unhealthy node does not accuse healthy
//! peers (Lifeguard's local health multiplier).

use crate::Micros;

/// The worst score, at which every timeout is nine times as long.
const MAX_LOCAL_HEALTH_SCORE: u32 = 8;

/// How much evidence a node has that it is itself unhealthy.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Lowers the score after a probe was acknowledged.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Raises the score after evidence that this node is unhealthy: a failed probe on which not every relay
    /// reported, a suspicion of this node, or a tick that came late.
    pub(crate) fn degrade(&mut self, penalty: u32) {
        self.score = (self.score + penalty).min(MAX_LOCAL_HEALTH_SCORE);
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
