//! One stored record: checksummed, and ordered by start number and sequence number.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Longest key of a record.
pub const MAX_KEY_BYTES: usize = 128;
/// Largest payload of a record.
pub const MAX_PAYLOAD_BYTES: usize = 16 << 20;
/// The CRC-32 before the encoded record.
const CHECKSUM_BYTES: usize = 4;

/// A stored record. Postcard writes the fields in this order, without names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What the record is about.
    pub key: String,
    /// The start number of the process that wrote it.
    pub boot: u64,
    /// Counts all records that the node has written, over all of its processes.
    pub sequence: u64,
    /// Wall-clock time of the write in Unix milliseconds: for people, and for ages that nothing else can
    /// tell. Wall clocks may go back, so nothing is ordered by it.
    pub unix_ms: u64,
    /// The content; empty where the record was deleted.
    pub payload: Vec<u8>,
}

/// The version of a record: a later process wins, then a later write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordVersion {
    /// The start number of the process that wrote it.
    pub boot: u64,
    /// Its sequence number.
    pub sequence: u64,
}

/// Why bytes are not a valid record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The checksum does not match.
    ChecksumMismatch,
    /// The bytes are too short, or the checksum matches and there is no record behind it.
    Malformed,
    /// The record was stored under another key than its own.
    WrongKey,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RecordError::ChecksumMismatch => "the checksum does not hold",
            RecordError::Malformed => "it cannot be read",
            RecordError::WrongKey => "it stands under another key",
        })
    }
}

impl std::error::Error for RecordError {}

impl Record {
    /// The record as bytes, a checksum first; empty if it cannot be encoded.
    pub fn encode(&self) -> Vec<u8> {
        let Ok(body) = postcard::to_stdvec(self) else { return Vec::new() };
        let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Decodes a record that was stored under a key.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if the bytes are damaged or belong to another key.
    pub fn decode(key: &str, bytes: &[u8]) -> Result<Record, RecordError> {
        let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or(RecordError::Malformed)?;
        if crc32fast::hash(body).to_le_bytes() != checksum {
            return Err(RecordError::ChecksumMismatch);
        }
        let record: Record = postcard::from_bytes(body).map_err(|_| RecordError::Malformed)?;
        if record.key != key {
            return Err(RecordError::WrongKey);
        }
        Ok(record)
    }

    /// Orders two records under one key.
    pub fn version(&self) -> RecordVersion {
        RecordVersion { boot: self.boot, sequence: self.sequence }
    }
}
