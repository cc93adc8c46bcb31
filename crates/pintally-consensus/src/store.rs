//! The state machine: a key-value store of small values, each with a version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 96;
/// The maximum length of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 400;
/// The maximum number of keys, including those whose value was deleted.
pub const MAX_KEYS: usize = 4096;

/// A value and its version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionedValue {
    /// The number of writes to the key. A deletion counts and does not reset it.
    pub version: u64,
    /// The value; empty if it was deleted.
    pub bytes: Vec<u8>,
}

/// A write to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value; an empty one deletes the key.
    pub value: Vec<u8>,
    /// The version that the key must have for the write to take effect (0 if it was never written), so
    /// that a duplicated or delayed write changes nothing. `None` writes unconditionally.
    pub expect: Option<u64>,
}

impl Write {
    /// Whether the key and the value respect the size limits.
    pub fn is_within_bounds(&self) -> bool {
        !self.key.is_empty() && self.key.len() <= MAX_KEY_BYTES && self.value.len() <= MAX_VALUE_BYTES
    }
}

/// Versioned values by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyValueStore {
    values: BTreeMap<String, VersionedValue>,
}

impl KeyValueStore {
    /// The value of a key. A deleted value is returned with its version and no bytes.
    pub fn get(&self, key: &str) -> Option<&VersionedValue> {
        self.values.get(key)
    }

    /// All values that were not deleted, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &VersionedValue)> {
        self.values
            .iter()
            .filter(|(_, value)| !value.bytes.is_empty())
            .map(|(key, value)| (key.as_str(), value))
    }

    /// Applies a write and returns the new version of the key.
    ///
    /// # Errors
    ///
    /// The current version of the key if it is not the expected one, if the write is out of bounds, or if
    /// the key is new and the store is full. In these cases the store is unchanged.
    pub(crate) fn apply(&mut self, write: &Write) -> Result<u64, u64> {
        let current = self.values.get(&write.key).map_or(0, |value| value.version);
        let is_full = current == 0 && self.values.len() >= MAX_KEYS;
        let conflicts = write.expect.is_some_and(|expected| expected != current);
        if is_full || conflicts || !write.is_within_bounds() {
            return Err(current);
        }
        let value = VersionedValue { version: current + 1, bytes: write.value.clone() };
        self.values.insert(write.key.clone(), value);
        Ok(current + 1)
    }

    /// Encodes the store as a snapshot.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a snapshot; an empty slice is the empty store. `None` if the bytes are corrupt.
    pub(crate) fn decode(bytes: &[u8]) -> Option<KeyValueStore> {
        if bytes.is_empty() {
            return Some(KeyValueStore::default());
        }
        postcard::from_bytes(bytes).ok()
    }
}
