//! The status document of a node's fleet. Its JSON names are fixed.

use serde::Serialize;

use crate::member_table::{Member, MemberState};
use crate::Micros;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Packets sent.
    #[serde(rename = "sent")]
    pub packets_sent: u64,
    /// Bytes of the packets sent.
    #[serde(rename = "bytes")]
    pub bytes_sent: u64,
    /// Packets received and decoded.
    #[serde(rename = "received")]
    pub packets_received: u64,
    /// Packets that were damaged or invalid.
    #[serde(rename = "garbled")]
    pub malformed: u64,
    /// Packets of another fleet, or of another version of the wire format.
    pub foreign: u64,
    /// Probes sent.
    pub probes: u64,
    /// Probes that nobody acknowledged.
    pub unanswered: u64,
    /// Suspicions of this node that it has refuted.
    pub refuted: u64,
    /// Ticks that came so late that the process must have been paused.
    pub paused: u64,
    /// Facts received by anti-entropy.
    pub repaired: u64,
    /// How often peers knew a later boot number of this node than its own.
    #[serde(rename = "disk_went_back")]
    pub outdated_incarnations: u64,
}

/// A peer in the status document.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The address that it advertises.
    pub address: String,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// The boot number of its process.
    pub boot: u64,
    /// Milliseconds since it entered its state.
    #[serde(rename = "for_ms")]
    pub state_age_ms: u64,
}

impl PeerStatus {
    pub(crate) fn new(member: &Member, now: Micros) -> PeerStatus {
        PeerStatus {
            name: member.name().to_string(),
            zone: member.zone().to_string(),
            address: member.address().to_string(),
            state: member.state(),
            boot: member.incarnation().boot,
            state_age_ms: now.saturating_sub(member.since) / MICROS_PER_MILLISECOND,
        }
    }
}

/// A node's view of its fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The node's own name.
    pub name: String,
    /// The boot number of its process; raised if peers knew a later one.
    pub boot: u64,
    /// Lifeguard's local health score, 0 (healthy) to 8.
    #[serde(rename = "doubt")]
    pub local_health_score: u32,
    /// Whether this process has stopped: it yielded its name to another process, or it has left the fleet.
    #[serde(rename = "stepped_back")]
    pub has_stopped: bool,
    /// The peers.
    pub peers: Vec<PeerStatus>,
    /// Number of facts that it knows.
    pub facts: usize,
    /// Number of updates that it is still gossiping.
    #[serde(rename = "news")]
    pub queued_gossip: usize,
    /// Its counters.
    pub counters: Counters,
}
