//! Encoding of requests to engines and to discovery.

use std::fmt::Write;

/// Encodes the head of an attempt: the client's request head, the body length, and the time that is left
/// until the client's deadline.
pub fn encode_attempt_head(head: &str, remaining_ms: u64, body_bytes: usize) -> Vec<u8> {
    let mut out = String::with_capacity(head.len() + 64);
    out.push_str(head);
    let _ = write!(out, "X-Remaining-Ms: {remaining_ms}\r\nContent-Length: {body_bytes}\r\n\r\n");
    out.into_bytes()
}

/// Encodes a call that releases all reservations of a request.
pub fn encode_release(request_id: &str) -> Vec<u8> {
    format!("DELETE /v1/holds/{request_id} HTTP/1.1\r\nHost: engine\r\n\r\n").into_bytes()
}

/// Encodes a watch of the endpoint list, which resumes after `revision` if there is one.
pub fn encode_watch(revision: Option<u64>) -> Vec<u8> {
    let index = revision.map_or(String::new(), |revision| format!("&index={revision}"));
    format!("GET /discovery/hosts?stream=1{index} HTTP/1.1\r\nHost: discovery\r\n\r\n").into_bytes()
}
