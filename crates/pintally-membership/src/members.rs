//! What is known of each peer, and which word of two wins.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::{sound, PeerName, ProcessIncarnation};
use crate::Micros;

/// Peers that are kept in mind.
pub(crate) const MAX_MEMBERS: usize = 4096;

/// How a peer stands. Of two words on one incarnation the later in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers, as far as is known.
    Alive,
    /// Somebody had no answer, and it has not spoken for itself yet.
    Suspect,
    /// Nobody had an answer for as long as a suspicion lasts.
    Dead,
    /// It said that it goes.
    Left,
}

/// A word on a peer, as it is spread.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Word {
    pub(crate) name: PeerName,
    pub(crate) life: ProcessIncarnation,
    pub(crate) incarnation: u32,
    pub(crate) standing: MemberState,
    /// Of a suspect: who says so, as a number.
    pub(crate) accuser: u64,
    pub(crate) address: SocketAddr,
    pub(crate) zone: Arc<str>,
}

impl Word {
    /// What orders two words on one peer: a later life, then a later incarnation, then the graver word.
    pub(crate) fn rank(&self) -> (ProcessIncarnation, u32, MemberState) {
        (self.life, self.incarnation, self.standing)
    }

    /// Whether it wins over another.
    pub(crate) fn beats(&self, other: &Word) -> bool {
        self.rank() > other.rank()
    }

    /// Whether it may come from the wire at all.
    pub(crate) fn sound(&self) -> bool {
        sound(&self.name) && self.zone.len() <= 64 && self.address.port() != 0
    }
}

/// A peer as this node knows it.
#[derive(Clone, Debug)]
pub struct Member {
    pub(crate) word: Word,
    /// When the word was taken in, on this node's clock.
    pub(crate) since: Micros,
    /// While it is suspected: until when, and who else said so.
    pub(crate) until: Micros,
    pub(crate) accusers: BTreeSet<u64>,
}

impl Member {
    /// Its name.
    pub fn name(&self) -> &PeerName {
        &self.word.name
    }

    /// Its zone.
    pub fn zone(&self) -> &str {
        &self.word.zone
    }

    /// Where its peers reach it.
    pub fn address(&self) -> SocketAddr {
        self.word.address
    }

    /// How it stands.
    pub fn standing(&self) -> MemberState {
        self.word.standing
    }

    /// Which of its lives this is.
    pub fn incarnation(&self) -> ProcessIncarnation {
        self.word.life
    }

    /// Since when it stands so, on this node's clock.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// Whether it is to be reckoned with: what is only suspected still counts.
    pub fn is_alive(&self) -> bool {
        matches!(self.word.standing, MemberState::Alive | MemberState::Suspect)
    }
}

/// All peers but this node itself.
#[derive(Default)]
pub(crate) struct Members {
    all: BTreeMap<PeerName, Member>,
    here: usize,
}

impl Members {
    pub(crate) fn get(&self, name: &PeerName) -> Option<&Member> {
        self.all.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &PeerName) -> Option<&mut Member> {
        self.all.get_mut(name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.all.values()
    }

    /// Peers that are to be reckoned with.
    pub(crate) fn here(&self) -> usize {
        self.here
    }

    /// Takes a word in if it wins; what stood before, if it did. A stranger beyond the most is not let
    /// in, so that nobody can fill a node's memory with names.
    pub(crate) fn take(&mut self, now: Micros, word: Word) -> Option<Option<MemberState>> {
        match self.all.get_mut(&word.name) {
            Some(member) => {
                if !word.beats(&member.word) {
                    return None;
                }
                let before = member.word.standing;
                let was_here = member.is_alive();
                member.word = word;
                member.since = now;
                member.accusers.clear();
                let is_here = member.is_alive();
                self.here = self.here + usize::from(is_here) - usize::from(was_here);
                Some(Some(before))
            }
            None => {
                if self.all.len() >= MAX_MEMBERS {
                    return None;
                }
                let member = Member { word, since: now, until: 0, accusers: BTreeSet::new() };
                self.here += usize::from(member.is_alive());
                self.all.insert(member.word.name.clone(), member);
                Some(None)
            }
        }
    }

    /// Forgets those that have been gone since before a time; their names.
    pub(crate) fn forget(&mut self, before: Micros) -> Vec<PeerName> {
        let gone = |m: &&Member| !m.is_alive() && m.since < before;
        let names: Vec<PeerName> = self.all.values().filter(gone).map(|m| m.word.name.clone()).collect();
        names.iter().for_each(|name| {
            self.all.remove(name);
        });
        names
    }
}
