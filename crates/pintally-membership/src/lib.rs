//! Who is in the fleet, and small versioned facts that its nodes tell each other.
//!
//! Bytes in, bytes out, time handed in: no sockets, threads or clocks. Probing and suspicion follow
//! SWIM (Das, Gupta, Motivala 2002) with Lifeguard's three refinements (Dadgar, Phillips, Currey 2017):
//! a node weighs its own health before it accuses others, suspicion ends sooner the more nodes share
//! it, and who is suspected hears of it first. What spread has missed is repaired by comparing digests
//! (Demers and others 1987). `docs/peers.md` gives bounds and costs.

mod facts;
mod health;
mod identity;
mod members;
mod packet;
mod peers;
mod probe;
mod settings;
mod spread;
mod status;

pub use facts::{GossipError, GossipFact, Topic, MAX_FACTS, MAX_PAYLOAD_BYTES};
pub use identity::{PeerName, ProcessIncarnation};
pub use members::{Member, MemberState};
pub use packet::{MAX_DATAGRAM, MAX_WORD};
pub use peers::{Membership, MembershipEvent, Output};
pub use pintally_validation::InvalidConfiguration;
pub use settings::Settings;
pub use status::{Counters, PeerStatus, Status};

/// Microseconds on the node's own clock, which never goes back.
pub type Micros = u64;
