//! Messages between holders and the granter. Each may be lost, duplicated, delayed or reordered.
//!
//! Postcard encodes fields by position: their order is the wire format.

use serde::{Deserialize, Serialize};

use crate::limit::LimitId;

/// Requests or grants in one message: together with its other fields a message stays below the size of a
/// datagram.
pub const MAX_ENTRIES_PER_MESSAGE: usize = 40;

/// A holder asks for an allocation of a limit, and thereby returns what it no longer holds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The limit.
    pub limit: LimitId,
    /// Counts the requests of this holder's incarnation for this limit. A grant for an earlier request is
    /// void.
    pub number: u32,
    /// The allocation that it holds, and will not exceed before it is granted more.
    #[serde(rename = "holds")]
    pub held: f32,
    /// The allocation that it could use.
    #[serde(rename = "wants")]
    pub wanted: f32,
}

/// The granter's answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The limit.
    pub limit: LimitId,
    /// The number of the request that it answers.
    pub number: u32,
    /// The allocation of the holder from now on, until its lease expires.
    #[serde(rename = "share")]
    pub granted: f32,
    /// The current amount of the whole limit.
    #[serde(rename = "most")]
    pub limit_amount: f64,
}
