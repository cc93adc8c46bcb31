//! The figures of an engine.

use crate::Micros;

/// What an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRole {
    /// Reads prompts.
    Reader,
    /// Fetches read states and writes answers.
    Writer,
    /// Does both.
    Mixed,
}

/// What a step costs, in microseconds. All parts add up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Any step.
    pub step: f64,
    /// Each prompt token read in it.
    pub read_token: f64,
    /// Each answer that gets a token in it.
    pub write_token: f64,
    /// Each thousand tokens of context of those answers.
    pub context: f64,
}

/// How an engine starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// The share of its speed that it has at first.
    pub initial_capacity: f64,
    /// It has all of it after this time.
    pub warm_after: Micros,
    /// While cold it falls over if more than this many times what it can do
    pub overload_factor: f64,
    /// is sent to it within this time.
    pub overload_window: Micros,
}

/// How an engine tells its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReporting {
    /// It looks at itself so often,
    pub every: Micros,
    /// what it tells is so old,
    pub delay: Micros,
    /// and each figure is off by up to this share.
    pub noise: f64,
}

/// Bandwidth, in bytes a microsecond, and what a token's state weighs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkSpec {
    /// Of all that leaves or enters a rack.
    pub rack: f64,
    /// Of all between two zones.
    pub zone: f64,
    /// Bytes of one token's state.
    pub token_bytes: f64,
}

/// The figures of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// What it does.
    pub kind: EngineRole,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Blocks of memory.
    pub blocks: u64,
    /// Tokens in a block.
    pub block_tokens: u64,
    /// Tokens that one step may take, read and written together.
    pub budget: u64,
    /// What a step costs.
    pub cost: Cost,
    /// How it starts; it is warm at once without.
    pub cold: Option<ColdStart>,
    /// Read states that nobody fetches are let go after this time.
    pub state_ttl: Micros,
    /// How it tells its load.
    pub load_reporting: LoadReporting,
    /// Bandwidth of its port, each way, in bytes a microsecond.
    pub port: f64,
    /// Repeats of a keyed request are dropped within this time; never if 0.
    pub dedup: Micros,
}
