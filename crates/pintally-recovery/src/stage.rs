//! The stages from a start to full service.

use serde::{Deserialize, Serialize};

/// A node's stage of recovery, in the order in which they follow. Its JSON spelling is fixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The node loads its stored state.
    #[serde(rename = "Reading")]
    LoadingState,
    /// The node queries peers whether the fleet is in service.
    #[serde(rename = "Asking")]
    QueryingPeers,
    /// The whole fleet has lost power: requests are admitted at the rate that cold engines can serve.
    #[serde(rename = "Careful")]
    SlowStart,
    /// All requests are admitted.
    Serving,
}
