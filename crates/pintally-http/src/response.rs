//! Parsing of responses by a client: the head, then the parts of the body as they arrive.

use crate::framing::Framing;
use crate::receive_buffer::ReceiveBuffer;
use crate::{Headers, HttpError, MAX_HEADERS};

/// The maximum number of body bytes that one call returns.
const MAX_PART_BYTES: usize = 1 << 20;

/// A part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The status and headers.
    Head(u16, Headers),
    /// A part of the body.
    Body(Vec<u8>),
    /// The response is complete; `true` if the connection can be reused.
    End(bool),
}

/// Turns bytes into the parts of one response.
pub struct ResponseReader {
    max_head_bytes: usize,
    max_chunk_bytes: u64,
    buffer: ReceiveBuffer,
    framing: Option<Framing>,
    keep_alive: bool,
    chunked: bool,
    ended: bool,
}

impl ResponseReader {
    /// A reader with a limit for the size of the head.
    pub fn new(max_head_bytes: usize) -> ResponseReader {
        ResponseReader {
            max_head_bytes,
            max_chunk_bytes: u64::MAX,
            buffer: ReceiveBuffer::default(),
            framing: None,
            keep_alive: true,
            chunked: false,
            ended: false,
        }
    }

    /// Sets the maximum size of a chunk; a larger chunk is an error as soon as its size line has been parsed.
    pub fn with_max_chunk_bytes(mut self, max_chunk_bytes: u64) -> ResponseReader {
        self.max_chunk_bytes = max_chunk_bytes;
        self
    }

    /// Whether the body is chunked, so that a truncated body can be detected.
    pub fn is_chunked(&self) -> bool {
        self.chunked
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.push(bytes);
    }

    /// Whether any byte of the response has been received.
    pub fn has_started(&self) -> bool {
        self.framing.is_some() || !self.buffer.is_empty()
    }

    /// The number of received bytes that belong to no part returned so far.
    pub fn leftover_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The memory of the received bytes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.held_bytes()
    }

    /// Takes the bytes received after the response, which are the start of the next one.
    pub fn take_leftover(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer).to_vec()
    }

    /// Handles the close of the connection by the peer: a body that extends to the end of the connection is now
    /// complete, any other response is truncated.
    ///
    /// # Errors
    ///
    /// Fails if the response is truncated.
    pub fn closed(&mut self) -> Result<Part, HttpError> {
        match self.framing {
            Some(Framing::ToEnd) => {
                self.ended = true;
                Ok(Part::End(false))
            }
            _ => Err(HttpError::Malformed("the connection was closed before the end of the response")),
        }
    }

    /// The next part, if it has been received.
    ///
    /// # Errors
    ///
    /// Fails if the message is not HTTP/1.1, is too large, or has an unsupported transfer encoding.
    pub fn next_part(&mut self) -> Result<Option<Part>, HttpError> {
        if self.ended {
            return Ok(None);
        }
        let Some(framing) = &mut self.framing else { return self.read_head() };
        let mut body = Vec::new();
        let end = self.buffer.len().min(MAX_PART_BYTES);
        let consumed = framing.decode(&self.buffer[..end], &mut body, MAX_PART_BYTES)?;
        self.buffer.consume(consumed);
        if matches!(framing, Framing::Chunk(remaining) if *remaining > self.max_chunk_bytes) {
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
            let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Response::new(&mut header_buffer);
            let length = match parsed.parse(&self.buffer) {
                Ok(httparse::Status::Complete(length)) if length <= self.max_head_bytes => length,
                Ok(httparse::Status::Partial) if self.buffer.len() <= self.max_head_bytes => return Ok(None),
                Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
                Err(_) => return Err(HttpError::Malformed("not an HTTP/1.1 response")),
            };
            let status = parsed.code.unwrap_or(0);
            let headers = Headers::from_parsed(parsed.headers);
            self.keep_alive = match parsed.version {
                Some(1) => !headers.has_token("connection", "close"),
                _ => headers.has_token("connection", "keep-alive"),
            };
            self.buffer.consume(length);
            if (100..200).contains(&status) {
                continue;
            }
            let has_no_body = matches!(status, 204 | 304);
            let framing =
                Framing::from_headers(&headers, if has_no_body { Framing::Done } else { Framing::ToEnd })?;
            self.chunked = matches!(framing, Framing::ChunkSize);
            if matches!(framing, Framing::ToEnd) {
                self.keep_alive = false;
            }
            self.framing = Some(if has_no_body { Framing::Done } else { framing });
            return Ok(Some(Part::Head(status, headers)));
        }
    }
}
