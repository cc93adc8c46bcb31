//! The host of the decision core: a state machine that owns one [`Router`](pintally::Router).
//!
//! Inputs come in with the time at which they came; commands go out. The same settings, seed and
//! inputs always give the same commands, so sockets and a virtual clock can drive the same host.
//!
//! What it answers for, whatever order things end in:
//! - each request that it takes gets exactly one [`FinalAnswer`], and no attempt after it;
//! - each attempt that it commands is ended towards the router exactly once;
//! - each read state that may wait at an engine is fetched or let go, and letting go is repeated
//!   until the engine has heard it.

mod answers;
mod attempts;
mod cellular;
mod counters;
mod host;
mod input;
mod judged;
mod ledger;
mod left;
mod limits;
mod list;
mod recover;
mod refusal;
mod regional;
mod release_retries;
mod release_scheduler;
mod states;
mod timers;

pub use counters::Counters;
pub use host::Host;
pub use input::{
    AttemptOrder, Command, EngineEndpoint, FinalAnswer, IncomingRequest, Input, ReleaseScope, RequestNumber,
};
pub use left::OrphanedReservation;
pub use list::{ListChange, ListFollower};
pub use refusal::{RefusalReason, Refusals};
pub use states::state_name;
