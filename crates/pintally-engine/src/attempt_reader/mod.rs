//! Parsing of the engine's response to an attempt, which may be split at any position, into progress and an outcome.

#[cfg(test)]
mod tests;

use pintally::interface::{LoadReport, Outcome};
use pintally_http::{Part, ResponseReader, SseReader};
use serde_json::Value;

use crate::{extension, load_from_header, outcome_of_status, Step, LOAD_HEADER};

/// The maximum size of the head of a response.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// The maximum size of an event of a stream.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// The maximum size of the body of the response to a read, or of an error response.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The progress of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// The next part of the text of the answer.
    Text(String),
    /// The attempt has ended.
    Ended {
        /// The outcome of the attempt.
        outcome: Outcome,
        /// The number of prompt tokens found in the prefix cache.
        cached_tokens: u64,
        /// The load report of the engine, if the response contains one.
        load: Option<LoadReport>,
        /// The `kv_transfer_params` returned by a read.
        state: Option<Value>,
        /// Whether the connection can be reused.
        reusable: bool,
    },
}

/// Parses the response to one attempt into progress.
pub struct AttemptReader {
    step: Step,
    slots: u64,
    response: ResponseReader,
    sse: SseReader,
    status: u16,
    /// The engine guarantees that the request did not run.
    not_run: bool,
    load: Option<LoadReport>,
    cached_tokens: u64,
    body: Vec<u8>,
    /// The stream has given a finish reason.
    has_finish_reason: bool,
    /// The last event of the stream has been received after the finish reason.
    complete: bool,
    ended: bool,
}

impl AttemptReader {
    /// A reader for the response to an attempt. `slots` is the number of slots of the engine, 0 if unknown.
    pub fn new(step: Step, slots: u64) -> AttemptReader {
        AttemptReader {
            step,
            slots,
            response: ResponseReader::new(MAX_HEAD_BYTES),
            sse: SseReader::new(MAX_EVENT_BYTES),
            status: 0,
            not_run: false,
            load: None,
            cached_tokens: 0,
            body: Vec::new(),
            has_finish_reason: false,
            complete: false,
            ended: false,
        }
    }

    /// Parses received bytes and appends the resulting progress to `out`.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Progress>) {
        self.response.push(bytes);
        while !self.ended {
            match self.response.next_part() {
                Ok(Some(part)) => self.handle_part(part, out),
                Ok(None) => return,
                Err(_) => self.end(Outcome::ConnectionBroken, None, false, out),
            }
        }
    }

    /// Handles the close of the connection by the engine.
    pub fn closed(&mut self, out: &mut Vec<Progress>) {
        if self.ended {
            return;
        }
        match self.response.closed() {
            Ok(part) => self.handle_part(part, out),
            Err(_) => self.end(Outcome::ConnectionBroken, None, false, out),
        }
    }

    fn handle_part(&mut self, part: Part, out: &mut Vec<Progress>) {
        match part {
            Part::Head(status, headers) => {
                self.status = status;
                self.not_run = headers.get(extension::NOT_RUN).is_some();
                self.load = headers.get(LOAD_HEADER).and_then(|value| load_from_header(value, self.slots));
            }
            Part::Body(bytes) if self.status == 200 && self.step != Step::Read => {
                self.handle_events(&bytes, out);
            }
            Part::Body(bytes) => {
                if self.body.len() + bytes.len() > MAX_BODY_BYTES {
                    return self.end(Outcome::ConnectionBroken, None, false, out);
                }
                self.body.extend_from_slice(&bytes);
            }
            Part::End(reusable) => self.finish(reusable, out),
        }
    }

    fn handle_events(&mut self, bytes: &[u8], out: &mut Vec<Progress>) {
        if self.sse.push(bytes).is_err() {
            return self.end(Outcome::ConnectionBroken, None, false, out);
        }
        while let Some(event) = self.sse.next_event() {
            if event == b"[DONE]" {
                self.complete = self.has_finish_reason;
                continue;
            }
            let Ok(json) = serde_json::from_slice::<Value>(&event) else {
                return self.end(Outcome::ConnectionBroken, None, false, out);
            };
            if json.get("error").is_some() {
                return self.end(Outcome::Error, None, false, out);
            }
            self.read_usage(&json);
            let choice = &json["choices"][0];
            if let Some(text) = choice["text"].as_str().filter(|t| !t.is_empty()) {
                out.push(Progress::Text(text.to_string()));
            }
            self.has_finish_reason |= choice["finish_reason"].is_string();
        }
    }

    fn read_usage(&mut self, json: &Value) {
        if let Some(cached_tokens) = json["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64() {
            self.cached_tokens = cached_tokens;
        }
    }

    fn finish(&mut self, reusable: bool, out: &mut Vec<Progress>) {
        if self.status == 200 && self.step != Step::Read {
            // A stream without its last event is truncated, even if the HTTP message is complete.
            let outcome = if self.complete { Outcome::Served } else { Outcome::ConnectionBroken };
            return self.end(outcome, None, reusable && self.complete, out);
        }
        let json: Value = serde_json::from_slice(&self.body).unwrap_or(Value::Null);
        if self.status != 200 {
            let kind = json["error"]["type"].as_str().or(json["type"].as_str());
            let outcome = outcome_of_status(self.status, kind == Some(extension::NO_STATE), self.not_run);
            return self.end(outcome, None, reusable, out);
        }
        self.read_usage(&json);
        match json.get("kv_transfer_params").filter(|state| state.is_object()) {
            Some(state) => self.end(Outcome::Read, Some(state.clone()), reusable, out),
            None => self.end(Outcome::Error, None, reusable, out),
        }
    }

    fn end(&mut self, outcome: Outcome, state: Option<Value>, reusable: bool, out: &mut Vec<Progress>) {
        if !std::mem::replace(&mut self.ended, true) {
            out.push(Progress::Ended {
                outcome,
                cached_tokens: self.cached_tokens,
                load: self.load,
                state,
                reusable,
            });
        }
    }
}
