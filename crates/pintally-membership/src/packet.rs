//! Packets: postcard behind a checksum. What cannot be read is dropped and counted, never guessed at.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::facts::{GossipFact, Topic};
use crate::identity::{PeerName, ProcessIncarnation};
use crate::members::Word;

/// Bytes of a packet at the most: below what common links carry in one piece.
pub const MAX_DATAGRAM: usize = 1400;
/// Bytes of what is told to one peer alone: with its head it fills a datagram.
pub const MAX_WORD: usize = 1100;
/// The wire's version, first in every packet.
const VERSION: u8 = 1;

/// A packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    /// The fleet, by a hash of its name.
    pub(crate) fleet: u64,
    /// The sender.
    pub(crate) from: PeerName,
    pub(crate) life: ProcessIncarnation,
    pub(crate) body: Body,
    /// News on peers, the sender itself among them while it is new.
    pub(crate) words: Vec<Word>,
    pub(crate) facts: Vec<GossipFact>,
}

/// What a packet is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Are you there? Names who is meant, so that another node under an old address does not answer.
    Ping { number: u32, to: Option<PeerName> },
    /// I am.
    Ack { number: u32 },
    /// Ask this peer for me.
    Ask { number: u32, whom: PeerName, address: SocketAddr },
    /// I asked, and have had no answer yet.
    Nothing { number: u32 },
    /// What I know, as hashes: the receiver sends what differs or is missing.
    Digest { part: u16, of: u16, known: Vec<(u64, u32)>, answer: bool },
    /// News alone.
    News,
    /// Something for the receiver alone.
    Word { topic: Topic, payload: Vec<u8> },
    /// I go.
    Leaving,
}

/// Why bytes are no packet of this fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unread {
    /// They cannot be read.
    Garbled,
    /// Another fleet's, or another version of the wire.
    Foreign,
}

/// The fleet's number on the wire.
pub(crate) fn fleet_number(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// What stands for a piece in a digest: where it belongs, and what it says.
pub(crate) fn digest_of_word(word: &Word) -> (u64, u32) {
    (piece(0, &word.name, 0), said(&word.rank()))
}

/// The same of a fact.
pub(crate) fn digest_of_fact(fact: &GossipFact) -> (u64, u32) {
    (piece(1, &fact.origin, fact.topic.0), said(&(fact.life, fact.version)))
}

/// Where a piece belongs, as a number.
pub(crate) fn piece(kind: u8, name: &PeerName, topic: u8) -> u64 {
    let mut bytes = vec![kind, topic];
    bytes.extend_from_slice(name.0.as_bytes());
    xxh3_64(&bytes)
}

fn said(what: &impl Serialize) -> u32 {
    // Plain data always goes into bytes; if it did not, the piece would count as differing.
    postcard::to_stdvec(what).map_or(0, |bytes| xxh3_64(&bytes) as u32)
}

impl Packet {
    /// The packet as bytes, or nothing if it cannot be written.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![VERSION, 0, 0, 0, 0];
        let Ok(body) = postcard::to_stdvec(self) else { return Vec::new() };
        bytes[1..5].copy_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        bytes
    }

    /// Reads a packet of this fleet.
    pub(crate) fn decode(bytes: &[u8], fleet: u64) -> Result<Packet, Unread> {
        let (head, body) = bytes.split_at_checked(5).ok_or(Unread::Garbled)?;
        if head[0] != VERSION {
            return Err(Unread::Foreign);
        }
        if crc32fast::hash(body).to_le_bytes() != head[1..5] {
            return Err(Unread::Garbled);
        }
        let packet: Packet = postcard::from_bytes(body).map_err(|_| Unread::Garbled)?;
        if packet.fleet != fleet {
            return Err(Unread::Foreign);
        }
        let sound = crate::identity::sound(&packet.from)
            && packet.words.iter().all(Word::sound)
            && packet.facts.iter().all(GossipFact::sound);
        match sound {
            true => Ok(packet),
            false => Err(Unread::Garbled),
        }
    }
}

#[cfg(test)]
mod tests;
