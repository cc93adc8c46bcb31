//! The host of the decision core: a sans-I/O state machine that owns a [`Router`](pintally::Router) for each
//! cell or zone.
//!
//! Each input is passed with the time of its arrival, and the resulting commands are returned. The same
//! settings, seed and inputs always give the same commands, so both real sockets and a simulated clock can
//! drive the host.
//!
//! It guarantees, for any order in which attempts end:
//! - each request gets exactly one [`FinalAnswer`], and no attempt after it;
//! - the router is notified exactly once of the end of each attempt;
//! - each reservation that may exist at an engine is fetched or released, and the release is retried until an
//!   engine has acknowledged it.
//!
//! [`Host`] coordinates components that each keep their own state: the ledger of requests, timers, the endpoint
//! directory, the decision cores, routing between cells and zones, outlier detection, admission by quotas and
//! during recovery, and the schedulers of releases.

#![deny(missing_docs)]

mod cell_routing;
mod command;
mod cores;
mod counters;
mod endpoint_directory;
mod endpoint_list;
mod executed_requests;
mod host;
mod input;
mod ledger;
mod orphaned_reservations;
mod outlier_detection;
mod quota_admission;
mod recovery_admission;
mod rejections;
mod release_retries;
mod release_scheduler;
mod request_record;
mod reservations;
mod start_times;
mod timers;
mod zone_routing;

pub use command::{AttemptOrder, Command, FinalAnswer};
pub use counters::Counters;
pub use endpoint_list::{ListChange, ListFollower};
pub use host::Host;
pub use input::{EngineEndpoint, IncomingRequest, Input, ReleaseScope, RequestNumber};
pub use orphaned_reservations::OrphanedReservation;
pub use rejections::{RejectionReason, Rejections};
pub use reservations::reservation_name;
pub use start_times::StartTimes;
