//! What holders and the lender tell each other. Each may be lost, doubled, late or out of order.

use serde::{Deserialize, Serialize};

use crate::limit::LimitId;

/// Asks, or grants, in one message: with what stands around them they stay below a datagram.
pub const MAX_ENTRIES_PER_MESSAGE: usize = 40;

/// A holder asks for a share, and by this gives back what it holds no longer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Of which limit.
    pub limit: LimitId,
    /// Counts the asks of this holder's life for this limit. A grant for an earlier one is void.
    pub number: u32,
    /// What it holds, and will not exceed before it is granted more.
    #[serde(rename = "holds")]
    pub held: f32,
    /// What it could use.
    #[serde(rename = "wants")]
    pub wanted: f32,
}

/// A lender's answer to one ask.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Of which limit.
    pub limit: LimitId,
    /// Which ask it answers.
    pub number: u32,
    /// What the holder has from now on, until its lease ends.
    #[serde(rename = "share")]
    pub granted: f32,
    /// The whole limit as it is now.
    pub most: f64,
}
