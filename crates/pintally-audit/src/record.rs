//! What a record holds: one line of JSON for each thing that happened, with its time.

use std::fmt;
use std::io::BufRead;

use serde::{Deserialize, Serialize};

/// One thing that happened.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// When, in microseconds from the record's beginning.
    pub at: u64,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// What happened. `request` is the client's id of one try, `attempt` the name of one attempt as it
/// stood in the message, `node` the node that was asked or that sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "t", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum What {
    /// The first line: the figures that the rules go by.
    Figures(Figures),
    /// A client's request has gone out whole.
    Asked {
        request: String,
        node: String,
        class: String,
        #[serde(default)]
        tenant: Option<String>,
        patience_us: u64,
        streamed: bool,
    },
    /// The first part of a streamed answer has come.
    First { request: String },
    /// A final answer has come.
    Answered { request: String, answer: Answer },
    /// More came after the final answer.
    Extra { request: String },
    /// The client has left of its own will.
    Left { request: String },
    /// The client's time is up, or the connection ended, without a final answer.
    Unanswered { request: String },
    /// Work has come to an engine, or to a network that did not carry it on (`reached` false).
    Took { engine: String, node: String, request: String, attempt: String, step: Step, reached: bool },
    /// The exchange about an attempt is over, whoever ended it.
    Done { engine: String, attempt: String },
    /// The engine turned the attempt away: nothing ran.
    TurnedAway { engine: String, attempt: String },
    /// The request runs here: its effect happens.
    Ran { engine: String, request: String, attempt: String },
    /// A read state waits.
    Held { engine: String, node: String, request: String, state: String },
    /// A message to let go of a state has come to the engine or to a network that did not carry it on.
    ReleaseSeen { engine: String, state: String },
    /// A read state waits no more.
    Freed { engine: String, state: String, by: FreedBy },
    /// The engine has started cold.
    Started { engine: String },
    /// The engine was sent too much while cold; the work of the window by node.
    Fell { engine: String, work: Vec<(String, f64)> },
    /// The engine hears nothing from here on, or hears again.
    Deaf { engine: String, deaf: bool },
    /// A node was notified of an engine.
    Listed { node: String, engine: String, listing: Listed, started: bool },
    /// The machine woke a thread so much later than it was to, for want of processors.
    Late { us: u64 },
    /// A node has started.
    NodeUp { node: String },
    /// A node's process stands still from here on, or goes on: it can keep no time meanwhile.
    Stood { node: String, still: bool },
    /// A node was killed, or got SIGTERM.
    NodeDown { node: String },
}

/// The figures that the rules go by.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Figures {
    /// New work may go on for so long after a drain was notified.
    pub drain_grace_us: u64,
    /// What is held is taken or let go within this time.
    pub release_within_us: u64,
    /// What the measuring itself may add to each time, on a machine that keeps up.
    pub slack_us: u64,
    /// The classes.
    pub classes: Vec<ClassFigures>,
    /// The engines, those that come later included.
    pub engines: Vec<EngineFigures>,
}

/// A class as the rules see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct ClassFigures {
    pub name: String,
    pub effect: Idempotency,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Idempotency {
    #[serde(rename = "safe")]
    Idempotent,
    #[serde(rename = "keyed")]
    WithKey { group: IdempotencyScope, window_us: u64 },
    #[serde(rename = "unsafe")]
    NotIdempotent,
}

/// The part of the fleet that drops repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum IdempotencyScope {
    All,
    Zone,
    Rack,
}

/// Where an engine stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct EngineFigures {
    pub engine: String,
    pub zone: String,
    pub rack: u64,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Answer {
    Served,
    Refused,
    Failed,
    Cut,
}

/// What an attempt is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Step {
    Read,
    Fetch,
    Both,
}

/// How a read state came to wait no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum FreedBy {
    Fetched,
    Released,
    Expired,
    Died,
}

/// What a list says of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Listed {
    Serving,
    Draining,
    Gone,
}

/// What is wrong with a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError {
    /// The line, from 1; 0 if it is no one line's fault.
    pub line: usize,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => f.write_str(&self.what),
            line => write!(f, "line {line}: {}", self.what),
        }
    }
}

impl std::error::Error for RecordError {}

/// Reads a record, one line at a time.
pub fn read_record(reader: impl BufRead) -> Result<Vec<Record>, RecordError> {
    let mut record = Vec::new();
    for (number, line) in reader.lines().enumerate() {
        let fail = |what: String| RecordError { line: number + 1, what };
        let line = line.map_err(|e| fail(e.to_string()))?;
        if !line.trim().is_empty() {
            record.push(serde_json::from_str(&line).map_err(|e| fail(e.to_string()))?);
        }
    }
    Ok(record)
}
