//! Small versioned facts: who said it, in which life, in which order.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::identity::{sound, PeerName, ProcessIncarnation};
use crate::members::MAX_MEMBERS;

/// Bytes of a fact at the most: several fit into a datagram.
pub const MAX_PAYLOAD_BYTES: usize = 400;
/// Topics that one node may speak on.
pub const MAX_FACTS: usize = 16;

/// What a fact is about; each package of the fleet has its own numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Topic(pub u8);

/// Something that a node says of itself, or of what it knows. Only its origin makes new versions of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipFact {
    /// Who says it.
    pub origin: PeerName,
    /// What it is about.
    pub topic: Topic,
    /// In which life it was said; a later life's word wins whatever its version.
    pub life: ProcessIncarnation,
    /// Counts the versions within a life.
    pub version: u64,
    /// What is said; empty where it was taken back.
    pub payload: Vec<u8>,
}

impl GossipFact {
    fn rank(&self) -> (ProcessIncarnation, u64) {
        (self.life, self.version)
    }

    pub(crate) fn sound(&self) -> bool {
        sound(&self.origin) && self.payload.len() <= MAX_PAYLOAD_BYTES && self.version > 0
    }
}

/// Why a fact was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipError {
    /// It is longer than a fact may be.
    TooLong,
    /// The node speaks on too many topics.
    TooMany,
}

impl fmt::Display for GossipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GossipError::TooLong => write!(f, "a fact holds at most {MAX_PAYLOAD_BYTES} bytes"),
            GossipError::TooMany => write!(f, "a node speaks on at most {MAX_FACTS} topics"),
        }
    }
}

impl std::error::Error for GossipError {}

/// All facts that are known, the newest of each origin and topic.
#[derive(Default)]
pub(crate) struct Facts {
    all: BTreeMap<(PeerName, Topic), GossipFact>,
}

impl Facts {
    pub(crate) fn get(&self, key: &(PeerName, Topic)) -> Option<&GossipFact> {
        self.all.get(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &GossipFact> {
        self.all.values()
    }

    /// Takes a fact in if it is newer; whether it was.
    pub(crate) fn take(&mut self, fact: GossipFact) -> bool {
        let key = (fact.origin.clone(), fact.topic);
        match self.all.get(&key) {
            Some(known) if known.rank() >= fact.rank() => false,
            None if self.count(&fact.origin) >= MAX_FACTS || self.all.len() >= MAX_MEMBERS * 4 => false,
            _ => {
                self.all.insert(key, fact);
                true
            }
        }
    }

    /// Topics on which a node has spoken.
    pub(crate) fn count(&self, origin: &PeerName) -> usize {
        let from = (origin.clone(), Topic(0));
        self.all.range(from..).take_while(|(k, _)| k.0 == *origin).count()
    }

    /// Drops what a forgotten peer has said.
    pub(crate) fn forget(&mut self, origin: &PeerName) {
        self.all.retain(|(name, _), _| name != origin);
    }
}
