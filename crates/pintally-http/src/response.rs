//! Responses as a client reads them: the head, then the body as it comes.

use crate::framing::Framing;
use crate::{Headers, HttpError, MAX_HEADERS};

/// The most body bytes that one call returns.
const MAX_PART_BYTES: usize = 1 << 20;

/// A part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The status and headers.
    Head(u16, Headers),
    /// Some of the body.
    Body(Vec<u8>),
    /// The response is complete; `true` if the connection may be used again.
    End(bool),
}

/// Turns bytes into the parts of one response.
pub struct ResponseReader {
    max_head_bytes: usize,
    max_chunk_bytes: u64,
    buffer: Vec<u8>,
    framing: Option<Framing>,
    keep_alive: bool,
    chunked: bool,
    ended: bool,
}

impl ResponseReader {
    /// A reader with a bound for the head.
    pub fn new(max_head_bytes: usize) -> ResponseReader {
        ResponseReader {
            max_head_bytes,
            max_chunk_bytes: u64::MAX,
            buffer: Vec::new(),
            framing: None,
            keep_alive: true,
            chunked: false,
            ended: false,
        }
    }

    /// The same reader, to which a chunk announced as longer than this is an error.
    pub fn with_max_chunk_bytes(mut self, most: u64) -> ResponseReader {
        self.max_chunk_bytes = most;
        self
    }

    /// Whether the body comes in chunks, so that its end is known for certain.
    pub fn is_chunked(&self) -> bool {
        self.chunked
    }

    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether any byte of the response has come.
    pub fn has_started(&self) -> bool {
        self.framing.is_some() || !self.buffer.is_empty()
    }

    /// Bytes that have come and belong to no part returned so far.
    pub fn leftover_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Takes what has come behind the response: the start of the next one.
    pub fn take_leftover(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    /// The peer has closed: a body that runs to the end is complete, anything else is cut off.
    ///
    /// # Errors
    ///
    /// The response is cut off.
    pub fn closed(&mut self) -> Result<Part, HttpError> {
        match self.framing {
            Some(Framing::ToEnd) => {
                self.ended = true;
                Ok(Part::End(false))
            }
            _ => Err(HttpError::Malformed("the connection ended inside a response")),
        }
    }

    /// The next part, if it is here.
    ///
    /// # Errors
    ///
    /// A message that is not HTTP/1.1, is too large, or has an encoding that is not served.
    pub fn next_part(&mut self) -> Result<Option<Part>, HttpError> {
        if self.ended {
            return Ok(None);
        }
        let Some(framing) = &mut self.framing else { return self.read_head() };
        let mut body = Vec::new();
        let end = self.buffer.len().min(MAX_PART_BYTES);
        let used = framing.take(&self.buffer[..end], &mut body, MAX_PART_BYTES)?;
        self.buffer.drain(..used);
        if matches!(framing, Framing::Chunk(left) if *left > self.max_chunk_bytes) {
            return Err(HttpError::BodyTooLarge);
        }
        if !body.is_empty() {
            return Ok(Some(Part::Body(body)));
        }
        if matches!(framing, Framing::Done) {
            self.ended = true;
            return Ok(Some(Part::End(self.keep_alive && self.buffer.is_empty())));
        }
        Ok(None)
    }

    fn read_head(&mut self) -> Result<Option<Part>, HttpError> {
        loop {
            let mut space = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Response::new(&mut space);
            let length = match parsed.parse(&self.buffer) {
                Ok(httparse::Status::Complete(length)) if length <= self.max_head_bytes => length,
                Ok(httparse::Status::Partial) if self.buffer.len() <= self.max_head_bytes => return Ok(None),
                Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
                Err(_) => return Err(HttpError::Malformed("not an HTTP/1.1 response")),
            };
            let status = parsed.code.unwrap_or(0);
            let headers = Headers::from_parsed(parsed.headers);
            self.keep_alive = match parsed.version {
                Some(1) => !headers.has("connection", "close"),
                _ => headers.has("connection", "keep-alive"),
            };
            self.buffer.drain(..length);
            if (100..200).contains(&status) {
                continue;
            }
            let empty = matches!(status, 204 | 304);
            let framing = Framing::of(&headers, if empty { Framing::Done } else { Framing::ToEnd })?;
            self.chunked = matches!(framing, Framing::ChunkSize);
            if matches!(framing, Framing::ToEnd) {
                self.keep_alive = false;
            }
            self.framing = Some(if empty { Framing::Done } else { framing });
            return Ok(Some(Part::Head(status, headers)));
        }
    }
}
