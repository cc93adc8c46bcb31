//! Anti-entropy: nodes compare digests of all members and facts, and send each other what differs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::Membership;
use crate::event::Output;
use crate::fact::GossipFact;
use crate::member_table::{Member, MemberUpdate};
use crate::packet::{DigestEntry, Message};

/// Greatest number of digest entries in one packet.
const MAX_DIGEST_ENTRIES: usize = 70;

/// One part of a peer's digest.
pub(super) struct DigestPart {
    pub(super) part: u16,
    pub(super) parts: u16,
    /// In ascending order.
    pub(super) entries: Vec<DigestEntry>,
}

impl DigestPart {
    fn is_valid(&self) -> bool {
        self.parts != 0
            && self.part < self.parts
            && self.entries.len() <= MAX_DIGEST_ENTRIES
            && self.entries.is_sorted()
    }

    /// The keys that this part covers: from its first to its last entry. The first part also covers all lower
    /// keys, and the last part all higher ones.
    fn key_range(&self) -> RangeInclusive<u64> {
        let first = self.entries.first().map_or(0, |entry| entry.key);
        let last = self.entries.last().map_or(0, |entry| entry.key);
        let from = if self.part == 0 { 0 } else { first };
        let to = if self.part + 1 == self.parts { u64::MAX } else { last };
        from..=to
    }
}

impl Membership {
    /// Sends a digest to a random live peer.
    pub(super) fn start_anti_entropy(&mut self, outputs: &mut Vec<Output>) {
        for address in self.random_peers(1, Member::is_alive) {
            self.send_digest(address, true, outputs);
        }
    }

    /// Sends a digest of this node and all members and facts that it knows, in as many packets as needed.
    pub(super) fn send_digest(&mut self, to: SocketAddr, reply_expected: bool, outputs: &mut Vec<Output>) {
        let updates = self.all_updates().map(DigestEntry::of_update);
        let mut entries: Vec<DigestEntry> =
            updates.chain(self.facts.iter().map(DigestEntry::of_fact)).collect();
        entries.sort_unstable();
        let parts = entries.len().div_ceil(MAX_DIGEST_ENTRIES) as u16;
        for (part, chunk) in (0..parts).zip(entries.chunks(MAX_DIGEST_ENTRIES)) {
            let digest = Message::Digest { part, parts, entries: chunk.to_vec(), reply_expected };
            self.send(to, digest, outputs);
        }
    }

    fn all_updates(&self) -> impl Iterator<Item = &MemberUpdate> {
        std::iter::once(&self.own).chain(self.members.iter().map(|member| &member.update))
    }

    /// Sends the peer the updates and facts that differ from its digest or are missing there. If this node
    /// misses entries of the digest and `reply_expected` is set, it replies with its own digest, for which no
    /// reply is expected.
    pub(super) fn handle_digest(
        &mut self,
        from: SocketAddr,
        digest: &DigestPart,
        reply_expected: bool,
        outputs: &mut Vec<Output>,
    ) {
        if !digest.is_valid() {
            self.counters.malformed += 1;
            return;
        }
        let keys = digest.key_range();
        let peer_versions: BTreeMap<u64, u32> = digest.entries.iter().map(|e| (e.key, e.version)).collect();
        let mut own_entries = BTreeSet::new();
        let mut is_missing = |entry: DigestEntry| {
            own_entries.insert(entry);
            keys.contains(&entry.key) && peer_versions.get(&entry.key) != Some(&entry.version)
        };
        let updates: Vec<MemberUpdate> =
            self.all_updates().filter(|update| is_missing(DigestEntry::of_update(update))).cloned().collect();
        let facts: Vec<GossipFact> =
            self.facts.iter().filter(|fact| is_missing(DigestEntry::of_fact(fact))).cloned().collect();
        let misses_entries = digest.entries.iter().any(|entry| !own_entries.contains(entry));
        self.send_gossip(from, updates, facts, outputs);
        if reply_expected && misses_entries {
            self.send_digest(from, false, outputs);
        }
    }
}
