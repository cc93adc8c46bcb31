//! The input: one JSON message per line.

use std::io::BufRead;

use crate::error::{StreamError, StreamErrorCause};
use crate::incoming::Incoming;

/// Reads messages and counts lines.
pub struct Input<R> {
    reader: R,
    line: u64,
    buffer: String,
}

impl<R: BufRead> Input<R> {
    pub fn new(reader: R) -> Input<R> {
        Input { reader, line: 0, buffer: String::new() }
    }

    /// The next message, or `None` at the end of the input. Empty lines are skipped.
    ///
    /// # Errors
    ///
    /// If the input cannot be read or a line is not a valid message.
    pub fn next_message(&mut self) -> Result<Option<Incoming>, StreamError> {
        loop {
            self.buffer.clear();
            let read = self.reader.read_line(&mut self.buffer);
            self.line += 1;
            if read.map_err(|error| self.error(StreamErrorCause::Read(error)))? == 0 {
                return Ok(None);
            }
            if !self.buffer.trim().is_empty() {
                break;
            }
        }
        serde_json::from_str(&self.buffer)
            .map(Some)
            .map_err(|error| self.error(StreamErrorCause::Malformed(error)))
    }

    /// An error at the line that was read last.
    pub fn error(&self, cause: StreamErrorCause) -> StreamError {
        StreamError { line: self.line, cause }
    }
}
