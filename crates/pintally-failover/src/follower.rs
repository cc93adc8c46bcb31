//! A node that follows plans.

use xxhash_rust::xxh3::xxh3_64;

use crate::map::Settings;
use crate::plan::FailoverPlan;
use crate::Micros;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// To the engines of this zone.
    Zone(usize),
    /// Nowhere: there is no room that it may use. It may come again after this time.
    Reject(Micros),
}

/// The plan that holds here.
#[derive(Clone, Debug)]
pub struct PlanFollower {
    settings: Settings,
    home: usize,
    plan: Option<(FailoverPlan, Micros)>,
}

impl PlanFollower {
    /// A node in a zone that has heard of no plan.
    pub fn new(settings: Settings, home: usize) -> PlanFollower {
        PlanFollower { settings, home, plan: None }
    }

    /// A plan has come; whether it is the latest. An old one that arrives late does nothing.
    pub fn apply(&mut self, now: Micros, plan: FailoverPlan) -> bool {
        if !plan.follows(self.plan.as_ref().map(|(known, _)| known)) {
            return false;
        }
        self.plan = Some((plan, now));
        true
    }

    /// The plan that holds now: it ends by itself.
    pub fn plan(&self, now: Micros) -> Option<&FailoverPlan> {
        let (plan, at) = self.plan.as_ref()?;
        (now < at + self.settings.plan_lifetime).then_some(plan)
    }

    /// Where a session's requests go: the same zone for all of them while parts stay as they are, and as
    /// few of them as can be go elsewhere when parts change. `stays`: it may not leave the region.
    pub fn route(&self, now: Micros, session: u64, stays: bool) -> Route {
        let Some(plan) = self.plan(now) else {
            // Without word of a majority everybody serves what is near, within its own means.
            return Route::Zone(self.home);
        };
        let Some(row) = plan.rows.get(self.home) else { return Route::Zone(self.home) };
        let own = row.iter().filter(|(zone, _)| usize::from(*zone) == self.home);
        let others = row.iter().filter(|(zone, _)| usize::from(*zone) != self.home);
        let may = |zone: u8| !stays || self.settings.zones.together(self.home, usize::from(zone));
        let allowed: Vec<(u8, u8)> = own.chain(others).filter(|(zone, _)| may(*zone)).copied().collect();
        let mut place = (xxh3_64(&session.to_le_bytes()) >> 56) as u32 * 255 / 256;
        for (zone, part) in allowed {
            if place < u32::from(part) {
                return Route::Zone(usize::from(zone));
            }
            place -= u32::from(part);
        }
        Route::Reject(2 * self.settings.plan_interval)
    }
}
