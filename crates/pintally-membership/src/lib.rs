//! Fleet membership and gossip: which nodes are alive, and small versioned facts that they publish.
//!
//! The crate is a state machine without input or output: datagrams and the time go in, datagrams and
//! events come out. It opens no sockets, starts no threads and reads no clocks.
//!
//! Failure detection follows SWIM (Das, Gupta, Motivala 2002) with Lifeguard's three refinements (Dadgar,
//! Phillips, Currey 2017): a node scales its timeouts by its own health, so that an unhealthy node does not
//! accuse healthy peers; a suspicion times out sooner the more nodes confirm it; and messages to a suspect
//! tell it of the suspicion first. Updates that gossip did not deliver are repaired by comparing digests
//! (anti-entropy, Demers and others 1987). `docs/membership.md` gives bounds and costs.
//!
//! Two different numbers are called incarnation:
//!
//! - SWIM's *incarnation* is a counter that a member raises to refute a suspicion of itself;
//! - a [`ProcessIncarnation`] identifies one run of a node's process. It takes precedence over SWIM's
//!   incarnation.

#![deny(missing_docs)]

mod event;
mod fact;
mod gossip_queue;
mod identity;
mod local_health;
mod member_table;
mod membership;
mod packet;
mod settings;
mod status;

pub use event::{MembershipEvent, Output};
pub use fact::{GossipError, GossipFact, Topic, MAX_PAYLOAD_BYTES, MAX_TOPICS_PER_NODE};
pub use identity::{PeerName, ProcessIncarnation};
pub use member_table::{Member, MemberState};
pub use membership::Membership;
pub use packet::{MAX_DATAGRAM_BYTES, MAX_DIRECT_MESSAGE_BYTES};
pub use pintally_validation::InvalidConfiguration;
pub use settings::Settings;
pub use status::{Counters, PeerStatus, Status};

/// Microseconds on the node's own monotonic clock.
pub type Micros = u64;
