//! A node's own health, weighed in before it accuses others (Lifeguard's local health multiplier).

use crate::Micros;

/// The worst it can be: everything then takes nine times as long.
const MAX_LOCAL_HEALTH_SCORE: u32 = 8;

/// How much a node has reason to doubt itself.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    doubt: u32,
}

impl Health {
    /// A probe was answered.
    pub(crate) fn better(&mut self) {
        self.doubt = self.doubt.saturating_sub(1);
    }

    /// Something that a sound node would not see: a probe that even helpers could not report on, a
    /// suspicion of itself, a tick that came late.
    pub(crate) fn worse(&mut self, by: u32) {
        self.doubt = (self.doubt + by).min(MAX_LOCAL_HEALTH_SCORE);
    }

    /// A span, stretched by the doubt.
    pub(crate) fn stretch(&self, span: Micros) -> Micros {
        span.saturating_mul(u64::from(self.doubt) + 1)
    }

    /// Reasons for doubt, 0 to 8.
    pub(crate) fn doubt(&self) -> u32 {
        self.doubt
    }
}
