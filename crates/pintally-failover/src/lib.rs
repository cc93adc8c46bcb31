//! Failover between zones and regions, decided by one leader. The crate performs no input or output.
//!
//! Each node reports the rate of the requests that its clients send, and the outcomes of its attempts by zone
//! ([`ZoneObserver`]). From these reports the leader of the replicas computes how the requests of each zone are divided
//! over zones, and publishes a plan with its term ([`Planner`]). Each node follows the latest plan until it expires
//! ([`PlanFollower`]) and routes all requests of a session to the same zone. Without a plan a node serves its requests
//! in its own zone.
//!
//! Which engine of a zone serves a request is still the decision of the core. `docs/failover.md` compares the design
//! options and states the bounds.

#![deny(missing_docs)]

mod flow;
mod follower;
mod observer;
mod plan;
mod planner;
mod routing_row;
mod settings;
mod status;
mod zone_health;
mod zone_recovery;

pub use flow::{min_cost_placement, FlowAssignment};
pub use follower::{PlanFollower, Route};
pub use observer::{ZoneObserver, ZoneReport};
pub use pintally_validation::InvalidConfiguration;
pub use plan::FailoverPlan;
pub use planner::{OperatorOrder, Planner};
pub use settings::{Settings, Zone, ZoneMap, MAX_ZONES};
pub use status::{Status, ZoneStatus};
pub use zone_health::ZoneHealth;

/// Microseconds of a monotonic clock.
pub type Micros = u64;
