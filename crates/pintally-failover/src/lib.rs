//! Zones and regions decided in common. Each node tells what it is asked for and how each zone's engines
//! fare for it ([`ZoneObserver`]). Whoever leads the keepers works out how much of each zone's work goes where
//! ([`Planner`]) and tells it with its term; each node follows the latest plan until it ends
//! ([`PlanFollower`]), whole sessions at a time. Without a plan a node serves what is near.
//!
//! Inside a zone the core decides as ever. `docs/regions.md` has the options weighed and the bounds.

mod flow;
mod follower;
mod local;
mod map;
mod plan;
mod planner;
mod zone_state;

pub use flow::{place, FlowAssignment};
pub use follower::{PlanFollower, Route};
pub use local::{ZoneObserver, ZoneReport};
pub use map::{Settings, Zone, ZoneMap, MAX_ZONES};
pub use pintally_validation::InvalidConfiguration;
pub use plan::FailoverPlan;
pub use planner::{OperatorOrder, Planner, Status, ZoneStatus};
pub use zone_state::ZoneHealth;

/// Microseconds of a clock that never goes back.
pub type Micros = u64;
