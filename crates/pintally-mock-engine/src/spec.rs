//! What a stand-in engine is, and what is wrong with it at the moment.

use std::time::Duration;

/// What an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts.
    Reader,
    /// Fetches read states and answers.
    Writer,
    /// Does both.
    Mixed,
}

/// A stand-in engine's figures.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: String,
    /// What it does.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// Its rack.
    pub rack: u64,
    /// The cell that the list gives it to; the engine itself knows nothing of it.
    pub cell: Option<String>,
    /// Requests at once.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Memory in tokens, kept texts, read states and running answers together.
    pub memory_tokens: u64,
    /// Prompt tokens read in a second.
    pub read_tokens_per_s: f64,
    /// Time between two tokens of an answer.
    pub token_gap: Duration,
    /// Tokens of a state that move in a second inside the rack.
    pub link_tokens_per_s: f64,
    /// Share of its capacity that it starts with.
    pub initial_capacity: f64,
    /// Time until it is warm.
    pub warm_up: Duration,
    /// Sent more than this many times its present capacity it falls over,
    pub overload_factor: f64,
    /// counted over this time.
    pub overload_window: Duration,
    /// How often its load report is made anew.
    pub report_interval: Duration,
    /// A read state that nobody fetches is dropped after this time.
    pub state_ttl: Duration,
}

/// How load reports are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportAccuracy {
    /// From the true state, as often as the engine's figures say.
    Honest,
    /// The last one is repeated.
    Stale,
    /// They say that the engine idles.
    Lying,
}

/// What is wrong with an engine at the moment.
#[derive(Clone, Debug)]
pub struct Faults {
    /// This many times slower.
    pub slow: f64,
    /// Everything that comes in waits until this is over.
    pub hang: bool,
    /// Connections are accepted, and nothing is ever answered on them.
    pub silent: bool,
    /// Connections are taken up this much later.
    pub connect_delay: Duration,
    /// This tenant is turned away.
    pub full_for: Option<String>,
    /// Whatever it takes on ends with an error after this time.
    pub fail_after: Option<Duration>,
    /// States move this many times slower.
    pub links: f64,
    /// How load reports are made.
    pub reports: ReportAccuracy,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            slow: 1.0,
            hang: false,
            silent: false,
            connect_delay: Duration::ZERO,
            full_for: None,
            fail_after: None,
            links: 1.0,
            reports: ReportAccuracy::Honest,
        }
    }
}
