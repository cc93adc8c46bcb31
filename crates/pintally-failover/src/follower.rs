//! Routing of a node's requests according to the leader's plans.

use xxhash_rust::xxh3::xxh3_64;

use crate::plan::{FailoverPlan, FULL_PARTS};
use crate::settings::Settings;
use crate::Micros;

/// The routing decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The engines of this zone serve it.
    Zone(usize),
    /// No zone that may serve it has capacity; the client may retry after this time.
    Reject(Micros),
}

/// A plan and when it was received.
#[derive(Clone, Debug)]
struct ReceivedPlan {
    plan: FailoverPlan,
    received: Micros,
}

/// Routes the requests of one node according to the latest plan.
#[derive(Clone, Debug)]
pub struct PlanFollower {
    settings: Settings,
    /// The node's own zone.
    home: usize,
    latest: Option<ReceivedPlan>,
}

impl PlanFollower {
    /// The follower of a node in the zone `home`, without a plan.
    pub fn new(settings: Settings, home: usize) -> PlanFollower {
        PlanFollower { settings, home, latest: None }
    }

    /// Applies a plan if it is later than the current one, and returns whether it did.
    pub fn apply(&mut self, now: Micros, plan: FailoverPlan) -> bool {
        if !plan.supersedes(self.latest.as_ref().map(|latest| &latest.plan)) {
            return false;
        }
        self.latest = Some(ReceivedPlan { plan, received: now });
        true
    }

    /// The plan in force; `None` if there is none or the latest one has expired.
    pub fn plan(&self, now: Micros) -> Option<&FailoverPlan> {
        let latest = self.latest.as_ref()?;
        (now < latest.received + self.settings.plan_lifetime).then_some(&latest.plan)
    }

    /// The route of a session's requests. A session stays in the same zone while the fractions in the plan stay the
    /// same; when they change, few sessions change their zone. A `region_bound` session may not leave the region.
    pub fn route(&self, now: Micros, session: u64, region_bound: bool) -> Route {
        // Without a plan, for example while the replicas have no majority, every node serves its requests in its own
        // zone, as far as that has capacity.
        let Some(row) = self.plan(now).and_then(|plan| plan.rows.get(self.home)) else {
            return Route::Zone(self.home);
        };
        let is_home = |route: &&(u8, u8)| usize::from(route.0) == self.home;
        let own = row.iter().filter(is_home);
        let others = row.iter().filter(|route| !is_home(route));
        let is_allowed =
            |zone: u8| !region_bound || self.settings.zones.in_same_region(self.home, usize::from(zone));
        // The hash of the session determines its position in the row, from 0 to 254.
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
