//! The state of a replica that has to survive a power loss.
//!
//! Postcard encodes fields by position: their order is the format of the stored bytes.

use serde::{Deserialize, Serialize};

use crate::log::Log;
use crate::ReplicaName;

/// The persisted state; it is always written as a whole.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct PersistentState {
    /// The latest term that the replica knows.
    pub(crate) current_term: u64,
    /// The candidate for which it voted in that term.
    pub(crate) voted_for: Option<ReplicaName>,
    /// Whether the replica has ever been part of a running group.
    pub(crate) initialized: bool,
    /// The log with its snapshot.
    pub(crate) log: Log,
}

impl PersistentState {
    /// Decodes a persisted state; `None` if the bytes are corrupt.
    pub(crate) fn decode(bytes: &[u8]) -> Option<PersistentState> {
        postcard::from_bytes(bytes).ok()
    }

    /// Encodes the state for persisting.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
