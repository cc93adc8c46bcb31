//! Incremental parser of engine responses: turns received bytes into complete events and an outcome.
//!
//! Only complete events with valid lines are forwarded, so that garbage inside a chunk, or a chunk with a
//! wrong size, never reaches a client as if it were output of the engine.

use pintally::interface::{LoadReport, Outcome};
use pintally_http::{Headers, HttpError, Part, ResponseReader};
use pintally_wire::LabelIndex;
use serde_json::Value;

use crate::{outcome_of_response, MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// Maximum size of one event, and of the body of a response that is not a stream.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// Maximum announced size of a chunk.
const MAX_CHUNK_BYTES: u64 = MAX_BODY_BYTES as u64;
/// The name of the header, and of the comment in a stream, that carries a load report.
const LOAD_REPORT: &str = "x-pressure";
/// The header by which an engine confirms that it rejected a request without running any of it.
const REJECTED_HEADER: &str = "x-turned-away";

const INVALID_LINE: &str = "a line is not a field or comment of an event stream";
const EVENT_TOO_LONG: &str = "an event exceeds the size limit";

/// A parsed part of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    /// Complete events of the stream, unchanged; the first ones start the response to the client.
    Events(Vec<u8>),
    /// The attempt has ended.
    Ended {
        /// Its outcome.
        outcome: Outcome,
        /// Prompt tokens that the engine had cached.
        cached_tokens: u64,
        /// The engine's load report.
        load: Option<LoadReport>,
        /// Whether the connection may be reused.
        reusable: bool,
    },
}

/// Parses the response to one attempt.
pub struct EngineResponseReader {
    response: ResponseReader,
    status: u16,
    rejected: bool,
    load: Option<LoadReport>,
    cached_tokens: u64,
    body: Vec<u8>,
    /// An event with data has been forwarded.
    stream_started: bool,
    ended: bool,
    error: Option<&'static str>,
}

impl Default for EngineResponseReader {
    fn default() -> EngineResponseReader {
        EngineResponseReader {
            response: ResponseReader::new(MAX_HEAD_BYTES).with_max_chunk_bytes(MAX_CHUNK_BYTES),
            status: 0,
            rejected: false,
            load: None,
            cached_tokens: 0,
            body: Vec::new(),
            stream_started: false,
            ended: false,
            error: None,
        }
    }
}

