//! Failover between zones and regions, decided by one leader; no input or output.
//!
//! Each node reports the requests that its clients send and the outcomes of its attempts by zone
//! ([`ZoneObserver`]). The leader of the replicas works out how the requests of each zone are divided over zones
//! and publishes a plan with its term ([`Planner`]); each node follows the latest plan until it expires
//! ([`PlanFollower`]), whole sessions at a time. Without a plan a node serves its requests in its own zone.
//!
//! Inside a zone the decision core is unchanged. `docs/failover.md` has the options weighed and the bounds.

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
