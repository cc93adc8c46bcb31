//! The wire format: a version, a checksum, and a packet encoded by postcard.
//!
//! Postcard encodes fields and variants by their order, without names: the order is part of the wire format,
//! and names may change. A packet that cannot be decoded in full is dropped and counted; no part of it is
//! applied.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::fact::{GossipFact, Topic};
use crate::identity::{is_valid_name, PeerName, ProcessIncarnation};
use crate::member_table::MemberUpdate;

/// Target size of a datagram: common links carry it without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Largest payload of a direct message that is sent, so that it fits into a datagram with the packet's
/// header.
pub const MAX_DIRECT_MESSAGE_BYTES: usize = 1100;
/// Version of the wire format, the first byte of every packet.
const WIRE_VERSION: u8 = 1;
/// Size of the version and the checksum.
const HEADER_BYTES: usize = 5;

/// A packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    /// Hash of the fleet's name.
    pub(crate) fleet: u64,
    /// The sender.
    pub(crate) from: PeerName,
    /// The sender's process.
    pub(crate) process_incarnation: ProcessIncarnation,
    pub(crate) message: Message,
    /// Piggybacked updates on members. Some messages carry the sender's own update.
    pub(crate) updates: Vec<MemberUpdate>,
    /// Piggybacked facts.
    pub(crate) facts: Vec<GossipFact>,
}

/// The purpose of a packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Asks for an acknowledgement. The target is named, so that another node that has taken over its
    /// address does not answer. A seed is pinged without a name.
    Ping { sequence: u32, target: Option<PeerName> },
    /// Acknowledges a ping.
    Ack { sequence: u32 },
    /// Asks the receiver to ping the target on behalf of the sender.
    PingRequest { sequence: u32, target: PeerName, address: SocketAddr },
    /// Reports that a ping on behalf of the receiver has had no acknowledgement yet.
    Nack { sequence: u32 },
    /// One part of a digest of all members and facts that the sender knows. The receiver replies with what
    /// differs or is missing.
    Digest { part: u16, parts: u16, entries: Vec<DigestEntry>, reply_expected: bool },
    /// Carries only updates and facts.
    Gossip,
    /// A message of the application to this receiver alone.
    Direct { topic: Topic, payload: Vec<u8> },
    /// The sender leaves the fleet.
    Leave,
}

/// Why bytes are not a packet of this fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PacketError {
    /// The bytes are damaged, or they are not a packet.
    Malformed,
    /// The packet belongs to another fleet, or to another version of the wire format.
    Foreign,
}

/// Represents one update or fact in a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct DigestEntry {
    /// Hash of the subject: a member, or the origin and topic of a fact.
    pub(crate) key: u64,
    /// Hash of the version.
    pub(crate) version: u32,
}

impl DigestEntry {
    pub(crate) fn of_update(update: &MemberUpdate) -> DigestEntry {
        DigestEntry {
            key: hash_key(KeyKind::Member, &update.name, Topic(0)),
            version: hash_version(&update.precedence()),
        }
    }

    pub(crate) fn of_fact(fact: &GossipFact) -> DigestEntry {
        DigestEntry {
            key: hash_key(KeyKind::Fact, &fact.origin, fact.topic),
            version: hash_version(&(fact.process_incarnation, fact.version)),
        }
    }
}

/// Makes the hashes of equal names differ by their use. The numbers are part of the wire format.
#[derive(Clone, Copy)]
enum KeyKind {
    Member = 0,
    Fact = 1,
    Accuser = 2,
}

/// Identifies a fleet on the wire.
pub(crate) fn hash_fleet(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Identifies the accuser of a suspect on the wire.
pub(crate) fn hash_accuser(name: &PeerName) -> u64 {
    hash_key(KeyKind::Accuser, name, Topic(0))
}

fn hash_key(kind: KeyKind, name: &PeerName, topic: Topic) -> u64 {
    let mut bytes = vec![kind as u8, topic.0];
    bytes.extend_from_slice(name.0.as_bytes());
    xxh3_64(&bytes)
}

fn hash_version(version: &impl Serialize) -> u32 {
    // Encoding plain data does not fail. If it did, the version would be 0 and the entry would count as
    // different.
    postcard::to_stdvec(version).map_or(0, |bytes| xxh3_64(&bytes) as u32)
}

impl Packet {
    /// The packet as bytes; empty if it cannot be encoded.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let Ok(body) = postcard::to_stdvec(self) else { return Vec::new() };
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.push(WIRE_VERSION);
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        bytes
    }

    /// Decodes a packet of this fleet.
    pub(crate) fn decode(bytes: &[u8], fleet: u64) -> Result<Packet, PacketError> {
        let (header, body) = bytes.split_at_checked(HEADER_BYTES).ok_or(PacketError::Malformed)?;
        if header[0] != WIRE_VERSION {
            return Err(PacketError::Foreign);
        }
        if crc32fast::hash(body).to_le_bytes() != header[1..] {
            return Err(PacketError::Malformed);
        }
        let packet: Packet = postcard::from_bytes(body).map_err(|_| PacketError::Malformed)?;
        if packet.fleet != fleet {
            return Err(PacketError::Foreign);
        }
        if !packet.is_valid() {
            return Err(PacketError::Malformed);
        }
        Ok(packet)
    }

    fn is_valid(&self) -> bool {
        is_valid_name(&self.from)
            && self.updates.iter().all(MemberUpdate::is_valid)
            && self.facts.iter().all(GossipFact::is_valid)
    }
}

#[cfg(test)]
mod tests;
