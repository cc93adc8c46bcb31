//! What comes back of an attempt, from bytes cut anywhere to progress and an outcome.

use pintally::interface::{LoadReport, Outcome};
use pintally_http::{Part, ResponseReader, SseReader};
use serde_json::Value;

use crate::{extension, load_from_header, of_status, Step, LOAD_HEADER};

/// Bounds for an answer's head, one event of it, and a whole read or error.
const MAX_HEAD: usize = 32 << 10;
const MAX_EVENT: usize = 1 << 20;
const MAX_BODY: usize = 4 << 20;

/// What an attempt's bytes tell.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// The answer has begun, or goes on, with this text.
    Text(String),
    /// The attempt is over.
    Over {
        /// How.
        outcome: Outcome,
        /// Prompt tokens found kept.
        kept: u64,
        /// The engine's load.
        load: Option<LoadReport>,
        /// `kv_transfer_params` of a read.
        state: Option<Value>,
        /// The connection may be used again.
        reusable: bool,
    },
}

/// Turns the bytes of one attempt's answer into progress.
pub struct AttemptReader {
    step: Step,
    slots: u64,
    response: ResponseReader,
    sse: SseReader,
    status: u16,
    vouched: bool,
    load: Option<LoadReport>,
    kept: u64,
    body: Vec<u8>,
    whole: bool,
    finished: bool,
    over: bool,
}

impl AttemptReader {
    /// A reader for an attempt's answer from an engine with so many slots (0 if not known).
    pub fn new(step: Step, slots: u64) -> AttemptReader {
        AttemptReader {
            step,
            slots,
            response: ResponseReader::new(MAX_HEAD),
            sse: SseReader::new(MAX_EVENT),
            status: 0,
            vouched: false,
            load: None,
            kept: 0,
            body: Vec::new(),
            whole: false,
            finished: false,
            over: false,
        }
    }

