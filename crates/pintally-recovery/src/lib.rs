//! Recovery of a node after a start: which stored state it trusts, which peers it queries, and how it returns
//! to full service.
//!
//! The state machines do no input or output; `docs/recovery.md` has the reasons and the bounds. Each step
//! that waits for a peer has a timeout, after which the node continues with the answers it has, and peers
//! answer in every stage, so that nodes never deadlock waiting for each other.

#![deny(missing_docs)]

mod capacity;
mod gate;
mod list_merge;
mod recovery;
mod reservations;
mod settings;
mod stage;
mod status;

pub use capacity::{admission_share, Capacity, EngineCounts, FleetSize};
pub use gate::{Admission, AdmissionGate, AdmissionPlan};
pub use list_merge::{merge_endpoint_lists, ListMerge};
pub use pintally_validation::InvalidConfiguration;
pub use recovery::{Answer, Input, Output, Recovery, RememberedState};
pub use reservations::{BackupNode, Reservation, ReservationPublisher};
pub use settings::{ClassPriority, Settings};
pub use stage::Stage;
pub use status::Status;

pub use pintally::interface::Micros;
