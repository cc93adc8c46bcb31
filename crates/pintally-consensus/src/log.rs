//! The log: entries after a snapshot.

use serde::{Deserialize, Serialize};

use crate::register::Write;
use crate::ReplicaName;

/// A place in the log. Of two logs the one that ends at the greater position has every entry that can
/// have been agreed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// The term in which the entry was made.
    pub term: u64,
    /// Its number, from 1.
    pub index: u64,
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogCommand {
    /// A new leader's first entry: with it everything before is agreed on.
    Noop,
    /// Who the keepers are from here on.
    ChangeReplicas(Vec<ReplicaName>),
    /// A change of the register.
    Write(Write),
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which it was made.
    pub term: u64,
    /// What it says.
    pub what: LogCommand,
}

/// All entries that are kept, and what stands for those before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Log {
    /// The last entry that the snapshot covers.
    pub(crate) base: Position,
    /// Who the keepers are there.
    pub(crate) keepers: Vec<ReplicaName>,
    /// The register there, as bytes.
    pub(crate) snapshot: Vec<u8>,
    pub(crate) entries: Vec<Entry>,
}

impl Log {
    pub(crate) fn last(&self) -> Position {
        let index = self.base.index + self.entries.len() as u64;
        Position { term: self.entries.last().map_or(self.base.term, |e| e.term), index }
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.base.index + 1)?;
        self.entries.get(at as usize)
    }

    /// The term of an entry; none if it is not kept.
    pub(crate) fn term_of(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Who the keepers are, by the entries up to an index.
    pub(crate) fn keepers_at(&self, index: u64) -> &[ReplicaName] {
        let upto = (index.saturating_sub(self.base.index) as usize).min(self.entries.len());
        let told = self.entries[..upto].iter().rev().find_map(|e| match &e.what {
            LogCommand::ChangeReplicas(keepers) => Some(keepers.as_slice()),
            _ => None,
        });
        told.unwrap_or(&self.keepers)
    }

    /// The last entry that changes the keepers, if the log holds one.
    pub(crate) fn last_change(&self) -> u64 {
        let found = self.entries.iter().rposition(|e| matches!(e.what, LogCommand::ChangeReplicas(_)));
        found.map_or(0, |at| self.base.index + 1 + at as u64)
    }

    /// Entries from an index on that fit into so many bytes, the first one in any case.
    pub(crate) fn from(&self, index: u64, most: usize) -> Vec<Entry> {
        let skip = index.saturating_sub(self.base.index + 1) as usize;
        let mut room = most;
        let mut taken = Vec::new();
        for entry in self.entries.iter().skip(skip) {
            let size = entry.size();
            if !taken.is_empty() && size > room {
                break;
            }
            room = room.saturating_sub(size);
            taken.push(entry.clone());
        }
        taken
    }

    /// Drops the entries from an index on.
    pub(crate) fn cut(&mut self, index: u64) {
        self.entries.truncate(index.saturating_sub(self.base.index + 1) as usize);
    }

    /// Puts a snapshot in place of the entries up to an index.
    pub(crate) fn compact(&mut self, index: u64, snapshot: Vec<u8>) {
        let Some(term) = self.term_of(index) else { return };
        self.keepers = self.keepers_at(index).to_vec();
        self.entries.drain(..(index - self.base.index) as usize);
        self.base = Position { term, index };
        self.snapshot = snapshot;
    }
}

impl Entry {
    /// Bytes on the wire, at the most.
    fn size(&self) -> usize {
        16 + match &self.what {
            LogCommand::Noop => 0,
            LogCommand::ChangeReplicas(keepers) => keepers.iter().map(|k| k.0.len() + 2).sum(),
            LogCommand::Write(write) => write.key.len() + write.value.len() + 24,
        }
    }
}
