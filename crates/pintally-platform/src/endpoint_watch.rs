//! Framing of the response body of an endpoint watch.

use thiserror::Error;

/// Maximum size of one object of a watch: an indented entry takes about 400 bytes, so that 20,000 engines
/// fit.
const MAX_OBJECT_BYTES: usize = 8 << 20;

/// An object of a watch is larger than the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an object of the list is longer than {MAX_OBJECT_BYTES} bytes")]
pub struct ObjectTooLong;

/// Splits the body of a watch into JSON objects, which may span several lines. Each byte is scanned once,
/// however small the received pieces are.
#[derive(Default)]
pub struct WatchDecoder {
    buffer: Vec<u8>,
    /// Bytes of `buffer` that have been scanned; the fields below describe the scanner at that position.
    scanned: usize,
    /// Number of open braces and brackets.
    depth: u32,
    in_string: bool,
    after_backslash: bool,
    has_heartbeat: bool,
}

impl WatchDecoder {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// If the buffered object exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ObjectTooLong> {
        if self.buffer.len() > MAX_OBJECT_BYTES {
            return Err(ObjectTooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// The next complete object, or a line that is not an object.
    pub fn next_object(&mut self) -> Option<Vec<u8>> {
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if self.ends_object(byte) {
                if let Some(object) = self.split_scanned() {
                    return Some(object);
                }
            }
        }
        None
    }

    /// Whether a blank line outside objects was scanned since the last call. Discovery sends blank lines as
    /// heartbeats, and one after each object.
    pub fn take_heartbeat(&mut self) -> bool {
        std::mem::take(&mut self.has_heartbeat)
    }

    /// Advances the scanner by one byte; whether an object or a line that is not an object ends here.
    fn ends_object(&mut self, byte: u8) -> bool {
        if std::mem::take(&mut self.after_backslash) {
            return false;
        }
        match byte {
            // A newline ends a line outside objects; inside an object it is whitespace.
            b'\n' if self.depth == 0 => {
                self.in_string = false;
                return true;
            }
            b'\\' if self.in_string => self.after_backslash = true,
            b'"' => self.in_string = !self.in_string,
            b'{' | b'[' if !self.in_string => self.depth += 1,
            b'}' | b']' if !self.in_string => {
                self.depth = self.depth.saturating_sub(1);
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }

    /// Removes the scanned bytes from the buffer; none if they are blank.
    fn split_scanned(&mut self) -> Option<Vec<u8>> {
        let scanned: Vec<u8> = self.buffer.drain(..std::mem::take(&mut self.scanned)).collect();
        let object = scanned.trim_ascii();
        if object.is_empty() {
            self.has_heartbeat = true;
            return None;
        }
        Some(object.to_vec())
    }
}
