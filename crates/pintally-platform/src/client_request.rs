//! Parser of client requests: the kind of request, or the error response to the client.

use pintally::interface::{Micros, RequestId};
use pintally_host::{IncomingRequest, RequestNumber};
use pintally_http::{header_line, Headers, Request};
use pintally_wire::LabelIndex;
use serde::de::IgnoredAny;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Path of inference requests.
const INFERENCE_PATH: &str = "/v1/chat/completions";
/// Path of the platform's readiness check.
const READINESS_PATH: &str = "/up";
/// Path of the status document, for on-call operators.
const STATUS_PATH: &str = "/pintally/beliefs";
/// Maximum length of a request id.
const MAX_ID_BYTES: usize = 128;
/// Maximum number of tokens in a label.
const MAX_TOKENS: u64 = 1 << 32;
/// Maximum number of digits of a number of milliseconds: 18 digits fit in 64 bits.
const MAX_MILLIS_DIGITS: usize = 18;
/// Maximum timeout of a client: one day, longer than any client waits.
const MAX_TIMEOUT_MS: u64 = 86_400_000;
/// Headers that a request must not repeat.
const SINGLE_HEADERS: [&str; 5] = ["x-txn", "x-lane", "x-remaining-ms", "x-entity", "x-labels"];
/// Headers that are not forwarded, because the node sets them itself: those of the connection, of the
/// framing, and of the remaining time.
const HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "content-length",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "proxy-connection",
    "x-remaining-ms",
];

/// A valid client request.
#[derive(Debug)]
pub enum ClientRequest {
    /// A request to be routed to engines.
    Inference(Box<InferenceRequest>),
    /// A readiness check.
    Readiness,
    /// A request for the status document.
    Status,
}

/// A request to be routed to engines.
#[derive(Debug)]
pub struct InferenceRequest {
    /// The request as the host's input.
    pub arrival: IncomingRequest,
    /// The head that is forwarded to engines, without the headers that each attempt adds.
    pub head: String,
    /// The body, unchanged.
    pub body: Vec<u8>,
}

/// An error response to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{status}: {message}")]
pub struct RequestError {
    /// The HTTP status.
    pub status: u16,
    /// The text of the response body.
    pub message: &'static str,
}

impl RequestError {
    const fn bad_request(message: &'static str) -> RequestError {
        RequestError { status: 400, message }
    }
}

/// Parses a client's request; `number` is the number it gets if it is routed to engines.
///
/// # Errors
///
/// If the path or the method is not served, or a header or the body is invalid.
pub fn parse_client_request(
    labels: &LabelIndex,
    number: RequestNumber,
    request: Request,
) -> Result<ClientRequest, RequestError> {
    let path = request.target.split('?').next().unwrap_or("");
    match (request.method.as_str(), path) {
        ("POST", INFERENCE_PATH) => parse_inference(labels, number, request)
            .map(|inference| ClientRequest::Inference(Box::new(inference))),
        ("GET" | "HEAD", READINESS_PATH) => Ok(ClientRequest::Readiness),
        ("GET", STATUS_PATH) => Ok(ClientRequest::Status),
        (_, INFERENCE_PATH | READINESS_PATH | STATUS_PATH) => {
            Err(RequestError { status: 405, message: "no such method here" })
        }
        _ => Err(RequestError { status: 404, message: "no such path" }),
    }
}

fn parse_inference(
    labels: &LabelIndex,
    number: RequestNumber,
    request: Request,
) -> Result<InferenceRequest, RequestError> {
    let headers = &request.headers;
    check_single_headers(headers)?;
    let id = parse_id(headers)?;
    let class = parse_class(labels, headers)?;
    let tenant = parse_tenant(labels, headers)?;
    let client_timeout = parse_timeout(headers)?;
    let request_labels = RequestLabels::parse(header(headers, "x-labels").unwrap_or(""))?;
    // Guards against a truncated body that an engine would run as if it were complete.
    if serde_json::from_slice::<IgnoredAny>(&request.body).is_err() {
        return Err(RequestError::bad_request("the body is no JSON"));
    }
    let arrival = IncomingRequest {
        number,
        name: Some(id),
        class: Some(class),
        tenant,
        session: header(headers, "x-entity").filter(|entity| !entity.is_empty()).map(name_to_u64),
        prefix: request_labels.prefix.map(|prefix| name_to_u64(&prefix)).filter(|prefix| *prefix != 0),
        prompt_tokens: request_labels.prompt_tokens.unwrap_or(request.body.len() as u64 / 4),
        prefix_tokens: request_labels.prefix_tokens.unwrap_or(0),
        max_tokens: request_labels.max_tokens,
        client_timeout,
        streamed: true,
        resumed: header(headers, "x-resent") == Some("again"),
        bytes: request.body.len(),
        unix_ms: 0,
    };
    Ok(InferenceRequest { arrival, head: forwarded_head(&request), body: request.body })
}

fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.get(name).map(str::trim)
}

fn check_single_headers(headers: &Headers) -> Result<(), RequestError> {
    let count = |name: &str| headers.0.iter().filter(|(header, _)| header == name).count();
    if SINGLE_HEADERS.iter().any(|name| count(name) > 1) {
        return Err(RequestError::bad_request("a header that may come once came twice"));
    }
    Ok(())
}

fn parse_id(headers: &Headers) -> Result<RequestId, RequestError> {
    let Some(id) = header(headers, "x-txn").filter(|id| !id.is_empty()) else {
        return Err(RequestError::bad_request("X-Txn is missing"));
    };
    let is_valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    if id.len() > MAX_ID_BYTES || !id.bytes().all(is_valid) {
        return Err(RequestError::bad_request("X-Txn is no id"));
    }
    Ok(RequestId(id.into()))
}

fn parse_class(labels: &LabelIndex, headers: &Headers) -> Result<usize, RequestError> {
    let name = header(headers, "x-lane").ok_or(RequestError::bad_request("X-Lane is missing"))?;
    labels.class(name).ok_or(RequestError::bad_request("X-Lane names no class"))
}

fn parse_tenant(labels: &LabelIndex, headers: &Headers) -> Result<Option<usize>, RequestError> {
    match header(headers, "x-org") {
        None | Some("") => Ok(None),
        Some(name) => labels.tenant(name).map(Some).ok_or(RequestError::bad_request("X-Org names no tenant")),
    }
}

fn parse_timeout(headers: &Headers) -> Result<Option<Micros>, RequestError> {
    let Some(text) = header(headers, "x-remaining-ms") else { return Ok(None) };
    parse_millis(text).map(Some).ok_or(RequestError::bad_request("X-Remaining-Ms is no number"))
}

/// Parses whole milliseconds, limited to [`MAX_TIMEOUT_MS`].
fn parse_millis(text: &str) -> Option<Micros> {
    if text.is_empty() || text.len() > MAX_MILLIS_DIGITS || !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    text.parse::<u64>().ok().map(|ms| ms.min(MAX_TIMEOUT_MS) * 1000)
}

/// The request's head without the headers that the node sets itself.
fn forwarded_head(request: &Request) -> String {
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers.0 {
        if !HOP_HEADERS.contains(&name.as_str()) {
            header_line(&mut head, name, value);
        }
    }
    head
}

/// Maps a name to a number: hexadecimal names of up to 64 bits to their value, others to their hash.
fn name_to_u64(name: &str) -> u64 {
    match u64::from_str_radix(name, 16) {
        Ok(number) if name.len() <= 16 => number,
        _ => xxh3_64(name.as_bytes()),
    }
}

/// The labels in `X-Labels` that routing uses.
#[derive(Default)]
struct RequestLabels {
    prefix: Option<String>,
    prompt_tokens: Option<u64>,
    prefix_tokens: Option<u64>,
    max_tokens: Option<u64>,
}

impl RequestLabels {
    fn parse(text: &str) -> Result<RequestLabels, RequestError> {
        let mut labels = RequestLabels::default();
        for pair in text.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
            let (name, value) =
                pair.split_once('=').ok_or(RequestError::bad_request("X-Labels are no pairs"))?;
            let value = value.trim();
            match name.trim() {
                "prefix" => labels.prefix = Some(value.to_string()).filter(|prefix| !prefix.is_empty()),
                "prompt_len" => labels.prompt_tokens = Some(parse_tokens(value)?),
                "prefix_len" => labels.prefix_tokens = Some(parse_tokens(value)?),
                "max_out" => labels.max_tokens = Some(parse_tokens(value)?),
                _ => {}
            }
        }
        Ok(labels)
    }
}

/// Parses a number of tokens, limited to [`MAX_TOKENS`].
fn parse_tokens(text: &str) -> Result<u64, RequestError> {
    let number = text.parse::<f64>().ok().filter(|number| number.is_finite() && *number >= 0.0);
    let Some(number) = number else {
        return Err(RequestError::bad_request("a length in X-Labels is no number"));
    };
    Ok((number as u64).min(MAX_TOKENS))
}
