//! The format of a record: one JSON object per line for each event, with its time.

use std::fmt;
use std::io::BufRead;

use serde::{Deserialize, Serialize};

/// One event with its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Microseconds since the start of the record.
    pub at: u64,
    /// The event.
    #[serde(flatten)]
    pub event: AuditEvent,
}

/// An event seen by a client, an engine, a publisher of engine lists or the test harness.
///
/// `request` is the client's ID of one try, `attempt` is the attempt's name as sent in the message, and
/// `node` is the node that received the request or sent the message.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "t", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum AuditEvent {
    /// The parameters of the rules. They are the first line of a record.
    #[serde(rename = "figures")]
    Parameters(RuleParameters),
    /// A client has sent a whole request.
    #[serde(rename = "asked")]
    RequestSent {
        request: String,
        node: String,
        class: String,
        #[serde(default)]
        tenant: Option<String>,
        patience_us: u64,
        streamed: bool,
    },
    /// The first part of a streamed answer has arrived at the client.
    #[serde(rename = "first")]
    FirstChunk { request: String },
    /// A final answer has arrived at the client.
    Answered { request: String, answer: Answer },
    /// More data has arrived at the client after the final answer.
    #[serde(rename = "extra")]
    ExtraAnswer { request: String },
    /// The client has abandoned the request.
    #[serde(rename = "left")]
    ClientLeft { request: String },
    /// The client's deadline has passed, or its connection has closed, without a final answer.
    Unanswered { request: String },
    /// An attempt has arrived at an engine, or at a network that did not forward it (`reached` is false).
    #[serde(rename = "took")]
    AttemptArrived {
        engine: String,
        node: String,
        request: String,
        attempt: String,
        step: Step,
        reached: bool,
    },
    /// The exchange of an attempt has ended, whichever side ended it.
    #[serde(rename = "done")]
    AttemptEnded { engine: String, attempt: String },
    /// The engine has rejected the attempt without running it.
    #[serde(rename = "turned_away")]
    AttemptRejected { engine: String, attempt: String },
    /// The engine runs the request, so that its effect happens.
    #[serde(rename = "ran")]
    AttemptRan { engine: String, request: String, attempt: String },
    /// An engine holds a read state until it is fetched or released.
    #[serde(rename = "held")]
    StateHeld { engine: String, node: String, request: String, state: String },
    /// A release of a state has arrived at the engine, or at a network that did not forward it.
    #[serde(rename = "release_seen")]
    ReleaseArrived { engine: String, state: String },
    /// An engine no longer holds a read state.
    #[serde(rename = "freed")]
    StateFreed { engine: String, state: String, by: FreedBy },
    /// The engine has started, with cold caches.
    #[serde(rename = "started")]
    EngineStarted { engine: String },
    /// A cold engine has received more work than it can take. `work` is the work of the window by node.
    #[serde(rename = "fell")]
    EngineOverloaded { engine: String, work: Vec<(String, f64)> },
    /// From now on the engine receives no messages, or receives them again.
    #[serde(rename = "deaf")]
    EngineUnreachable {
        engine: String,
        #[serde(rename = "deaf")]
        unreachable: bool,
    },
    /// A node was notified of an engine's state.
    #[serde(rename = "listed")]
    EngineListed { node: String, engine: String, listing: ListingState, started: bool },
    /// For lack of processor time, the machine woke a thread this much later than scheduled.
    #[serde(rename = "late")]
    MachineLate { us: u64 },
    /// A node has started.
    NodeUp { node: String },
    /// From now on a node's process is paused, or runs again. A paused process cannot meet deadlines.
    #[serde(rename = "stood")]
    NodePaused {
        node: String,
        #[serde(rename = "still")]
        paused: bool,
    },
    /// A node was killed, or received SIGTERM.
    NodeDown { node: String },
}

/// The parameters of the rules.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RuleParameters {
    /// How long a node may still send new work to an engine after it was notified of the engine's drain.
    pub drain_grace_us: u64,
    /// How soon a held state must be fetched or released.
    pub release_within_us: u64,
    /// How much measuring may add to each time on a machine that keeps up.
    pub slack_us: u64,
    /// The request classes.
    pub classes: Vec<ClassParameters>,
    /// All engines, also those that join later.
    pub engines: Vec<EngineLocation>,
}

/// The properties of a request class that the rules use.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct ClassParameters {
    pub name: String,
    pub effect: Idempotency,
}

/// Whether a request may run more than once.
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

/// The engines among which a repeated idempotency key is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum IdempotencyScope {
    All,
    Zone,
    Rack,
}

/// The location of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct EngineLocation {
    pub engine: String,
    pub zone: String,
    pub rack: u64,
}

/// The kind of a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Answer {
    Served,
    Refused,
    Failed,
    Cut,
}

/// The work that an attempt asks of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Step {
    Read,
    Fetch,
    Both,
}

/// Why an engine no longer holds a read state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum FreedBy {
    Fetched,
    Released,
    Expired,
    Died,
}

/// The state of an engine in an engine list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum ListingState {
    Serving,
    Draining,
    Gone,
}

/// Why a record cannot be audited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError {
    /// The line number, from 1; 0 if the error concerns no single line.
    pub line: usize,
    /// The cause.
    pub message: String,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => f.write_str(&self.message),
            line => write!(f, "line {line}: {}", self.message),
        }
    }
}

impl std::error::Error for RecordError {}

/// Reads a record, one line at a time.
pub fn read_record(reader: impl BufRead) -> Result<Vec<Record>, RecordError> {
    let mut record = Vec::new();
    for (number, line) in reader.lines().enumerate() {
        let fail = |message: String| RecordError { line: number + 1, message };
        let line = line.map_err(|e| fail(e.to_string()))?;
        if !line.trim().is_empty() {
            record.push(serde_json::from_str(&line).map_err(|e| fail(e.to_string()))?);
        }
    }
    Ok(record)
}
