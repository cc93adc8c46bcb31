//! Notices that an engine emits.

use crate::engine::WorkId;

/// Reason for which work was refused; none of it was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Slots and queue are full.
    Full,
    /// The work can never fit into memory.
    TooLong,
    /// There is no state to fetch, or the work is invalid or does not suit the engine's role.
    NoState,
    /// Work with the same key was accepted within the deduplication window.
    Repeat,
    /// The engine is down.
    Down,
}

/// Reason for which a read state was freed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreedBy {
    /// It was fetched.
    Fetched,
    /// It was released.
    Released,
    /// It was not fetched in time.
    Expired,
    /// The engine died.
    Died,
}

/// An event at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Work was refused.
    Refused(WorkId, Refusal),
    /// The engine has begun to generate an answer.
    Started(WorkId),
    /// A token of an answer was generated; with the number of tokens so far.
    Token(WorkId, u64),
    /// A prompt was read and its state waits to be fetched; with the number of prompt tokens found cached.
    Read(WorkId, u64),
    /// An answer is complete; with the number of prompt tokens found cached.
    Done(WorkId, u64),
    /// Work needs this many tokens of the read state that it fetches.
    FetchNeeded(WorkId, u64),
    /// Work gave up its memory and returned to the queue; tokens already generated are kept.
    Preempted(WorkId),
    /// Work ended because the engine crashed or the transfer of its state broke off.
    Broken(WorkId),
    /// A read state was freed.
    Freed(WorkId, FreedBy),
    /// The cold engine was sent too much work and crashed.
    Overloaded,
}
