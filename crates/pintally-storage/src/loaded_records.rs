//! The result of loading the store: the records that were found, and what is missing.

use std::collections::BTreeMap;
use std::fmt;

use crate::record::{Record, RecordError, RecordVersion};

/// A problem that was found while the store was loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadIssue {
    /// A copy cannot be opened or read at all.
    CopyUnreadable {
        /// Number of the copy.
        copy: usize,
        /// Description of the cause.
        reason: String,
    },
    /// A copy was damaged; it was set aside and an empty one created.
    CopyReplaced {
        /// Number of the copy.
        copy: usize,
        /// Description of the cause.
        reason: String,
    },
    /// A record is damaged.
    RecordRejected {
        /// Number of the copy.
        copy: usize,
        /// The key under which it was found.
        key: String,
        /// Cause.
        reason: RecordError,
    },
    /// Nothing can be stored: the node's state is lost when its process ends.
    Unwritable(String),
    /// The disk did not respond in time; the node continues without the stored records.
    TimedOut,
}

impl fmt::Display for LoadIssue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadIssue::CopyUnreadable { copy, reason } => write!(f, "copy {copy} cannot be read: {reason}"),
            LoadIssue::CopyReplaced { copy, reason } => write!(f, "copy {copy} was set aside: {reason}"),
            LoadIssue::RecordRejected { copy, key, reason } => {
                write!(f, "record `{key}` of copy {copy}: {reason}")
            }
            LoadIssue::Unwritable(reason) => write!(f, "nothing can be stored: {reason}"),
            LoadIssue::TimedOut => f.write_str("the disk did not respond in time"),
        }
    }
}

/// What was loaded at the start.
#[derive(Clone, Debug, Default)]
pub struct LoadedRecords {
    /// The newest valid record of each key.
    pub records: BTreeMap<String, Record>,
    /// What could not be loaded.
    pub issues: Vec<LoadIssue>,
}

impl LoadedRecords {
    /// Adds a record if it is newer than the known one under its key. A record that cannot come from an
    /// earlier process (its boot number or sequence number is far above all others) gets no special
    /// treatment: its checksum is valid, and boot numbers are checked against what peers remember.
    pub(crate) fn insert_if_newer(&mut self, record: Record) {
        let known = self.records.get(&record.key);
        if known.is_none_or(|known| record.version() > known.version()) {
            self.records.insert(record.key.clone(), record);
        }
    }

    /// The record under a key, unless it was deleted.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key).filter(|record| !record.payload.is_empty())
    }

    /// The records whose keys have a prefix, without deleted ones.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Record> {
        self.records
            .range(prefix.to_string()..)
            .map(|(_, record)| record)
            .take_while(move |record| record.key.starts_with(prefix))
            .filter(|record| !record.payload.is_empty())
    }

    /// The highest boot number and the highest sequence number of all records.
    pub fn latest(&self) -> RecordVersion {
        let boot = self.records.values().map(|record| record.boot).max().unwrap_or(0);
        let sequence = self.records.values().map(|record| record.sequence).max().unwrap_or(0);
        RecordVersion { boot, sequence }
    }

    /// Whether no record was found.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
