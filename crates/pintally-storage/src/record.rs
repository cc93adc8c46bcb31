//! One record: checksummed, dated by boot and sequence.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bytes of a record's key.
pub const MAX_KEY_BYTES: usize = 128;
/// Bytes of what a record holds.
pub const MAX_PAYLOAD_BYTES: usize = 16 << 20;

/// A record as it was kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What it is about.
    pub key: String,
    /// The boot in which it was written.
    pub boot: u64,
    /// Counts all records that the node has written, over all boots.
    pub sequence: u64,
    /// The clock on the wall when it was written, in Unix milliseconds: for people, and for ages that
    /// nothing else can tell; a clock may go back.
    pub unix_ms: u64,
    /// What is kept; empty where the record was taken back.
    pub payload: Vec<u8>,
}

/// Why bytes are no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The checksum does not hold.
    Checksum,
    /// The checksum holds, but there is no record behind it.
    Form,
    /// It stands under another key than its own.
    Place,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RecordError::Checksum => "the checksum does not hold",
            RecordError::Form => "it cannot be read",
            RecordError::Place => "it stands under another key",
        })
    }
}

impl std::error::Error for RecordError {}

impl Record {
    /// The record as bytes, a checksum first.
    pub fn encode(&self) -> Vec<u8> {
        let Ok(body) = postcard::to_stdvec(self) else { return Vec::new() };
        let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Reads a record that stood under a key.
    pub fn decode(key: &str, bytes: &[u8]) -> Result<Record, RecordError> {
        let (sum, body) = bytes.split_at_checked(4).ok_or(RecordError::Form)?;
        if crc32fast::hash(body).to_le_bytes() != sum {
            return Err(RecordError::Checksum);
        }
        let record: Record = postcard::from_bytes(body).map_err(|_| RecordError::Form)?;
        match record.key == key {
            true => Ok(record),
            false => Err(RecordError::Place),
        }
    }

    /// What orders two records under one key. The clock on the wall has no say.
    pub fn rank(&self) -> (u64, u64) {
        (self.boot, self.sequence)
    }
}
