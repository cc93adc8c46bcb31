//! Server-sent events: extracts the `data` of each event from a byte stream that may be split at any position.

use crate::HttpError;

/// Parses the data of events from bytes.
#[derive(Default)]
pub struct SseReader {
    buffer: Vec<u8>,
    data: Vec<u8>,
    /// The current event has a `data` line.
    has_data: bool,
    max_event_bytes: usize,
}

impl SseReader {
    /// A reader that buffers at most this number of bytes.
    pub fn new(max_event_bytes: usize) -> SseReader {
        SseReader { max_event_bytes, ..SseReader::default() }
    }

    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// Fails if more bytes would be buffered than allowed.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        if self.buffer.len() + self.data.len() + bytes.len() > self.max_event_bytes {
            return Err(HttpError::BodyTooLarge);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// The data of the next event, if it has been received completely.
    pub fn next_event(&mut self) -> Option<Vec<u8>> {
        loop {
            let end = self.buffer.iter().position(|b| *b == b'\n')?;
            let mut line: Vec<u8> = self.buffer.drain(..=end).collect();
            line.pop();
            if line.last() == Some(&b'\r') {
                line.pop();
            }
            if line.is_empty() {
                if std::mem::take(&mut self.has_data) {
                    return Some(std::mem::take(&mut self.data));
                }
                continue;
            }
            if let Some(value) = line.strip_prefix(b"data:") {
                if std::mem::replace(&mut self.has_data, true) {
                    self.data.push(b'\n');
                }
                self.data.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
            }
        }
    }
}
