//! What was found at the start, and what was not.

use std::collections::BTreeMap;
use std::fmt;

use crate::record::Record;

/// Something that a start lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadIssue {
    /// A copy cannot be opened or read at all; why.
    CopyUnreadable(usize, String),
    /// A copy was there and is of no use; it was set aside and a new one begun.
    CopyReplaced(usize, String),
    /// A record is there and cannot be believed.
    RecordRejected(usize, String, String),
    /// Nothing can be written: what the node learns is lost with it.
    Unwritable(String),
    /// The disk did not tell in time; the node goes on without.
    TimedOut,
}

impl fmt::Display for LoadIssue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadIssue::CopyUnreadable(copy, why) => write!(f, "copy {copy} cannot be read: {why}"),
            LoadIssue::CopyReplaced(copy, why) => write!(f, "copy {copy} was set aside: {why}"),
            LoadIssue::RecordRejected(copy, key, why) => write!(f, "record `{key}` of copy {copy}: {why}"),
            LoadIssue::Unwritable(why) => write!(f, "nothing can be kept: {why}"),
            LoadIssue::TimedOut => f.write_str("the disk did not tell in time"),
        }
    }
}

/// What a start has found.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// The newest sound record of each key.
    pub records: BTreeMap<String, Record>,
    /// What is lacking.
    pub issues: Vec<LoadIssue>,
}

impl Loaded {
    /// Takes a record in if it is newer than what is known under its key. One that cannot be from the
    /// past (a boot or sequence beyond all others by more than a disk can have written) is not special:
    /// its checksum held, and peers' memory is what judges boots.
    pub(crate) fn take(&mut self, record: Record) {
        match self.records.get(&record.key) {
            Some(known) if known.rank() >= record.rank() => {}
            _ => {
                self.records.insert(record.key.clone(), record);
            }
        }
    }

    /// The payload under a key, if there is one that was not taken back.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key).filter(|r| !r.payload.is_empty())
    }

    /// Records whose keys begin so.
    pub fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Record> {
        let of = move |r: &&Record| r.key.starts_with(prefix) && !r.payload.is_empty();
        self.records
            .range(prefix.to_string()..)
            .map(|(_, r)| r)
            .take_while(move |r| r.key.starts_with(prefix))
            .filter(of)
    }

    /// The latest boot and sequence that any record tells of.
    pub fn latest(&self) -> (u64, u64) {
        let boot = self.records.values().map(|r| r.boot).max().unwrap_or(0);
        let sequence = self.records.values().map(|r| r.sequence).max().unwrap_or(0);
        (boot, sequence)
    }

    /// Whether anything at all was found.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
