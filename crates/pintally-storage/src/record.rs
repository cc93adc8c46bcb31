//! A stored record. It has a checksum, and is ordered by boot number and sequence number.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Longest key of a record.
pub const MAX_KEY_BYTES: usize = 128;
/// Largest payload of a record.
pub const MAX_PAYLOAD_BYTES: usize = 16 << 20;
/// Size of the CRC-32 checksum before the encoded record.
const CHECKSUM_BYTES: usize = 4;

/// A stored record. Postcard encodes the fields in this order, without their names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key under which the record is stored.
    pub key: String,
    /// The boot number of the process that wrote the record.
    pub boot: u64,
    /// Sequence number of the record among all records that the node has written, in all of its processes.
    pub sequence: u64,
    /// Wall-clock time of the write in Unix milliseconds, for operators and for ages that no other field
    /// gives. Wall clocks may go back, so nothing is ordered by this time.
    pub unix_ms: u64,
    /// The content; empty if the record was deleted.
    pub payload: Vec<u8>,
}

/// The version of a record. A record of a later process is newer; within one process, a later write is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordVersion {
    /// The boot number of the process that wrote the record.
    pub boot: u64,
    /// The sequence number of the record.
    pub sequence: u64,
}

/// Why bytes are not a valid record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The checksum does not match.
    ChecksumMismatch,
    /// The bytes are too short for a checksum, or the checksum matches but the bytes after it are no record.
    Malformed,
    /// The record was stored under a key other than its own.
    WrongKey,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RecordError::ChecksumMismatch => "checksum mismatch",
            RecordError::Malformed => "bytes are not a valid record",
            RecordError::WrongKey => "stored under a key other than its own",
        })
    }
}

impl std::error::Error for RecordError {}

impl Record {
    /// Encodes the record, with its checksum first; empty if it cannot be encoded.
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

    /// The version, which orders the records of a key.
    pub fn version(&self) -> RecordVersion {
        RecordVersion { boot: self.boot, sequence: self.sequence }
    }
}
