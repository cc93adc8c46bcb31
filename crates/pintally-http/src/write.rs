//! Serialization of messages and their parts.

use std::fmt::Write;

/// The end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Appends a header line. Control characters in the value are replaced by spaces, so that a value cannot inject
/// another header line.
pub fn header_line(out: &mut String, name: &str, value: &str) {
    let clean: String = value.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    let _ = write!(out, "{name}: {clean}\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// The head of a response with a chunked body.
pub fn response_head(status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\ntransfer-encoding: chunked\r\n", reason_phrase(status));
    headers.iter().for_each(|(name, value)| header_line(&mut out, name, value));
    out.push_str("\r\n");
    out.into_bytes()
}

/// A response with its body.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out =
        format!("HTTP/1.1 {status} {}\r\ncontent-length: {}\r\n", reason_phrase(status), body.len());
    headers.iter().for_each(|(name, value)| header_line(&mut out, name, value));
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// A request with its body.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| header_line(&mut out, name, value));
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// A chunk of a body.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", data.len()).into_bytes();
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    out
}

/// A server-sent event; `data` must not contain a line end.
pub fn sse_event(data: &str) -> Vec<u8> {
    format!("data: {data}\n\n").into_bytes()
}
