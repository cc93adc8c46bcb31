//! Specification of an engine and of the network.

use crate::Micros;

/// Role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRole {
    /// Reads prompts.
    Reader,
    /// Fetches read states and writes answers.
    Writer,
    /// Reads prompts and writes answers.
    Mixed,
}

/// Duration of a step in microseconds: the sum of all parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Fixed part of every step.
    pub step: f64,
    /// For each prompt token read in the step.
    pub read_token: f64,
    /// For each answer that gets a token in the step.
    pub write_token: f64,
    /// For each thousand tokens of context of those answers.
    pub context: f64,
}

/// Behaviour of an engine after a cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Share of its full speed at the start.
    pub initial_capacity: f64,
    /// Time after which it has its full speed.
    pub warm_after: Micros,
    /// While cold, the engine crashes if the work sent to it within `overload_window` exceeds this many times
    /// what it can do in that time.
    pub overload_factor: f64,
    /// Time window over which the work sent to a cold engine is summed.
    pub overload_window: Micros,
}

/// How an engine reports its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReporting {
    /// Sampling interval of the load.
    pub every: Micros,
    /// Age of the reported load.
    pub delay: Micros,
    /// Largest relative error of each reported figure.
    pub noise: f64,
}

/// Bandwidth in bytes per microsecond, and the size of a token's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkSpec {
    /// Bandwidth of a rack, each way.
    pub rack: f64,
    /// Bandwidth between two zones, both directions together.
    pub zone: f64,
    /// Size of one token's state in bytes.
    pub token_bytes: f64,
}

/// Specification of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Role of the engine.
    pub kind: EngineRole,
    /// Number of requests that run at once.
    pub slots: usize,
    /// Number of requests that may wait.
    pub queue: usize,
    /// Memory size in blocks.
    pub blocks: u64,
    /// Tokens per block.
    pub block_tokens: u64,
    /// Largest number of tokens that one step processes, read and written together.
    pub budget: u64,
    /// Duration of a step.
    pub cost: Cost,
    /// Behaviour after a cold start; without it, the engine is warm at once.
    pub cold: Option<ColdStart>,
    /// Time after which a read state that is not fetched expires.
    pub state_ttl: Micros,
    /// How the engine reports its load.
    pub load_reporting: LoadReporting,
    /// Bandwidth of its port, each way, in bytes per microsecond.
    pub port: f64,
    /// Deduplication window: repeats of a keyed request are refused within this time; 0 disables this.
    pub dedup: Micros,
}
