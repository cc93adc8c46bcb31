//! HTTP/1.1 messages and server-sent events as state machines that turn bytes into messages.
//!
//! This package uses neither sockets nor clocks, so the same code works with sockets and with a simulated
//! network.

#![deny(missing_docs)]

mod framing;
mod receive_buffer;
mod request;
mod response;
mod sse;
mod write;

pub use request::{Request, RequestReader};
pub use response::{Part, ResponseReader};
pub use sse::SseReader;
pub use write::{chunk, header_line, request, response, response_head, sse_event, LAST_CHUNK};

use std::fmt;

/// The maximum number of header lines of a message.
pub(crate) const MAX_HEADERS: usize = 64;

/// The headers in the order of the message, with names in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// The value of the first header with this name, which must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The memory of the headers, with what an allocator needs for each text.
    pub(crate) fn held_bytes(&self) -> usize {
        const ALLOCATION_BYTES: usize = 16;
        let texts =
            self.0.iter().map(|(name, value)| name.capacity() + value.capacity() + 2 * ALLOCATION_BYTES);
        self.0.capacity() * size_of::<(String, String)>() + texts.sum::<usize>()
    }

    pub(crate) fn from_parsed(parsed: &[httparse::Header<'_>]) -> Headers {
        let text = |v: &[u8]| String::from_utf8_lossy(v).trim().to_string();
        Headers(parsed.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect())
    }

    /// Whether a header with a comma-separated value contains a token.
    pub(crate) fn has_token(&self, name: &str, token: &str) -> bool {
        let mut values = self.0.iter().filter(|(n, _)| n == name);
        values.any(|(_, value)| value.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
    }

    /// The length of the body according to `content-length`; two different lengths are an error.
    pub(crate) fn content_length(&self) -> Result<Option<u64>, HttpError> {
        let mut found = None;
        for (_, value) in self.0.iter().filter(|(n, _)| n == "content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let length = value.parse::<u64>().ok().filter(|_| digits);
            let length = length.ok_or(HttpError::Malformed("content-length is no number"))?;
            if found.is_some_and(|f| f != length) {
                return Err(HttpError::Malformed("two different content-lengths"));
            }
            found = Some(length);
        }
        Ok(found)
    }
}

/// The reason why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The bytes are not HTTP/1.1.
    Malformed(&'static str),
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The transfer encoding is not supported.
    Encoding,
}

impl HttpError {
    /// The status code with which a server responds to the message.
    pub fn status(&self) -> u16 {
        match self {
            HttpError::Malformed(_) => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::Encoding => 501,
        }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::Malformed(reason) => write!(f, "malformed message: {reason}"),
            HttpError::HeadTooLarge => f.write_str("the head is larger than allowed"),
            HttpError::BodyTooLarge => f.write_str("the body is larger than allowed"),
            HttpError::Encoding => f.write_str("this transfer encoding is not served"),
        }
    }
}

impl std::error::Error for HttpError {}
