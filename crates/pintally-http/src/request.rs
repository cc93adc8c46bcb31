//! Parsing of requests by a server, with size limits.

use crate::framing::Framing;
use crate::receive_buffer::ReceiveBuffer;
use crate::{Headers, HttpError, MAX_HEADERS};

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method, as sent.
    pub method: String,
    /// The request target, with path and query.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
    /// Whether the connection stays open after this request.
    pub keep_alive: bool,
}

impl Request {
    /// The memory of its parts.
    fn held_bytes(&self) -> usize {
        self.method.capacity() + self.target.capacity() + self.headers.held_bytes() + self.body.capacity()
    }
}

/// Turns bytes into requests.
pub struct RequestReader {
    max_head_bytes: usize,
    max_body_bytes: usize,
    buffer: ReceiveBuffer,
    /// The request whose body is being received.
    incoming: Option<(Request, Framing)>,
    /// The client waits for `100 Continue`, which [`RequestReader::take_expects_continue`] has not reported yet.
    expects_continue: bool,
}

impl RequestReader {
    /// A reader with limits for the sizes of head and body.
    pub fn new(max_head_bytes: usize, max_body_bytes: usize) -> RequestReader {
        RequestReader {
            max_head_bytes,
            max_body_bytes,
            buffer: ReceiveBuffer::default(),
            incoming: None,
            expects_continue: false,
        }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.push(bytes);
    }

    /// Whether part of a request has been received.
    pub fn is_partial(&self) -> bool {
        self.incoming.is_some() || !self.buffer.is_empty()
    }

    /// The number of buffered bytes: of the body that is being received, and not yet parsed.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() + self.incoming.as_ref().map_or(0, |(request, _)| request.body.len())
    }

    /// The memory of the buffered bytes and of the head of the request that is being received.
    pub fn held_bytes(&self) -> usize {
        let incoming = self.incoming.as_ref();
        self.buffer.held_bytes() + incoming.map_or(0, |(request, _)| request.held_bytes())
    }

    /// Whether the client waits for `100 Continue`; returns true at most once for each request.
    pub fn take_expects_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    /// The next request, if it has been received completely. After an error the connection cannot be used any
    /// more.
    ///
    /// # Errors
    ///
    /// Fails if the message is not HTTP/1.1, is too large, or has an unsupported transfer encoding.
    pub fn next_request(&mut self) -> Result<Option<Request>, HttpError> {
        if self.incoming.is_none() && !self.read_head()? {
            return Ok(None);
        }
        let Some((request, framing)) = &mut self.incoming else { return Ok(None) };
        let consumed = framing.decode(&self.buffer, &mut request.body, self.max_body_bytes)?;
        self.buffer.consume(consumed);
        match framing {
            Framing::Done => Ok(self.incoming.take().map(|(request, _)| request)),
            _ => Ok(None),
        }
    }

    fn read_head(&mut self) -> Result<bool, HttpError> {
        let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut header_buffer);
        let length = match parsed.parse(&self.buffer) {
            Ok(httparse::Status::Complete(length)) if length <= self.max_head_bytes => length,
            Ok(httparse::Status::Partial) if self.buffer.len() <= self.max_head_bytes => return Ok(false),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
            Err(_) => return Err(HttpError::Malformed("not an HTTP/1.1 request")),
        };
        let headers = Headers::from_parsed(parsed.headers);
        let keep_alive = match parsed.version {
            Some(1) => !headers.has_token("connection", "close"),
            _ => headers.has_token("connection", "keep-alive"),
        };
        let request = Request {
            method: parsed.method.unwrap_or("").to_string(),
            target: parsed.path.unwrap_or("").to_string(),
            headers,
            body: Vec::new(),
            keep_alive,
        };
        let framing = Framing::from_headers(&request.headers, Framing::Done)?;
        if request.headers.content_length()?.is_some_and(|length| length > self.max_body_bytes as u64) {
            return Err(HttpError::BodyTooLarge);
        }
        self.expects_continue =
            request.headers.has_token("expect", "100-continue") && !matches!(framing, Framing::Done);
        self.buffer.consume(length);
        self.incoming = Some((request, framing));
        Ok(true)
    }
}
