//! Messages between holders and the granter. Each may be lost, duplicated, delayed or reordered.
//!
//! Postcard encodes fields by position: their order is the wire format.

use serde::{Deserialize, Serialize};

use crate::limit::LimitId;

/// The maximum number of requests or grants in one message, so that with its other fields a message fits
/// into a datagram.
pub const MAX_ENTRIES_PER_MESSAGE: usize = 40;

/// A holder's request for an allocation of a limit. It also returns what the holder no longer holds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The limit.
    pub limit: LimitId,
    /// The sequence number of the request among those of this holder's incarnation for this limit. A grant
    /// for an earlier request is void.
    pub number: u32,
    /// The allocation that the holder holds, and does not exceed until it is granted more.
    #[serde(rename = "holds")]
    pub held: f32,
    /// The allocation that the holder could use.
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
