//! Requests as a server reads them: complete, within bounds.

use crate::framing::Framing;
use crate::{Headers, HttpError, MAX_HEADERS};

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its method, as it came.
    pub method: String,
    /// Its target, path and query.
    pub target: String,
    /// Its headers.
    pub headers: Headers,
    /// Its body, empty if it had none.
    pub body: Vec<u8>,
    /// The connection stays open after it.
    pub keep_alive: bool,
}

/// Turns bytes into requests.
pub struct RequestReader {
    max_head_bytes: usize,
    max_body_bytes: usize,
    buffer: Vec<u8>,
    /// The request whose body is coming in.
    incoming: Option<(Request, Framing)>,
    /// The client waits for `100 Continue`, and nobody has asked about it yet.
    expects_continue: bool,
}

impl RequestReader {
    /// A reader with bounds for head and body.
    pub fn new(max_head_bytes: usize, max_body_bytes: usize) -> RequestReader {
        RequestReader {
            max_head_bytes,
            max_body_bytes,
            buffer: Vec::new(),
            incoming: None,
            expects_continue: false,
        }
    }

    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether part of a request is here.
    pub fn is_partial(&self) -> bool {
        self.incoming.is_some() || !self.buffer.is_empty()
    }

    /// Bytes in memory: of the request that comes in, and behind it.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() + self.incoming.as_ref().map_or(0, |(request, _)| request.body.len())
    }

    /// Bytes that have come and have not been looked at.
    pub fn unparsed_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the client waits for `100 Continue`; true once for each request.
    pub fn take_expects_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    /// The next complete request, if it is here. After an error the connection is of no more use.
    ///
    /// # Errors
    ///
    /// A message that is not HTTP/1.1, is too large, or has an encoding that is not served.
    pub fn next_request(&mut self) -> Result<Option<Request>, HttpError> {
        if self.incoming.is_none() && !self.read_head()? {
            return Ok(None);
        }
        let Some((request, framing)) = &mut self.incoming else { return Ok(None) };
        let used = framing.take(&self.buffer, &mut request.body, self.max_body_bytes)?;
        self.buffer.drain(..used);
        match framing {
            Framing::Done => Ok(self.incoming.take().map(|(request, _)| request)),
            _ => Ok(None),
        }
    }

    fn read_head(&mut self) -> Result<bool, HttpError> {
        let mut space = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut space);
        let length = match parsed.parse(&self.buffer) {
            Ok(httparse::Status::Complete(length)) if length <= self.max_head_bytes => length,
            Ok(httparse::Status::Partial) if self.buffer.len() <= self.max_head_bytes => return Ok(false),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
            Err(_) => return Err(HttpError::Malformed("not an HTTP/1.1 request")),
        };
        let headers = Headers::from_parsed(parsed.headers);
        let keep_alive = match parsed.version {
            Some(1) => !headers.has("connection", "close"),
            _ => headers.has("connection", "keep-alive"),
        };
        let request = Request {
            method: parsed.method.unwrap_or("").to_string(),
            target: parsed.path.unwrap_or("").to_string(),
            headers,
            body: Vec::new(),
            keep_alive,
        };
        let framing = Framing::of(&request.headers, Framing::Done)?;
        if request.headers.length()?.is_some_and(|length| length > self.max_body_bytes as u64) {
            return Err(HttpError::BodyTooLarge);
        }
        self.expects_continue =
            request.headers.has("expect", "100-continue") && !matches!(framing, Framing::Done);
        self.buffer.drain(..length);
        self.incoming = Some((request, framing));
        Ok(true)
    }
}
