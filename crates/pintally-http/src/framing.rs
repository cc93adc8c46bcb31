//! The framing of the body of a message: by length, in chunks, or until the end of the connection.

use crate::receive_buffer::append;
use crate::{Headers, HttpError};

/// The maximum length of a chunk size line, and the maximum total size of the trailers.
const MAX_LINE_BYTES: usize = 1024;
const LINE_END: &[u8] = b"\r\n";

/// The framing of the remaining body, which is also the state of the parser.
pub(crate) enum Framing {
    /// This number of bytes remains.
    Length(u64),
    /// A chunk size line is next.
    ChunkSize,
    /// This number of bytes of the current chunk remains.
    Chunk(u64),
    /// The line end after a chunk is next.
    ChunkEnd,
    /// Trailer lines follow until an empty line; this number of trailer bytes has been parsed.
    Trailers(usize),
    /// The body extends to the end of the connection.
    ToEnd,
    /// The body is complete.
    Done,
}

impl Framing {
    /// The framing given by the headers; `default` applies if they give none.
    pub(crate) fn from_headers(headers: &Headers, default: Framing) -> Result<Framing, HttpError> {
        let length = headers.content_length()?;
        let mut codings = headers.0.iter().filter(|(n, _)| n == "transfer-encoding").map(|(_, v)| v.trim());
        if let Some(coding) = codings.next() {
            // Guards against request smuggling: two parsers must not see the end of one message at different
            // positions.
            if !coding.eq_ignore_ascii_case("chunked") || codings.next().is_some() {
                return Err(if length.is_some() {
                    HttpError::Malformed("a length beside a transfer encoding")
                } else {
                    HttpError::Encoding
                });
            }
            if length.is_some() {
                return Err(HttpError::Malformed("a length beside chunks"));
            }
            return Ok(Framing::ChunkSize);
        }
        Ok(match length {
            Some(0) => Framing::Done,
            Some(length) => Framing::Length(length),
            None => default,
        })
    }

    /// Parses as much as possible of the buffer and appends the body to `out`, which may hold at most
    /// `max_bytes`. Returns the number of consumed bytes.
    pub(crate) fn decode(
        &mut self,
        buffer: &[u8],
        out: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<usize, HttpError> {
        let mut consumed = 0;
        loop {
            let step = self.step(&buffer[consumed..], out, max_bytes)?;
            consumed += step.consumed;
            if step.needs_input {
                return Ok(consumed);
            }
        }
    }

    /// Parses one element: a part of the body, or one line.
    fn step(&mut self, buffer: &[u8], out: &mut Vec<u8>, max_bytes: usize) -> Result<Step, HttpError> {
        match self {
            Framing::Done => Ok(Step::NEEDS_INPUT),
            Framing::ToEnd => {
                push(out, buffer, max_bytes)?;
                Ok(Step { consumed: buffer.len(), needs_input: true })
            }
            Framing::Length(remaining) | Framing::Chunk(remaining) => {
                let length = (*remaining).min(buffer.len() as u64) as usize;
                push(out, &buffer[..length], max_bytes)?;
                *remaining -= length as u64;
                let complete = *remaining == 0;
                if complete {
                    *self = if matches!(self, Framing::Chunk(_)) { Framing::ChunkEnd } else { Framing::Done };
                }
                Ok(Step { consumed: length, needs_input: !complete })
            }
            Framing::ChunkSize => {
                let Some(end) = line_end(buffer)? else { return Ok(Step::NEEDS_INPUT) };
                let size = chunk_size(&buffer[..end])?;
                *self = if size == 0 { Framing::Trailers(0) } else { Framing::Chunk(size) };
                Ok(Step::line(end))
            }
            Framing::ChunkEnd => {
                if buffer.len() < LINE_END.len() {
                    return Ok(Step::NEEDS_INPUT);
                }
                if !buffer.starts_with(LINE_END) {
                    return Err(HttpError::Malformed("no line end behind a chunk"));
                }
                *self = Framing::ChunkSize;
                Ok(Step::line(0))
            }
            Framing::Trailers(seen) => {
                let Some(end) = line_end(buffer)? else { return Ok(Step::NEEDS_INPUT) };
                *seen += end + LINE_END.len();
                if *seen > MAX_LINE_BYTES {
                    return Err(HttpError::HeadTooLarge);
                }
                if end == 0 {
                    *self = Framing::Done;
                }
                Ok(Step::line(end))
            }
        }
    }
}

/// The result of parsing one element.
struct Step {
    /// The number of consumed bytes.
    consumed: usize,
    /// Nothing more can be parsed without further bytes.
    needs_input: bool,
}

impl Step {
    const NEEDS_INPUT: Step = Step { consumed: 0, needs_input: true };

    /// The step over a line of this length and its line end.
    fn line(length: usize) -> Step {
        Step { consumed: length + LINE_END.len(), needs_input: false }
    }
}

/// The size in a chunk size line; chunk extensions are ignored.
fn chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let line = std::str::from_utf8(line).unwrap_or("");
    let size = line.split(';').next().unwrap_or("").trim();
    let is_hex = !size.is_empty() && size.bytes().all(|byte| byte.is_ascii_hexdigit());
    let size = u64::from_str_radix(size, 16).ok().filter(|_| is_hex);
    size.ok_or(HttpError::Malformed("a chunk's size is no number"))
}

fn push(out: &mut Vec<u8>, part: &[u8], max_bytes: usize) -> Result<(), HttpError> {
    if out.len() + part.len() > max_bytes {
        return Err(HttpError::BodyTooLarge);
    }
    append(out, part);
    Ok(())
}

/// The position of the first line end, if there is one.
fn line_end(buffer: &[u8]) -> Result<Option<usize>, HttpError> {
    match buffer.windows(LINE_END.len()).take(MAX_LINE_BYTES).position(|bytes| bytes == LINE_END) {
        Some(end) => Ok(Some(end)),
        None if buffer.len() > MAX_LINE_BYTES => Err(HttpError::Malformed("a line is too long")),
        None => Ok(None),
    }
}
