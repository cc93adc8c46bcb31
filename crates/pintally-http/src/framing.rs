//! The framing of a message's body: by length, in chunks, or to the end of the connection.

use crate::{Headers, HttpError};

/// The longest line that gives a chunk's size, and the most trailer bytes.
const MAX_LINE_BYTES: usize = 1024;
const LINE_END: &[u8] = b"\r\n";

/// How the rest of a body is framed.
pub(crate) enum Framing {
    /// So many bytes are left.
    Length(u64),
    /// A chunk's size line comes next.
    ChunkSize,
    /// So many bytes of the chunk are left.
    Chunk(u64),
    /// The line end behind a chunk comes next.
    ChunkEnd,
    /// Trailer lines come until an empty one; so many bytes of them have come.
    Trailers(usize),
    /// All bytes until the connection ends.
    ToEnd,
    /// The body is complete.
    Done,
}

impl Framing {
    /// The framing by the headers; `otherwise` is that of a message without one.
    pub(crate) fn of(headers: &Headers, otherwise: Framing) -> Result<Framing, HttpError> {
        let length = headers.length()?;
        let mut codings = headers.0.iter().filter(|(n, _)| n == "transfer-encoding").map(|(_, v)| v.trim());
        if let Some(coding) = codings.next() {
            // Guards against two readers of one message that see its end in different places.
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
            None => otherwise,
        })
    }

    /// Takes what it can from the buffer's start into `out`; returns how many bytes were used up.
    /// `out` may hold `max_bytes`.
    pub(crate) fn take(
        &mut self,
        buffer: &[u8],
        out: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<usize, HttpError> {
        let mut used = 0;
        loop {
            let step = self.step(&buffer[used..], out, max_bytes)?;
            used += step.used;
            if step.waits {
                return Ok(used);
            }
        }
    }

    /// Takes one piece: a part of the body, or one line.
    fn step(&mut self, buffer: &[u8], out: &mut Vec<u8>, max_bytes: usize) -> Result<Step, HttpError> {
        match self {
            Framing::Done => Ok(Step::WAIT),
            Framing::ToEnd => {
                push(out, buffer, max_bytes)?;
                Ok(Step { used: buffer.len(), waits: true })
            }
            Framing::Length(left) | Framing::Chunk(left) => {
                let part = (*left).min(buffer.len() as u64) as usize;
                push(out, &buffer[..part], max_bytes)?;
                *left -= part as u64;
                let complete = *left == 0;
                if complete {
                    *self = if matches!(self, Framing::Chunk(_)) { Framing::ChunkEnd } else { Framing::Done };
                }
                Ok(Step { used: part, waits: !complete })
            }
            Framing::ChunkSize => {
                let Some(end) = line_end(buffer)? else { return Ok(Step::WAIT) };
                let size = chunk_size(&buffer[..end])?;
                *self = if size == 0 { Framing::Trailers(0) } else { Framing::Chunk(size) };
                Ok(Step::line(end))
            }
            Framing::ChunkEnd => {
                if buffer.len() < LINE_END.len() {
                    return Ok(Step::WAIT);
                }
                if !buffer.starts_with(LINE_END) {
                    return Err(HttpError::Malformed("no line end behind a chunk"));
                }
                *self = Framing::ChunkSize;
                Ok(Step::line(0))
            }
            Framing::Trailers(seen) => {
                let Some(end) = line_end(buffer)? else { return Ok(Step::WAIT) };
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

/// What one step over a buffer has done.
struct Step {
    /// Bytes that were used up.
    used: usize,
    /// Nothing goes on without more bytes.
    waits: bool,
}

impl Step {
    const WAIT: Step = Step { used: 0, waits: true };

    /// A line of this length, and its end.
    fn line(length: usize) -> Step {
        Step { used: length + LINE_END.len(), waits: false }
    }
}

/// The size in a chunk's first line, in front of extensions.
fn chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let line = std::str::from_utf8(line).unwrap_or("");
    let size = line.split(';').next().unwrap_or("").trim();
    let hex = !size.is_empty() && size.bytes().all(|byte| byte.is_ascii_hexdigit());
    let size = u64::from_str_radix(size, 16).ok().filter(|_| hex);
    size.ok_or(HttpError::Malformed("a chunk's size is no number"))
}

fn push(out: &mut Vec<u8>, part: &[u8], max_bytes: usize) -> Result<(), HttpError> {
    if out.len() + part.len() > max_bytes {
        return Err(HttpError::BodyTooLarge);
    }
    out.extend_from_slice(part);
    Ok(())
}

/// Where the first line ends, if it is all there.
fn line_end(buffer: &[u8]) -> Result<Option<usize>, HttpError> {
    match buffer.windows(LINE_END.len()).take(MAX_LINE_BYTES).position(|bytes| bytes == LINE_END) {
        Some(end) => Ok(Some(end)),
        None if buffer.len() > MAX_LINE_BYTES => Err(HttpError::Malformed("a line is too long")),
        None => Ok(None),
    }
}
