//! What the state machine asks its caller to do.

use std::net::SocketAddr;

use crate::fact::Topic;
use crate::identity::{PeerName, ProcessIncarnation};
use crate::Micros;

/// An action for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send these bytes to this address.
    Datagram(SocketAddr, Vec<u8>),
    /// Handle a change.
    Event(MembershipEvent),
}

/// A change in the fleet, or in this node's own membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A peer is alive: it is new, it came back, or its process restarted.
    MemberUp(PeerName, ProcessIncarnation),
    /// A peer is suspected of having failed.
    MemberSuspected(PeerName),
    /// A peer was declared dead.
    MemberDown(PeerName),
    /// A peer has announced that it leaves the fleet.
    MemberLeft(PeerName),
    /// A new version of a fact was received.
    FactReceived(PeerName, Topic),
    /// A peer sent a message to this node alone.
    DirectMessage(PeerName, Topic, Vec<u8>),
    /// Peers know a later boot number of this node than its disk held: the disk was lost or restored from an
    /// older image. The caller must store `new_boot`.
    StoredIncarnationOutdated {
        /// The boot number that this node had until now.
        previous_boot: u64,
        /// The boot number under which this node continues.
        new_boot: u64,
    },
    /// Another process runs under this node's name; this one has yielded the name and sends nothing more.
    NameYielded,
    /// This process did not run for this long: it was paused or swapped out.
    PauseDetected(Micros),
}
