//! What an engine says.

use crate::engine::WorkId;

/// Why work was turned away. Nothing of it was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Slots and queue are full.
    Full,
    /// It could never fit into memory.
    TooLong,
    /// There is no state to fetch, or the engine does not do this.
    NoState,
    /// It ran before, within the window.
    Repeat,
    /// The engine is down.
    Down,
}

/// How a read state was let go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreedBy {
    /// Somebody fetched it.
    Fetched,
    /// It was released.
    Released,
    /// Nobody fetched it for too long.
    Expired,
    /// The engine died.
    Died,
}

/// One thing that has happened to work at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// It was turned away.
    Refused(WorkId, Refusal),
    /// Its answer is being made from here on.
    Started(WorkId),
    /// So many of its answer's tokens are out.
    Token(WorkId, u64),
    /// Its prompt is read and the state waits; so many tokens were found kept.
    Read(WorkId, u64),
    /// Its answer is whole; so many tokens of the prompt were found kept.
    Done(WorkId, u64),
    /// It wants so many tokens of a state that waits elsewhere.
    FetchNeeded(WorkId, u64),
    /// It had to give up its memory and begins anew with what it has.
    Preempted(WorkId),
    /// It ended with the engine, or with the transfer of its state.
    Broken(WorkId),
    /// A read state was let go.
    Freed(WorkId, FreedBy),
    /// The engine was cold and was sent too much: it is down.
    Overloaded,
}
