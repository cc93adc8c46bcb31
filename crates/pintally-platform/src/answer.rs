//! What comes back of an attempt: bytes cut anywhere, to whole events and an outcome.
//!
//! Only whole events whose lines can be read are handed on, so that noise inside a chunk, or a
//! chunk whose size does not fit, never reaches a client as though an engine had said it.

use pintally::interface::{LoadReport, Outcome};
use pintally_http::{Headers, HttpError, Part, ResponseReader};
use pintally_wire::LabelIndex;
use serde_json::Value;

use crate::{of_answer, MAX_BODY, MAX_HEAD};

/// The most bytes of one event, and of a chunk as announced.
const MAX_EVENT: usize = 64 << 10;
const MAX_CHUNK: u64 = MAX_BODY as u64;
/// The header and the comment that carry a load report.
const LOAD: &str = "x-pressure";

/// What an attempt's bytes tell.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Whole events, unchanged. The first ones begin the answer.
    Events(Vec<u8>),
    /// The attempt is over.
    Over {
        /// How.
        outcome: Outcome,
        /// Prompt tokens found kept.
        kept: u64,
        /// The engine's load.
        load: Option<LoadReport>,
        /// The connection may be used again.
        reusable: bool,
    },
}

/// Turns the bytes of one answer into progress.
pub struct AnswerReader {
    response: ResponseReader,
    status: u16,
    turned_away: bool,
    load: Option<LoadReport>,
    kept: u64,
    body: Vec<u8>,
    /// An event's data has been handed on.
    begun: bool,
    over: bool,
    why: &'static str,
}

impl Default for AnswerReader {
    fn default() -> AnswerReader {
        AnswerReader {
            response: ResponseReader::new(MAX_HEAD).with_chunk_most(MAX_CHUNK),
            status: 0,
            turned_away: false,
            load: None,
            kept: 0,
            body: Vec::new(),
            begun: false,
            over: false,
            why: "",
        }
    }
}

