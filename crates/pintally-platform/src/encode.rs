//! Requests to engines and to discovery, as bytes.

use std::fmt::Write;

/// The head of an attempt: the client's request head with the body length and the time budget that is
/// left.
pub fn encode_attempt_head(head: &str, remaining_ms: u64, body_bytes: usize) -> Vec<u8> {
    let mut out = String::with_capacity(head.len() + 64);
    out.push_str(head);
    let _ = write!(out, "X-Remaining-Ms: {remaining_ms}\r\nContent-Length: {body_bytes}\r\n\r\n");
    out.into_bytes()
}

/// A call that releases all reservations of a request.
pub fn encode_release(request_id: &str) -> Vec<u8> {
    format!("DELETE /v1/holds/{request_id} HTTP/1.1\r\nHost: engine\r\n\r\n").into_bytes()
}

/// A watch of the endpoint list, resumed after `revision` if there is one.
pub fn encode_watch(revision: Option<u64>) -> Vec<u8> {
    let index = revision.map_or(String::new(), |revision| format!("&index={revision}"));
    format!("GET /discovery/hosts?stream=1{index} HTTP/1.1\r\nHost: discovery\r\n\r\n").into_bytes()
}
