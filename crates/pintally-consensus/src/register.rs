//! The register itself: small values by key, each with a version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Bytes of the longest key.
pub const MAX_KEY_BYTES: usize = 96;
/// Bytes of the longest value.
pub const MAX_VALUE_BYTES: usize = 400;
/// Keys at the most.
pub const MAX_KEYS: usize = 4096;

/// What stands under a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Value {
    /// Counts the writes under this key; goes on where a value was taken back.
    pub version: u64,
    /// Empty where it was taken back.
    pub bytes: Vec<u8>,
}

/// A change of the register.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Write {
    /// Where.
    pub key: String,
    /// What stands there from then on; empty takes it back.
    pub value: Vec<u8>,
    /// The version that must stand there (0: none yet), so that a write that is told twice, or late,
    /// changes nothing; without it the write holds in any case.
    pub expect: Option<u64>,
}

impl Write {
    /// Whether it is within bounds.
    pub fn sound(&self) -> bool {
        !self.key.is_empty() && self.key.len() <= MAX_KEY_BYTES && self.value.len() <= MAX_VALUE_BYTES
    }
}

/// Values by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyValueStore {
    values: BTreeMap<String, Value>,
}

impl KeyValueStore {
    /// What stands under a key.
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.values.get(key)
    }

    /// All that stands, by key.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Value)> {
        self.values.iter().filter(|(_, v)| !v.bytes.is_empty()).map(|(k, v)| (k.as_str(), v))
    }

    /// Makes a change; the version that stands afterwards, or the one that stood in its way.
    pub(crate) fn apply(&mut self, write: &Write) -> Result<u64, u64> {
        let known = self.values.get(&write.key).map_or(0, |v| v.version);
        let full = known == 0 && self.values.len() >= MAX_KEYS;
        if full || !write.sound() || write.expect.is_some_and(|e| e != known) {
            return Err(known);
        }
        let value = Value { version: known + 1, bytes: write.value.clone() };
        self.values.insert(write.key.clone(), value);
        Ok(known + 1)
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Option<KeyValueStore> {
        if bytes.is_empty() {
            return Some(KeyValueStore::default());
        }
        postcard::from_bytes(bytes).ok()
    }
}
