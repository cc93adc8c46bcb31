//! The share of a connection in the limit for all request bodies.

use crate::shared::Shared;

/// The limit for all request bodies is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyCapacityExhausted;

/// Bytes that a connection's request has reserved of the limit for all bodies; returned on drop.
pub(crate) struct BodyCapacity<'a> {
    shared: &'a Shared,
    bytes: usize,
}

impl<'a> BodyCapacity<'a> {
    /// Reserves nothing yet.
    pub(crate) fn new(shared: &'a Shared) -> BodyCapacity<'a> {
        BodyCapacity { shared, bytes: 0 }
    }

    /// Reserves or returns bytes so that exactly `bytes` are reserved.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), BodyCapacityExhausted> {
        if bytes > self.bytes && !self.shared.reserve_body_bytes(bytes - self.bytes) {
            return Err(BodyCapacityExhausted);
        }
        self.shared.return_body_bytes(self.bytes.saturating_sub(bytes));
        self.bytes = bytes;
        Ok(())
    }

    /// Reserves further bytes.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), BodyCapacityExhausted> {
        self.resize(self.bytes + bytes)
    }
}

impl Drop for BodyCapacity<'_> {
    fn drop(&mut self) {
        self.shared.return_body_bytes(self.bytes);
    }
}
