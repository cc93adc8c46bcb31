//! Names of nodes, and the identity of one process under such a name.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A node's name. It stays the same when the node's process restarts.
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

/// Identifies one run of a node's process. Later incarnations compare greater.
///
/// The boot number is counted on the node's disk. The nonce is drawn at random at each start, so that two
/// processes with the same boot number are distinguished. Such processes occur if the disk was lost or
/// restored from an older image, or if the node was started twice. SWIM's incarnation is a different number: a running process raises it to
/// refute a suspicion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessIncarnation {
    /// Number of this start of the node, counted on its disk; raised if peers know a later one.
    pub boot: u64,
    /// Drawn at random at the start of the process.
    pub nonce: u64,
}

/// Length of the longest name of a node, a zone or a fleet.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// Whether a name may be used on the wire.
pub(crate) fn is_valid_name(name: &PeerName) -> bool {
    !name.0.is_empty() && name.0.len() <= MAX_NAME_BYTES
}