impl AnswerReader {
    /// Why an answer could not be used, for logs; empty if it could.
    pub fn why(&self) -> &'static str {
        self.why
    }

    /// Whether not a byte of an answer has come.
    pub fn is_untouched(&self) -> bool {
        !self.response.has_begun()
    }

    /// Whether the status says that what was asked is done.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Takes in bytes and appends what they tell.
    pub fn push(&mut self, bytes: &[u8], names: &LabelIndex, out: &mut Vec<Progress>) {
        if self.over {
            return;
        }
        self.response.push(bytes);
        while !self.over {
            match self.response.next_part() {
                Ok(Some(part)) => self.part(part, names, out),
                Ok(None) => return,
                Err(e) => {
                    let why = match e {
                        HttpError::Malformed(why) => why,
                        HttpError::HeadTooLarge => "the head does not end",
                        HttpError::BodyTooLarge => "a chunk is too long",
                        HttpError::Encoding => "an encoding that is not served",
                    };
                    self.spoilt(why, out);
                }
            }
        }
    }

    /// The engine has closed the connection.
    pub fn closed(&mut self, names: &LabelIndex, out: &mut Vec<Progress>) {
        if self.over {
            return;
        }
        // The end of a stream is its last chunk; the end of a connection proves nothing.
        match self.response.closed() {
            Ok(part) if self.status != 200 => self.part(part, names, out),
            _ => self.spoilt("the connection ended", out),
        }
    }

    /// What came cannot be used; the connection is of no further use.
    fn spoilt(&mut self, why: &'static str, out: &mut Vec<Progress>) {
        self.why = why;
        self.end(Outcome::ConnectionBroken, false, out);
    }

    fn part(&mut self, part: Part, names: &LabelIndex, out: &mut Vec<Progress>) {
        match part {
            Part::Head(status, headers) => self.head(status, &headers, names),
            Part::Body(bytes) if self.status == 200 => {
                self.body.extend_from_slice(&bytes);
                self.events(names, out);
            }
            Part::Body(bytes) => {
                if self.body.len() + bytes.len() > MAX_EVENT {
                    return self.spoilt("the body is too long", out);
                }
                self.body.extend_from_slice(&bytes);
            }
            Part::End(reusable) => self.finish(reusable, names, out),
        }
    }

    fn head(&mut self, status: u16, headers: &Headers, names: &LabelIndex) {
        self.status = status;
        self.turned_away = headers.get("x-turned-away").is_some_and(|v| v.trim() == "1");
        self.load = headers.get(LOAD).and_then(|v| names.load_of_pairs(v));
    }

    /// Hands on what is whole of the stream.
    fn events(&mut self, names: &LabelIndex, out: &mut Vec<Progress>) {
        let Some(end) = last_boundary(&self.body) else {
            if self.body.len() > MAX_EVENT {
                self.spoilt("an event is too long", out);
            }
            return;
        };
        let rest = self.body.split_off(end);
        let whole = std::mem::replace(&mut self.body, rest);
        match self.lines(&whole, names) {
            Err(()) => self.spoilt("a line that is none of an event", out),
            Ok(data) => {
                if data || self.begun {
                    self.begun = true;
                    out.push(Progress::Events(whole));
                }
                if self.body.len() > MAX_EVENT {
                    self.spoilt("an event is too long", out);
                }
            }
        }
    }

    /// Looks at lines of a stream; whether any carries data, or an error if one cannot be read.
    fn lines(&mut self, bytes: &[u8], names: &LabelIndex) -> Result<bool, ()> {
        let mut any = false;
        for line in bytes.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(data) = line.strip_prefix(b"data:") {
                let data = data.trim_ascii_start();
                if !data.starts_with(b"{") && !data.starts_with(b"[") {
                    return Err(());
                }
                any = true;
                self.usage(data);
            } else if let Some(comment) = line.strip_prefix(b":") {
                self.comment(comment, names);
            } else if !line.is_empty()
                && ![&b"event:"[..], b"id:", b"retry:"].iter().any(|field| line.starts_with(field))
            {
                return Err(());
            }
        }
        Ok(any)
    }

    fn usage(&mut self, data: &[u8]) {
        const MARK: &[u8] = b"\"cached_tokens\"";
        if !data.windows(MARK.len()).any(|w| w == MARK) {
            return;
        }
        if let Ok(json) = serde_json::from_slice::<Value>(data) {
            let kept = &json["usage"]["prompt_tokens_details"]["cached_tokens"];
            self.kept = kept.as_u64().unwrap_or(self.kept);
        }
    }

    fn comment(&mut self, comment: &[u8], names: &LabelIndex) {
        let Ok(text) = std::str::from_utf8(comment) else { return };
        if let Some((name, value)) = text.split_once(':') {
            if name.trim().eq_ignore_ascii_case(LOAD) {
                self.load = names.load_of_pairs(value).or(self.load);
            }
        }
    }

    fn finish(&mut self, reusable: bool, names: &LabelIndex, out: &mut Vec<Progress>) {
        let outcome = of_answer(self.status, self.turned_away);
        if outcome == Outcome::Served {
            // A last line without the empty one behind it.
            let rest = std::mem::take(&mut self.body);
            match self.lines(&rest, names) {
                Ok(data) if !rest.is_empty() && (data || self.begun) => {
                    self.begun = true;
                    out.push(Progress::Events(rest));
                }
                Ok(_) => {}
                Err(()) => return self.spoilt("a line that is none of an event", out),
            }
            // Guards against a stream that is cut off by the end of the connection, and an empty one.
            if !self.begun || !self.response.is_chunked() {
                return self.spoilt("a stream without an event or a last chunk", out);
            }
        }
        if outcome == Outcome::Read {
            let json: Value = serde_json::from_slice(&self.body).unwrap_or(Value::Null);
            self.kept = json["cached_tokens"].as_u64().unwrap_or(0);
        }
        self.end(outcome, reusable, out);
    }

    fn end(&mut self, outcome: Outcome, reusable: bool, out: &mut Vec<Progress>) {
        if !std::mem::replace(&mut self.over, true) {
            self.body = Vec::new();
            out.push(Progress::Over { outcome, kept: self.kept, load: self.load, reusable });
        }
    }
}

/// Where the last whole event ends.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let ends = |at: usize| {
        bytes[at] == b'\n' && (at >= 1 && bytes[at - 1] == b'\n' || at >= 2 && bytes[at - 2..at] == *b"\n\r")
    };
    (1..bytes.len()).rev().find(|&at| ends(at)).map(|at| at + 1)
}
