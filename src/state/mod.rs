//! The state of a router: plain data and its bookkeeping. All decisions are in `policy`.

mod affinity;
mod bounded;
mod engine;
mod measurements;
mod rack;
mod random;
mod request;

pub(crate) use affinity::{prefix_keys, CachedPrefix, PrefixAffinityTable, PrefixKey, PromptKey};
pub(crate) use bounded::prune;
pub(crate) use engine::{
    Engine, ReceivedReport, SlowStartChange, SlowStartRecord, TenantRejection, TurnSchedule, WaitingAttempt,
};
pub(crate) use measurements::{AttemptKind, KindService, MovingMean, NodeMeasurements, Pool, TokenBucket};
pub(crate) use rack::{update_racks, Rack};
pub(crate) use random::Random;
pub(crate) use request::{FirstExecution, InFlightAttempt, RequestState};
