//! After a start: what a node trusts from before, what it asks of whom, and in which order service
//! returns. State machines without input or output; `docs/recovery.md` has the reasons and the bounds.
//!
//! No step waits for a peer without a time after which the node goes on with what it has, and peers
//! answer in every stage, so that nobody waits in a circle.

mod capacity;
mod gate;
mod list;
mod reservations;
mod settings;
mod stage;
mod status;

pub use capacity::{share, Capacity, Fleet};
pub use gate::{Admission, AdmissionPlan, Gate};
pub use list::{merge, ListMerge};
pub use pintally_validation::InvalidConfiguration;
pub use reservations::{BackupNode, Held, ReservationPublisher};
pub use settings::{ClassPriority, Settings};
pub use stage::{Answer, Input, Output, Recovery, RememberedState, Stage};
pub use status::Status;

pub use pintally::interface::Micros;
