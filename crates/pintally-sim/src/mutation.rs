//! Nodes that are broken on purpose: proof that the checks find what they are there for.

use serde::{Deserialize, Serialize};

/// What a broken node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mutation {
    /// Some final answers are given twice.
    AnswersTwice,
    /// Some final answers are forgotten.
    AnswersNever,
    /// Failures are reported as refused connections, so that what may have run is sent again.
    ForgetsThatItRan,
    /// An attempt whose time is up stays out while the next one goes.
    KeepsWhatItGivesUp,
    /// No call to let go is made.
    ReleasesNothing,
    /// Calls to let go are made once and not repeated.
    ReleasesOnce,
    /// Calls go to an engine's holder only while it is listed as serving.
    ReleasesToServingOnly,
    /// Every connection probe is answered: whatever is sent counts as arrived.
    ConnectionProbesAlwaysAnswered,
    /// Drains are not heard.
    DeafToDrains,
    /// One in ten wakes of the timers comes a second late.
    LateTimers,
    /// The end of some attempts is forgotten.
    ForgetsEnds,
    /// Calls to let go go out on kept connections though the host asks for new ones.
    CallsOnKeptConnections,
}

/// All of them.
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
