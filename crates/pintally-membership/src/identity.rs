//! What tells peers, and the lives of one peer, apart.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A node's name, the same over all of its lives.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerName(pub Arc<str>);

impl From<&str> for PeerName {
    fn from(name: &str) -> PeerName {
        PeerName(name.into())
    }
}

impl fmt::Display for PeerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One life of a process. Boots are counted on the node's disk; the mark is drawn at each start, so that
/// two lives with one number (a disk that was lost or went back, a node started twice) are told apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessIncarnation {
    /// Which life it is, as far as the node knows; raised when peers remember a later one.
    pub boot: u64,
    /// Drawn at random at the start.
    pub mark: u64,
}

/// Bytes of the longest name.
pub(crate) const MAX_NAME: usize = 64;

/// Whether a name may be used on the wire.
pub(crate) fn sound(name: &PeerName) -> bool {
    !name.0.is_empty() && name.0.len() <= MAX_NAME
}
