//! A node that follows the leader's plans.

use xxhash_rust::xxh3::xxh3_64;

use crate::plan::{FailoverPlan, FULL_PARTS};
use crate::settings::Settings;
use crate::Micros;

/// The routing decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The engines of this zone serve it.
    Zone(usize),
    /// No zone that it may use has capacity; the client may retry after this time.
    Reject(Micros),
}

/// A plan and when it was received.
#[derive(Clone, Debug)]
struct ReceivedPlan {
    plan: FailoverPlan,
    received: Micros,
}

/// Routes a node's requests by the latest plan.
#[derive(Clone, Debug)]
pub struct PlanFollower {
    settings: Settings,
    /// The node's own zone.
    home: usize,
    latest: Option<ReceivedPlan>,
}

impl PlanFollower {
    /// A node in the zone `home` that has received no plan.
    pub fn new(settings: Settings, home: usize) -> PlanFollower {
        PlanFollower { settings, home, latest: None }
    }

    /// Applies a plan, unless it is not later than the current one, and returns whether it did.
    pub fn apply(&mut self, now: Micros, plan: FailoverPlan) -> bool {
        if !plan.supersedes(self.latest.as_ref().map(|latest| &latest.plan)) {
            return false;
        }
        self.latest = Some(ReceivedPlan { plan, received: now });
        true
    }

    /// The plan in force: a plan expires unless it is renewed.
    pub fn plan(&self, now: Micros) -> Option<&FailoverPlan> {
        let latest = self.latest.as_ref()?;
        (now < latest.received + self.settings.plan_lifetime).then_some(&latest.plan)
    }

    /// The route of a session's requests: the same zone while the plan's fractions stay the same, and as few
    /// sessions as possible change theirs when the fractions do. A session that is `region_bound` may not leave the
    /// region.
    pub fn route(&self, now: Micros, session: u64, region_bound: bool) -> Route {
        // Without a plan, as without a majority of the replicas, every node serves in its own zone what that
        // can carry.
        let Some(row) = self.plan(now).and_then(|plan| plan.rows.get(self.home)) else {
            return Route::Zone(self.home);
        };
        let is_home = |route: &&(u8, u8)| usize::from(route.0) == self.home;
        let own = row.iter().filter(is_home);
        let others = row.iter().filter(|route| !is_home(route));
        let is_allowed =
            |zone: u8| !region_bound || self.settings.zones.in_same_region(self.home, usize::from(zone));
        // The hash is the session's position in the row.
        let mut position = (xxh3_64(&session.to_le_bytes()) >> 56) as u32 * u32::from(FULL_PARTS) / 256;
        for (zone, parts) in own.chain(others).filter(|(zone, _)| is_allowed(*zone)) {
            if position < u32::from(*parts) {
                return Route::Zone(usize::from(*zone));
            }
            position -= u32::from(*parts);
        }
        Route::Reject(2 * self.settings.plan_interval)
    }
}
