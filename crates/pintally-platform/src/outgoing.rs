//! Messages to engines and to discovery, as bytes.

use std::fmt::Write;

/// The head of an attempt: the client's request as it came, framed by its length, and how long the
/// node will wait.
pub fn attempt_head(head: &str, wait_ms: u64, body: usize) -> Vec<u8> {
    let mut out = String::with_capacity(head.len() + 64);
    out.push_str(head);
    let _ = write!(out, "X-Remaining-Ms: {wait_ms}\r\nContent-Length: {body}\r\n\r\n");
    out.into_bytes()
}

/// A call that lets go of all that is held for a request.
pub fn release(id: &str) -> Vec<u8> {
    format!("DELETE /v1/holds/{id} HTTP/1.1\r\nHost: engine\r\n\r\n").into_bytes()
}

/// A watch of the list of engines, from a version on if there is one.
pub fn watch(after: Option<u64>) -> Vec<u8> {
    let after = after.map_or(String::new(), |a| format!("&index={a}"));
    format!("GET /discovery/hosts?stream=1{after} HTTP/1.1\r\nHost: discovery\r\n\r\n").into_bytes()
}
