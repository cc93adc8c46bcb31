//! The probe that is under way, and those made for others.

use std::net::SocketAddr;

use crate::identity::PeerName;
use crate::Micros;

/// This node's own probe of a peer.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) whom: PeerName,
    pub(crate) number: u32,
    /// Helpers are asked at this time, if they have not been.
    pub(crate) help_at: Micros,
    /// And then the peer is suspected.
    pub(crate) ends_at: Micros,
    /// Helpers that were asked, and how many of them said at least that they had no answer.
    pub(crate) asked: usize,
    pub(crate) heard: usize,
}

/// A probe made for somebody else.
#[derive(Clone, Debug)]
pub(crate) struct Errand {
    /// Who asked, and under which number.
    pub(crate) back: SocketAddr,
    pub(crate) number: u32,
    /// By when it says that it has had no answer.
    pub(crate) by: Micros,
}

/// Probes for others at once: more are not taken on.
pub(crate) const MAX_ERRANDS: usize = 256;
