//! Received bytes that are consumed from the front.

use std::ops::Deref;

/// Spare capacity above this is returned to the allocator once it is no longer needed: thousands of connections may be
/// idle.
const MAX_SPARE_BYTES: usize = 2 << 10;

/// A queue of bytes that can be read as one slice. Consuming bytes takes constant time on average, however many
/// bytes remain, and frees the memory of large buffers.
#[derive(Default)]
pub(crate) struct ReceiveBuffer {
    bytes: Vec<u8>,
    /// Number of bytes at the front that have been consumed.
    consumed: usize,
}

impl ReceiveBuffer {
    /// Adds bytes at the end.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        append(&mut self.bytes, bytes);
    }

    /// The memory of the bytes. An empty buffer counts as none, although it may keep a little.
    pub(crate) fn held_bytes(&self) -> usize {
        if self.is_empty() {
            return 0;
        }
        self.bytes.capacity()
    }

    /// Removes bytes from the front.
    pub(crate) fn consume(&mut self, count: usize) {
        self.consumed += count;
        // Moving the rest only when it is not larger than what was consumed bounds the cost per byte.
        if self.consumed >= self.len() {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
            self.bytes.shrink_to(self.bytes.len() + MAX_SPARE_BYTES);
        }
    }
}

/// Appends bytes to a buffer that may become large and stay so: it grows by a quarter, and not to twice its size.
pub(crate) fn append(buffer: &mut Vec<u8>, bytes: &[u8]) {
    if buffer.capacity() - buffer.len() < bytes.len() {
        buffer.reserve_exact(bytes.len().max(buffer.len() / 4));
    }
    buffer.extend_from_slice(bytes);
}

impl Deref for ReceiveBuffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }
}

#[cfg(test)]
mod tests;