impl EngineResponseReader {
    /// Why the response is invalid, for logs.
    pub fn error(&self) -> Option<&'static str> {
        self.error
    }

    /// Whether no byte has been received.
    pub fn has_no_bytes(&self) -> bool {
        !self.response.has_started()
    }

    /// The memory of what has been received and not been forwarded.
    pub fn held_bytes(&self) -> usize {
        self.response.held_bytes() + self.body.capacity()
    }

    /// Whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Parses received bytes and appends the events that they complete.
    pub fn push(&mut self, bytes: &[u8], labels: &LabelIndex, events: &mut Vec<ResponseEvent>) {
        if self.ended {
            return;
        }
        self.response.push(bytes);
        while !self.ended {
            match self.response.next_part() {
                Ok(Some(part)) => self.handle_part(part, labels, events),
                Ok(None) => return,
                Err(error) => self.fail(describe(error), events),
            }
        }
    }

    /// Handles the close of the connection by the engine's side.
    pub fn connection_closed(&mut self, labels: &LabelIndex, events: &mut Vec<ResponseEvent>) {
        if self.ended {
            return;
        }
        // A stream ends with its last chunk; the close of the connection does not show that it is complete.
        match self.response.closed() {
            Ok(part) if self.status != 200 => self.handle_part(part, labels, events),
            _ => self.fail("the connection closed before the end of the response", events),
        }
    }

    /// Ends an invalid response; the connection is not reusable.
    fn fail(&mut self, error: &'static str, events: &mut Vec<ResponseEvent>) {
        self.error = Some(error);
        self.end(Outcome::ConnectionBroken, false, events);
    }

    fn handle_part(&mut self, part: Part, labels: &LabelIndex, events: &mut Vec<ResponseEvent>) {
        match part {
            Part::Head(status, headers) => self.handle_head(status, &headers, labels),
            Part::Body(bytes) if self.status == 200 => {
                self.body.extend_from_slice(&bytes);
                self.forward_events(labels, events);
            }
            Part::Body(bytes) => {
                if self.body.len() + bytes.len() > MAX_EVENT_BYTES {
                    return self.fail("the body exceeds the size limit", events);
                }
                self.body.extend_from_slice(&bytes);
            }
            Part::End(reusable) => self.finish(reusable, labels, events),
        }
    }

    fn handle_head(&mut self, status: u16, headers: &Headers, labels: &LabelIndex) {
        self.status = status;
        self.rejected = headers.get(REJECTED_HEADER).is_some_and(|v| v.trim() == "1");
        self.load = headers.get(LOAD_REPORT).and_then(|v| labels.load_from_pairs(v));
    }

    /// Forwards the complete events of the stream.
    fn forward_events(&mut self, labels: &LabelIndex, events: &mut Vec<ResponseEvent>) {
        let Some(end) = end_of_events(&self.body) else {
            if self.body.len() > MAX_EVENT_BYTES {
                self.fail(EVENT_TOO_LONG, events);
            }
            return;
        };
        let rest = self.body.split_off(end);
        let complete = std::mem::replace(&mut self.body, rest);
        match self.scan_lines(&complete, labels) {
            Err(InvalidLine) => self.fail(INVALID_LINE, events),
            Ok(has_data) => {
                if has_data || self.stream_started {
                    self.stream_started = true;
                    events.push(ResponseEvent::Events(complete));
                }
                if self.body.len() > MAX_EVENT_BYTES {
                    self.fail(EVENT_TOO_LONG, events);
                }
            }
        }
    }

    /// Checks the lines of a stream and reads usage and load reports; returns whether any line carries data.
    fn scan_lines(&mut self, bytes: &[u8], labels: &LabelIndex) -> Result<bool, InvalidLine> {
        let mut has_data = false;
        for line in bytes.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(data) = line.strip_prefix(b"data:") {
                let data = data.trim_ascii_start();
                if !data.starts_with(b"{") && !data.starts_with(b"[") {
                    return Err(InvalidLine);
                }
                has_data = true;
                self.read_usage(data);
            } else if let Some(comment) = line.strip_prefix(b":") {
                self.read_comment(comment, labels);
            } else if !line.is_empty()
                && ![&b"event:"[..], b"id:", b"retry:"].iter().any(|field| line.starts_with(field))
            {
                return Err(InvalidLine);
            }
        }
        Ok(has_data)
    }

    fn read_usage(&mut self, data: &[u8]) {
        const CACHED_TOKENS: &[u8] = b"\"cached_tokens\"";
        if !data.windows(CACHED_TOKENS.len()).any(|window| window == CACHED_TOKENS) {
            return;
        }
        if let Ok(json) = serde_json::from_slice::<Value>(data) {
            let cached_tokens = &json["usage"]["prompt_tokens_details"]["cached_tokens"];
            self.cached_tokens = cached_tokens.as_u64().unwrap_or(self.cached_tokens);
        }
    }

    fn read_comment(&mut self, comment: &[u8], labels: &LabelIndex) {
        let Ok(text) = std::str::from_utf8(comment) else { return };
        if let Some((name, value)) = text.split_once(':') {
            if name.trim().eq_ignore_ascii_case(LOAD_REPORT) {
                self.load = labels.load_from_pairs(value).or(self.load);
            }
        }
    }

    fn finish(&mut self, reusable: bool, labels: &LabelIndex, events: &mut Vec<ResponseEvent>) {
        let outcome = outcome_of_response(self.status, self.rejected);
        if outcome == Outcome::Served {
            // The last event may lack the blank line that ends it.
            let rest = std::mem::take(&mut self.body);
            match self.scan_lines(&rest, labels) {
                Ok(has_data) if !rest.is_empty() && (has_data || self.stream_started) => {
                    self.stream_started = true;
                    events.push(ResponseEvent::Events(rest));
                }
                Ok(_) => {}
                Err(InvalidLine) => return self.fail(INVALID_LINE, events),
            }
            // Guards against an empty stream, and one that is cut off by the close of the connection.
            if !self.stream_started || !self.response.is_chunked() {
                return self.fail("the stream has no event or no last chunk", events);
            }
        }
        if outcome == Outcome::Read {
            let json: Value = serde_json::from_slice(&self.body).unwrap_or(Value::Null);
            self.cached_tokens = json["cached_tokens"].as_u64().unwrap_or(0);
        }
        self.end(outcome, reusable, events);
    }

    fn end(&mut self, outcome: Outcome, reusable: bool, events: &mut Vec<ResponseEvent>) {
        if !std::mem::replace(&mut self.ended, true) {
            self.body = Vec::new();
            events.push(ResponseEvent::Ended {
                outcome,
                cached_tokens: self.cached_tokens,
                load: self.load,
                reusable,
            });
        }
    }
}

/// A line that is not valid in an event stream.
struct InvalidLine;

/// Describes an error of the HTTP parser, for logs.
fn describe(error: HttpError) -> &'static str {
    match error {
        HttpError::Malformed(reason) => reason,
        HttpError::HeadTooLarge => "the head exceeds the size limit",
        HttpError::BodyTooLarge => "a chunk exceeds the size limit",
        HttpError::Encoding => "the transfer encoding is not supported",
    }
}

/// The position behind the last complete event.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let ends = |at: usize| {
        bytes[at] == b'\n' && (at >= 1 && bytes[at - 1] == b'\n' || at >= 2 && bytes[at - 2..at] == *b"\n\r")
    };
    (1..bytes.len()).rev().find(|&at| ends(at)).map(|at| at + 1)
}
