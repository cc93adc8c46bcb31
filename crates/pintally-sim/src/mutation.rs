//! Deliberately broken nodes, which prove that the checks detect the faults that they exist for.

use serde::{Deserialize, Serialize};

/// A deliberate fault in a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mutation {
    /// Delivers some final answers twice.
    AnswersTwice,
    /// Drops some final answers.
    AnswersNever,
    /// Reports failures as refused connections, so that a request that may have run is sent again.
    ForgetsThatItRan,
    /// Leaves a timed-out attempt open while the next one is sent.
    KeepsWhatItGivesUp,
    /// Makes no release calls.
    ReleasesNothing,
    /// Makes each release call once and does not retry it.
    ReleasesOnce,
    /// Sends release calls to an engine only while it is listed as serving.
    ReleasesToServingOnly,
    /// Answers every connection probe, so that everything sent counts as delivered.
    ConnectionProbesAlwaysAnswered,
    /// Ignores that engines drain.
    DeafToDrains,
    /// Fires one in ten timers a second late.
    LateTimers,
    /// Drops the end of some attempts.
    ForgetsEnds,
    /// Sends release calls on kept connections although the host asks for new ones.
    CallsOnKeptConnections,
}

/// All mutations.
pub const MUTATIONS: [Mutation; 12] = [
    Mutation::AnswersTwice,
    Mutation::AnswersNever,
    Mutation::ForgetsThatItRan,
    Mutation::KeepsWhatItGivesUp,
    Mutation::ReleasesNothing,
    Mutation::ReleasesOnce,
    Mutation::ReleasesToServingOnly,
    Mutation::ConnectionProbesAlwaysAnswered,
    Mutation::DeafToDrains,
    Mutation::LateTimers,
    Mutation::ForgetsEnds,
    Mutation::CallsOnKeptConnections,
];
