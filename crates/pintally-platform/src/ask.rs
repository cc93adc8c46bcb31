//! Clients' requests: what each asks for, or why it gets an error.

use pintally::interface::{Micros, RequestId};
use pintally_host::{IncomingRequest, RequestNumber};
use pintally_http::{header_line, Request};
use pintally_wire::LabelIndex;
use serde::de::IgnoredAny;
use xxhash_rust::xxh3::xxh3_64;

/// Where clients send requests.
const WORK: &str = "/v1/chat/completions";
/// Where the platform asks whether requests can be served.
const READY: &str = "/up";
/// What the node believes of each engine beside what passed on its sockets: for people on call.
const BELIEFS: &str = "/pintally/beliefs";
/// The longest id.
const MAX_ID: usize = 128;
/// The most tokens that a label may tell.
const MAX_TOKENS: u64 = 1 << 32;

/// What a call is for.
#[derive(Debug)]
pub enum Call {
    /// A request to be routed.
    Work(Box<Ask>),
    /// Whether requests can be served.
    Ready,
    /// What the node believes.
    Beliefs,
}

/// A request to be routed.
#[derive(Debug)]
pub struct Ask {
    /// What the host is told.
    pub arrival: IncomingRequest,
    /// The head that engines get, up to the lines that each attempt adds.
    pub head: String,
    /// Its body, as it came.
    pub body: Vec<u8>,
}

/// An error for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// The status.
    pub status: u16,
    /// What is wrong.
    pub why: &'static str,
}

fn bad(why: &'static str) -> Rejected {
    Rejected { status: 400, why }
}

/// What a whole request asks for.
pub fn call(names: &LabelIndex, ticket: RequestNumber, request: Request) -> Result<Call, Rejected> {
    let path = request.target.split('?').next().unwrap_or("");
    match (request.method.as_str(), path) {
        ("POST", WORK) => work(names, ticket, request).map(|ask| Call::Work(Box::new(ask))),
        ("GET" | "HEAD", READY) => Ok(Call::Ready),
        ("GET", BELIEFS) => Ok(Call::Beliefs),
        (_, WORK | READY | BELIEFS) => Err(Rejected { status: 405, why: "no such method here" }),
        _ => Err(Rejected { status: 404, why: "no such path" }),
    }
}

fn work(names: &LabelIndex, ticket: RequestNumber, request: Request) -> Result<Ask, Rejected> {
    let header = |name: &str| request.headers.get(name).map(str::trim);
    for name in ["x-txn", "x-lane", "x-remaining-ms", "x-entity", "x-labels"] {
        if request.headers.0.iter().filter(|(n, _)| n == name).count() > 1 {
            return Err(bad("a header that may come once came twice"));
        }
    }
    let id = header("x-txn").filter(|id| !id.is_empty()).ok_or(bad("X-Txn is missing"))?;
    let sound = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    if id.len() > MAX_ID || !id.bytes().all(sound) {
        return Err(bad("X-Txn is no id"));
    }
    let lane = header("x-lane").ok_or(bad("X-Lane is missing"))?;
    let class = names.class(lane).ok_or(bad("X-Lane names no class"))?;
    let tenant = match header("x-org") {
        None | Some("") => None,
        Some(name) => Some(names.tenant(name).ok_or(bad("X-Org names no tenant"))?),
    };
    let patience = match header("x-remaining-ms") {
        None => None,
        Some(text) => Some(millis(text).ok_or(bad("X-Remaining-Ms is no number"))?),
    };
    let labels = Labels::read(header("x-labels").unwrap_or(""))?;
    // Guards against a body that was cut off and would run as though it were whole.
    if serde_json::from_slice::<IgnoredAny>(&request.body).is_err() {
        return Err(bad("the body is no JSON"));
    }
    let prompt_tokens = labels.prompt.unwrap_or(request.body.len() as u64 / 4);
    let arrival = IncomingRequest {
        ticket,
        name: Some(RequestId(id.into())),
        class: Some(class),
        tenant,
        session: header("x-entity").filter(|e| !e.is_empty()).map(number),
        prefix: labels.prefix.map(|p| number(&p)).filter(|p| *p != 0),
        prompt_tokens,
        prefix_tokens: labels.prefix_tokens.unwrap_or(0),
        max_tokens: labels.max_out,
        client_timeout: patience,
        streamed: true,
        resumed: header("x-resent") == Some("again"),
        bytes: request.body.len(),
        unix_ms: 0,
    };
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers.0 {
        // What tells of the connection and of the framing is the node's own.
        let own = matches!(
            name.as_str(),
            "connection"
                | "keep-alive"
                | "content-length"
                | "transfer-encoding"
                | "te"
                | "trailer"
                | "upgrade"
                | "expect"
                | "proxy-connection"
                | "x-remaining-ms"
        );
        if !own {
            header_line(&mut head, name, value);
        }
    }
    Ok(Ask { arrival, head, body: request.body })
}

/// Whole milliseconds; what is longer than any clock is cut down.
fn millis(text: &str) -> Option<Micros> {
    if text.is_empty() || text.len() > 18 || !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    text.parse::<u64>().ok().map(|ms| ms.min(86_400_000) * 1000)
}

/// A name as a number: names of 64 bits are their own, others by their hash.
fn number(name: &str) -> u64 {
    match u64::from_str_radix(name, 16) {
        Ok(n) if name.len() <= 16 => n,
        _ => xxh3_64(name.as_bytes()),
    }
}

#[derive(Default)]
struct Labels {
    prefix: Option<String>,
    prompt: Option<u64>,
    prefix_tokens: Option<u64>,
    max_out: Option<u64>,
}

impl Labels {
    fn read(text: &str) -> Result<Labels, Rejected> {
        let mut labels = Labels::default();
        for pair in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            let (name, value) = pair.split_once('=').ok_or(bad("X-Labels are no pairs"))?;
            let (name, value) = (name.trim(), value.trim());
            let count = || -> Result<Option<u64>, Rejected> {
                let value: f64 = value.parse().map_err(|_| bad("a length in X-Labels is no number"))?;
                match value.is_finite() && value >= 0.0 {
                    true => Ok(Some((value as u64).min(MAX_TOKENS))),
                    false => Err(bad("a length in X-Labels is no number")),
                }
            };
            match name {
                "prefix" => labels.prefix = Some(value.to_string()).filter(|v| !v.is_empty()),
                "prompt_len" => labels.prompt = count()?,
                "prefix_len" => labels.prefix_tokens = count()?,
                "max_out" => labels.max_out = count()?,
                _ => {}
            }
        }
        Ok(labels)
    }
}
