//! The framing of a message's body: by length, in chunks, or to the end of the connection.

use crate::{Headers, HttpError};

/// The longest line that gives a chunk's size, and the most trailer bytes.
const MAX_LINE_BYTES: usize = 1024;

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
            let rest = &buffer[used..];
            match self {
                Framing::Done => return Ok(used),
                Framing::ToEnd => {
                    push(out, rest, max_bytes)?;
                    return Ok(buffer.len());
                }
                Framing::Length(left) | Framing::Chunk(left) => {
                    let part = (*left).min(rest.len() as u64) as usize;
                    push(out, &rest[..part], max_bytes)?;
                    used += part;
                    *left -= part as u64;
                    match self {
                        Framing::Length(0) => *self = Framing::Done,
                        Framing::Chunk(0) => *self = Framing::ChunkEnd,
                        _ => return Ok(used),
                    }
                }
                Framing::ChunkSize => {
                    let Some(end) = line_end(rest)? else { return Ok(used) };
                    let line = std::str::from_utf8(&rest[..end]).unwrap_or("");
                    let size = line.split(';').next().unwrap_or("").trim();
                    let hex = !size.is_empty() && size.bytes().all(|b| b.is_ascii_hexdigit());
                    let size = u64::from_str_radix(size, 16).ok().filter(|_| hex);
                    let size = size.ok_or(HttpError::Malformed("a chunk's size is no number"))?;
                    used += end + 2;
                    *self = if size == 0 { Framing::Trailers(0) } else { Framing::Chunk(size) };
                }
                Framing::ChunkEnd => {
                    if rest.len() < 2 {
                        return Ok(used);
                    }
                    if !rest.starts_with(b"\r\n") {
                        return Err(HttpError::Malformed("no line end behind a chunk"));
                    }
                    used += 2;
                    *self = Framing::ChunkSize;
                }
                Framing::Trailers(seen) => {
                    let Some(end) = line_end(rest)? else { return Ok(used) };
                    used += end + 2;
                    *seen += end + 2;
                    if *seen > MAX_LINE_BYTES {
                        return Err(HttpError::HeadTooLarge);
                    }
                    if end == 0 {
                        *self = Framing::Done;
                    }
                }
            }
        }
    }
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
    match buffer.windows(2).take(MAX_LINE_BYTES).position(|w| w == b"\r\n") {
        Some(end) => Ok(Some(end)),
        None if buffer.len() > MAX_LINE_BYTES => Err(HttpError::Malformed("a line is too long")),
        None => Ok(None),
    }
}
