//! The stages from a start to full service.

use serde::{Deserialize, Serialize};

/// The stages of a node's recovery, in their order. Their names in JSON are fixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The node loads its stored state.
    #[serde(rename = "Reading")]
    LoadingState,
    /// The node queries peers to learn whether the fleet is in service.
    #[serde(rename = "Asking")]
    QueryingPeers,
    /// The whole fleet has lost power: requests are admitted at the rate that cold engines can serve.
    #[serde(rename = "Careful")]
    SlowStart,
    /// All requests are admitted.
    Serving,
}
