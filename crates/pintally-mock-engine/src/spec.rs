//! Settings of a mock engine and its active faults.

use std::time::Duration;

/// Which steps an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts (prefill).
    Reader,
    /// Fetches read states and writes answers (decode).
    Writer,
    /// Serves both steps.
    Mixed,
}

/// Settings of a mock engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Engine id.
    pub id: String,
    /// Engine kind.
    pub kind: String,
    /// Which steps it serves.
    pub role: Role,
    /// Zone.
    pub zone: String,
    /// Rack.
    pub rack: u64,
    /// The cell that the endpoint list assigns it to; the engine itself does not use it.
    pub cell: Option<String>,
    /// Requests that run at the same time.
    pub slots: usize,
    /// Requests that may queue.
    pub queue: usize,
    /// KV cache size in tokens, shared by cached prefixes, read states and running answers.
    pub memory_tokens: u64,
    /// Prompt tokens read per second.
    pub read_tokens_per_s: f64,
    /// Time between two tokens of an answer.
    pub token_gap: Duration,
    /// Tokens of a read state that move per second within the rack.
    pub link_tokens_per_s: f64,
    /// Share of full capacity right after a cold start.
    pub initial_capacity: f64,
    /// Time from a cold start to full capacity.
    pub warm_up: Duration,
    /// A cold engine crashes when it is sent more than this many times its present capacity,
    pub overload_factor: f64,
    /// measured over this window.
    pub overload_window: Duration,
    /// How often the load report is refreshed.
    pub report_interval: Duration,
    /// A read state that is not fetched is freed after this time.
    pub state_ttl: Duration,
}

/// How accurate load reports are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportAccuracy {
    /// The true load, refreshed every `report_interval`.
    Honest,
    /// The last report is repeated.
    Stale,
    /// The engine reports that it is idle.
    Idle,
}

/// Active faults of an engine.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Work takes this many times as long.
    pub slowdown: f64,
    /// Requests wait until this fault ends.
    pub hang: bool,
    /// Connections are accepted, but their requests are never answered.
    pub silent: bool,
    /// New connections are served only after this delay.
    pub connect_delay: Duration,
    /// Requests of this tenant are rejected as if the engine were full.
    pub rejected_tenant: Option<String>,
    /// Every request ends with an error after this time.
    pub fail_after: Option<Duration>,
    /// Read states take this many times as long to move.
    pub link_slowdown: f64,
    /// How accurate load reports are.
    pub reports: ReportAccuracy,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            slowdown: 1.0,
            hang: false,
            silent: false,
            connect_delay: Duration::ZERO,
            rejected_tenant: None,
            fail_after: None,
            link_slowdown: 1.0,
            reports: ReportAccuracy::Honest,
        }
    }
}