    /// Takes in bytes and appends what they tell.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Progress>) {
        self.response.push(bytes);
        while !self.over {
            match self.response.next_part() {
                Ok(Some(part)) => self.part(part, out),
                Ok(None) => return,
                Err(_) => self.end(Outcome::ConnectionBroken, None, false, out),
            }
        }
    }

    /// The engine has closed the connection.
    pub fn closed(&mut self, out: &mut Vec<Progress>) {
        if self.over {
            return;
        }
        match self.response.closed() {
            Ok(part) => self.part(part, out),
            Err(_) => self.end(Outcome::ConnectionBroken, None, false, out),
        }
    }

    fn part(&mut self, part: Part, out: &mut Vec<Progress>) {
        match part {
            Part::Head(status, headers) => {
                self.status = status;
                self.vouched = headers.get(extension::NOT_RUN).is_some();
                self.load = headers.get(LOAD_HEADER).and_then(|v| load_from_header(v, self.slots));
            }
            Part::Body(bytes) if self.status == 200 && self.step != Step::Read => self.events(&bytes, out),
            Part::Body(bytes) => {
                if self.body.len() + bytes.len() > MAX_BODY {
                    return self.end(Outcome::ConnectionBroken, None, false, out);
                }
                self.body.extend_from_slice(&bytes);
            }
            Part::End(reusable) => self.finish(reusable, out),
        }
    }

    fn events(&mut self, bytes: &[u8], out: &mut Vec<Progress>) {
        if self.sse.push(bytes).is_err() {
            return self.end(Outcome::ConnectionBroken, None, false, out);
        }
        while let Some(event) = self.sse.next_event() {
            if event == b"[DONE]" {
                self.whole = self.finished;
                continue;
            }
            let Ok(json) = serde_json::from_slice::<Value>(&event) else {
                return self.end(Outcome::ConnectionBroken, None, false, out);
            };
            if json.get("error").is_some() {
                return self.end(Outcome::Error, None, false, out);
            }
            self.usage(&json);
            let choice = &json["choices"][0];
            if let Some(text) = choice["text"].as_str().filter(|t| !t.is_empty()) {
                out.push(Progress::Text(text.to_string()));
            }
            self.finished |= choice["finish_reason"].is_string();
        }
    }

    fn usage(&mut self, json: &Value) {
        if let Some(kept) = json["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64() {
            self.kept = kept;
        }
    }

    fn finish(&mut self, reusable: bool, out: &mut Vec<Progress>) {
        if self.status == 200 && self.step != Step::Read {
            // A stream that ends without its last event was cut off, however tidy its end looks.
            let outcome = if self.whole { Outcome::Served } else { Outcome::ConnectionBroken };
            return self.end(outcome, None, reusable && self.whole, out);
        }
        let json: Value = serde_json::from_slice(&self.body).unwrap_or(Value::Null);
        if self.status != 200 {
            let kind = json["error"]["type"].as_str().or(json["type"].as_str());
            let no_state = kind == Some(extension::NO_STATE);
            let outcome = of_status(self.status, no_state, self.vouched);
            return self.end(outcome, None, reusable, out);
        }
        self.usage(&json);
        match json.get("kv_transfer_params").filter(|s| s.is_object()) {
            Some(state) => self.end(Outcome::Read, Some(state.clone()), reusable, out),
            None => self.end(Outcome::Error, None, reusable, out),
        }
    }

    fn end(&mut self, outcome: Outcome, state: Option<Value>, reusable: bool, out: &mut Vec<Progress>) {
        if !std::mem::replace(&mut self.over, true) {
            out.push(Progress::Over { outcome, kept: self.kept, load: self.load, state, reusable });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use pintally_http::{chunk, response, response_head, sse_event, LAST_CHUNK};

    fn outcome(step: Step, bytes: &[u8], closed: bool) -> (String, Outcome) {
        let (mut reader, mut out) = (AttemptReader::new(step, 0), Vec::new());
        // One byte at a time: no cut may matter.
        bytes.iter().for_each(|b| reader.push(&[*b], &mut out));
        if closed {
            reader.closed(&mut out);
        }
        let mut text = String::new();
        let mut end = None;
        for progress in out {
            match progress {
                Progress::Text(t) => text.push_str(&t),
                Progress::Over { outcome, .. } => assert!(end.replace(outcome).is_none(), "two ends"),
            }
        }
        (text, end.expect("no end"))
    }

    fn stream(events: &[&str]) -> Vec<u8> {
        let mut bytes = response_head(200, &[("content-type", "text/event-stream")]);
        events.iter().for_each(|e| bytes.extend(chunk(&sse_event(e))));
        bytes.extend_from_slice(LAST_CHUNK);
        bytes
    }

    #[test]
    fn a_whole_stream_is_served_and_a_cut_one_is_broken() {
        let (text, end) = (
            r#"{"choices":[{"text":"ab","finish_reason":null}]}"#,
            r#"{"choices":[{"text":"c","finish_reason":"length"}]}"#,
        );
        assert_eq!(
            outcome(Step::Both, &stream(&[text, end, "[DONE]"]), false),
            ("abc".into(), Outcome::Served)
        );
        assert_eq!(
            outcome(Step::Both, &stream(&[text, end]), false),
            ("abc".into(), Outcome::ConnectionBroken)
        );
        assert_eq!(
            outcome(Step::Fetch, &stream(&[text, "[DONE]"]), false),
            ("ab".into(), Outcome::ConnectionBroken)
        );
        let cut = &stream(&[text, end, "[DONE]"]);
        assert_eq!(outcome(Step::Fetch, &cut[..cut.len() - 8], true).1, Outcome::ConnectionBroken);
    }

    #[test]
    fn a_read_needs_its_state() {
        let read = response(200, &[], br#"{"kv_transfer_params":{"a":1},"usage":{"prompt_tokens":4}}"#);
        assert_eq!(outcome(Step::Read, &read, false).1, Outcome::Read);
        assert_eq!(outcome(Step::Read, &response(200, &[], b"{}"), false).1, Outcome::Error);
        assert_eq!(outcome(Step::Read, &response(429, &[], b"{}"), false).1, Outcome::Overloaded);
        let none = response(409, &[], br#"{"error":{"type":"no_state"}}"#);
        assert_eq!(outcome(Step::Fetch, &none, false).1, Outcome::StateNotFound);
        assert_eq!(outcome(Step::Fetch, b"garbage\r\n\r\n", false).1, Outcome::ConnectionBroken);
    }
}
