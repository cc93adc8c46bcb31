//! What a node tells of its fleet.

use serde::Serialize;

use crate::members::MemberState;

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Packets and bytes sent.
    pub sent: u64,
    /// Bytes of them.
    pub bytes: u64,
    /// Packets taken in.
    pub received: u64,
    /// Packets that could not be read.
    pub garbled: u64,
    /// Packets of another fleet or version.
    pub foreign: u64,
    /// Probes made.
    pub probes: u64,
    /// Probes that nobody answered.
    pub unanswered: u64,
    /// Suspicions of this node that it has refuted.
    pub refuted: u64,
    /// Ticks that came so late that the process must have stood still.
    pub paused: u64,
    /// Pieces that a comparison of digests has brought.
    pub repaired: u64,
    /// Times that peers remembered a later boot than the disk did.
    pub disk_went_back: u64,
}

/// A peer, as it is told to people.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where peers reach it.
    pub address: String,
    /// How it stands.
    pub standing: MemberState,
    /// Which life it is in.
    pub boot: u64,
    /// For how long it has stood so, in milliseconds.
    pub for_ms: u64,
}

/// What a node tells of its fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Its own name.
    pub name: String,
    /// Its own boot, raised if peers remembered a later one.
    pub boot: u64,
    /// How much it doubts itself, 0 to 8.
    pub doubt: u32,
    /// It has stepped back, because another process runs under its name.
    #[serde(rename = "stepped_back")]
    pub has_yielded_name: bool,
    /// The others.
    pub peers: Vec<PeerStatus>,
    /// Facts that it knows.
    pub facts: usize,
    /// News that it still passes on.
    pub news: usize,
    /// Its counts.
    pub counters: Counters,
}
