//! Small versioned facts that nodes publish to the whole fleet by gossip.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::identity::{is_valid_name, PeerName, ProcessIncarnation};
use crate::member_table::MAX_MEMBERS;

/// Largest payload of a fact, so that several facts fit into one datagram.
pub const MAX_PAYLOAD_BYTES: usize = 400;
/// Greatest number of topics on which one node may publish facts.
pub const MAX_TOPICS_PER_NODE: usize = 16;
/// Greatest number of facts of the whole fleet that a node stores, so that no peer can exhaust its memory.
const MAX_STORED_FACTS: usize = MAX_MEMBERS * 4;

/// The subject of a fact or a direct message. Each package that uses membership assigns its own numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Topic(pub u8);

/// A fact that a node publishes on a topic. Only its origin makes new versions of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipFact {
    /// The node that published it.
    pub origin: PeerName,
    /// Its subject.
    pub topic: Topic,
    /// The process that published it. A fact of a later process takes precedence, whatever its version.
    pub process_incarnation: ProcessIncarnation,
    /// Counts the versions that one process has published.
    pub version: u64,
    /// The content; empty if the fact was withdrawn.
    pub payload: Vec<u8>,
}

impl GossipFact {
    /// Orders two versions of one fact.
    fn precedence(&self) -> (ProcessIncarnation, u64) {
        (self.process_incarnation, self.version)
    }

    /// Whether the fact may be accepted from the wire.
    pub(crate) fn is_valid(&self) -> bool {
        is_valid_name(&self.origin) && self.payload.len() <= MAX_PAYLOAD_BYTES && self.version > 0
    }
}

/// Why a fact was not published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipError {
    /// The payload exceeds [`MAX_PAYLOAD_BYTES`].
    PayloadTooLarge,
    /// The node publishes on [`MAX_TOPICS_PER_NODE`] topics already.
    TooManyTopics,
}

impl fmt::Display for GossipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GossipError::PayloadTooLarge => {
                write!(f, "the payload of a fact must not exceed {MAX_PAYLOAD_BYTES} bytes")
            }
            GossipError::TooManyTopics => {
                write!(f, "a node must not publish facts on more than {MAX_TOPICS_PER_NODE} topics")
            }
        }
    }
}

impl std::error::Error for GossipError {}

/// Identifies a fact: its origin and its topic.
pub(crate) type FactKey = (PeerName, Topic);

/// The newest known version of each fact.
#[derive(Default)]
pub(crate) struct FactStore {
    facts: BTreeMap<FactKey, GossipFact>,
}

impl FactStore {
    pub(crate) fn get(&self, key: &FactKey) -> Option<&GossipFact> {
        self.facts.get(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &GossipFact> {
        self.facts.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.facts.len()
    }

    /// Stores a fact if it is newer than the known version; returns whether it was stored.
    pub(crate) fn insert_if_newer(&mut self, fact: GossipFact) -> bool {
        let key = (fact.origin.clone(), fact.topic);
        let accepted = match self.facts.get(&key) {
            Some(known) => fact.precedence() > known.precedence(),
            None => {
                self.topic_count(&fact.origin) < MAX_TOPICS_PER_NODE && self.facts.len() < MAX_STORED_FACTS
            }
        };
        if accepted {
            self.facts.insert(key, fact);
        }
        accepted
    }

    /// Topics on which a node has published.
    pub(crate) fn topic_count(&self, origin: &PeerName) -> usize {
        let first = (origin.clone(), Topic(0));
        self.facts.range(first..).take_while(|(key, _)| key.0 == *origin).count()
    }

    /// Removes the facts of a peer that is no longer remembered.
    pub(crate) fn remove_origin(&mut self, origin: &PeerName) {
        self.facts.retain(|(name, _), _| name != origin);
    }
}
