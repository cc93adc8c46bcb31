//! The replicated log: a snapshot and the entries that follow it.

use serde::{Deserialize, Serialize};

use crate::store::Write;
use crate::ReplicaName;

/// Upper bound for the encoded size of an entry without its command.
const MAX_ENTRY_OVERHEAD_BYTES: usize = 16;
/// Upper bound for the encoded size of the lengths and the expected version of a write.
const MAX_WRITE_OVERHEAD_BYTES: usize = 24;
/// Upper bound for the encoded size of the length of a replica's name.
const MAX_NAME_OVERHEAD_BYTES: usize = 2;

/// A position in the log. Positions are ordered by term and then by index. Of two logs, the one that ends
/// at the greater position contains every entry that can have been committed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term in which the entry was created.
    pub term: u64,
    /// The index of the entry; the first one is 1.
    pub index: u64,
}

/// The command of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogCommand {
    /// The first entry of a new leader; committing it also commits all earlier entries.
    Noop,
    /// Sets the replicas of the group from this entry on.
    ChangeReplicas(Vec<ReplicaName>),
    /// A write to the store.
    Write(Write),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term in which the entry was created.
    pub term: u64,
    /// The command that is applied once the entry is committed.
    pub command: LogCommand,
}

impl LogEntry {
    /// An upper bound for the encoded size.
    fn max_encoded_bytes(&self) -> usize {
        let command_bytes = match &self.command {
            LogCommand::Noop => 0,
            LogCommand::ChangeReplicas(replicas) => {
                replicas.iter().map(|name| name.0.len() + MAX_NAME_OVERHEAD_BYTES).sum()
            }
            LogCommand::Write(write) => write.key.len() + write.value.len() + MAX_WRITE_OVERHEAD_BYTES,
        };
        MAX_ENTRY_OVERHEAD_BYTES + command_bytes
    }
}

/// The entries that are still stored, and the snapshot that replaces the earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Log {
    /// The last entry that the snapshot covers.
    pub(crate) last_included: LogPosition,
    /// The replicas as of that entry.
    pub(crate) snapshot_replicas: Vec<ReplicaName>,
    /// The encoded store as of that entry.
    pub(crate) snapshot: Vec<u8>,
    /// The entries after it.
    pub(crate) entries: Vec<LogEntry>,
}

impl Log {
    /// The position of the last entry.
    pub(crate) fn last(&self) -> LogPosition {
        let index = self.last_included.index + self.entries.len() as u64;
        let term = self.entries.last().map_or(self.last_included.term, |entry| entry.term);
        LogPosition { term, index }
    }

    /// The entry at an index, unless the snapshot covers it or the log ends before it.
    pub(crate) fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.last_included.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// The term of the entry at an index, if it is known.
    pub(crate) fn term_of(&self, index: u64) -> Option<u64> {
        if index == self.last_included.index {
            return Some(self.last_included.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The replicas according to the entries up to and including an index.
    pub(crate) fn replicas_at(&self, index: u64) -> &[ReplicaName] {
        let count = (index.saturating_sub(self.last_included.index) as usize).min(self.entries.len());
        self.entries[..count]
            .iter()
            .rev()
            .find_map(|entry| match &entry.command {
                LogCommand::ChangeReplicas(replicas) => Some(replicas.as_slice()),
                LogCommand::Noop | LogCommand::Write(_) => None,
            })
            .unwrap_or(&self.snapshot_replicas)
    }

    /// The index of the last entry that changes the replicas, or 0 if no stored entry does.
    pub(crate) fn last_replica_change(&self) -> u64 {
        self.entries
            .iter()
            .rposition(|entry| matches!(entry.command, LogCommand::ChangeReplicas(_)))
            .map_or(0, |offset| self.last_included.index + 1 + offset as u64)
    }

    /// The entries from an index on whose total size is at most `max_bytes`, but at least one entry if
    /// there is any.
    pub(crate) fn entries_from(&self, index: u64, max_bytes: usize) -> Vec<LogEntry> {
        let skipped = index.saturating_sub(self.last_included.index + 1) as usize;
        let mut remaining_bytes = max_bytes;
        let mut selected = Vec::new();
        for entry in self.entries.iter().skip(skipped) {
            let size = entry.max_encoded_bytes();
            if !selected.is_empty() && size > remaining_bytes {
                break;
            }
            remaining_bytes = remaining_bytes.saturating_sub(size);
            selected.push(entry.clone());
        }
        selected
    }

    /// Appends the entries that follow `prev_index`. An existing entry that conflicts with a received one
    /// is removed together with all entries after it. Returns whether the log changed.
    pub(crate) fn merge(&mut self, prev_index: u64, entries: Vec<LogEntry>) -> bool {
        let mut changed = false;
        for (index, entry) in (prev_index + 1..).zip(entries) {
            if index <= self.last_included.index {
                continue;
            }
            let existing_term = self.term_of(index);
            if existing_term == Some(entry.term) {
                continue;
            }
            if existing_term.is_some() {
                self.truncate_from(index);
            }
            self.entries.push(entry);
            changed = true;
        }
        changed
    }

    /// Removes the entries from an index on.
    fn truncate_from(&mut self, index: u64) {
        let kept_entries = index.saturating_sub(self.last_included.index + 1) as usize;
        self.entries.truncate(kept_entries);
    }

    /// Replaces the entries up to and including an index by a snapshot.
    pub(crate) fn compact(&mut self, index: u64, snapshot: Vec<u8>) {
        let Some(term) = self.term_of(index) else { return };
        self.snapshot_replicas = self.replicas_at(index).to_vec();
        self.entries.drain(..(index - self.last_included.index) as usize);
        self.last_included = LogPosition { term, index };
        self.snapshot = snapshot;
    }
}
