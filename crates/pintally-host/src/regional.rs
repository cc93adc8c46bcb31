//! The host's part in regions: one core for each zone, whole sessions led to one of them by the plan that
//! holds. Inside a zone the core decides as ever.

use std::collections::BTreeMap;

use pintally::interface::{Endpoint, EndpointState, EngineId, Event, ListUpdate, Micros, Outcome};
use pintally_cells::CellName;
use pintally_failover::{FailoverPlan, PlanFollower, Route, ZoneObserver};

use crate::host::Host;
use crate::input::{Command, EngineEndpoint, IncomingRequest};
use crate::timers::TimerEvent;

/// What this node sees of zones, and the plan that it follows.
pub(crate) struct Regional {
    follower: PlanFollower,
    local: ZoneObserver,
    home: usize,
    every: Micros,
    zones: Vec<CellName>,
    stay_classes: Vec<bool>,
    stay_tenants: Vec<bool>,
    /// In which zone's core each engine is.
    placed: BTreeMap<EngineId, usize>,
    far: u64,
}

impl Host {
    /// The same host with a core for each zone, if the settings hold regions and its zone is in one.
    pub fn with_regions(mut self, now: Micros) -> Host {
        let Some(regions) = self.settings.failover.clone() else { return self };
        let core = &self.settings.core;
        let Some(home) = regions.policy.zones.zone(&core.zone) else { return self };
        let names = &regions.policy.zones.zones;
        self.regional = Some(Regional {
            local: ZoneObserver::new(names.len()),
            home,
            every: regions.policy.plan_interval,
            zones: names.iter().map(|z| CellName::from(z.name.as_str())).collect(),
            stay_classes: core.classes.iter().map(|c| regions.pinned_classes.contains(&c.name)).collect(),
            stay_tenants: core.tenants.iter().map(|t| regions.pinned_tenants.contains(&t.name)).collect(),
            placed: BTreeMap::new(),
            far: 0,
            follower: PlanFollower::new(regions.policy, home),
        });
        self.timers.set(now + 1, TimerEvent::ZoneReport);
        self
    }

    /// Whether an engine is one to which this node sends by itself: of its own zone, if there are zones.
    pub(crate) fn is_near(&self, engine: &EngineId) -> bool {
        self.regional.as_ref().is_none_or(|r| r.placed.get(engine) == Some(&r.home))
    }

    /// Engines of these that take work. Guards against a node that counts itself cold for ever because it
    /// never hears the engines of other zones.
    pub(crate) fn serving_near(&self) -> Vec<EngineId> {
        let serves = self.places.iter().filter(|(_, p)| p.listing == EndpointState::Serving);
        serves.map(|(engine, _)| engine).filter(|engine| self.is_near(engine)).cloned().collect()
    }

    /// Requests that were led to another zone than this node's.
    pub fn routed_to_other_zone(&self) -> u64 {
        self.regional.as_ref().map_or(0, |r| r.far)
    }

    /// Gives each zone's core its engines; `false` if there are no zones.
    pub(crate) fn list_to_zones(
        &mut self,
        now: Micros,
        form: ListUpdate,
        members: &[Endpoint],
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(regional) = &mut self.regional else { return false };
        let cells = regional.zones.clone();
        let mut lists: Vec<Vec<Endpoint>> = vec![Vec::new(); cells.len()];
        if form == ListUpdate::Full {
            regional.placed.clear();
        }
        for member in members {
            let zone = cells.iter().position(|c| *c.0 == *member.zone);
            let before = regional.placed.get(&member.engine).copied();
            if let Some(before) = before.filter(|b| Some(*b) != zone) {
                lists[before].push(Endpoint { state: EndpointState::Gone, ..member.clone() });
            }
            match zone {
                Some(zone) => {
                    regional.placed.insert(member.engine.clone(), zone);
                    lists[zone].push(member.clone());
                }
                None => out.push(Command::Log(format!(
                    "engine {} is in zone `{}`, which is in no region, and is left out",
                    member.engine.0, member.zone
                ))),
            }
        }
        for (cell, list) in cells.iter().zip(lists) {
            self.core_of(cell);
            if form != ListUpdate::Delta || !list.is_empty() {
                self.event(now, cell, Event::EndpointList(form, list), out);
            }
        }
        true
    }

    /// Where a request goes, if there are zones: to a zone's core, or nowhere yet.
    pub(crate) fn zone_for(
        &mut self,
        now: Micros,
        arrival: &IncomingRequest,
        session: u64,
    ) -> Option<Result<CellName, Micros>> {
        let regional = self.regional.as_mut()?;
        regional.local.offered(now);
        let told = |of: Option<usize>, list: &[bool]| of.and_then(|i| list.get(i)).copied().unwrap_or(false);
        let stays =
            told(arrival.class, &regional.stay_classes) || told(arrival.tenant, &regional.stay_tenants);
        Some(match regional.follower.route(now, session, stays) {
            Route::Zone(zone) => {
                regional.far += u64::from(zone != regional.home);
                Ok(regional.zones[zone].clone())
            }
            Route::Reject(after) => Err(after),
        })
    }

    /// An attempt in a zone's core has ended.
    pub(crate) fn zone_saw(&mut self, now: Micros, cell: &CellName, outcome: Outcome) {
        let Some(regional) = &mut self.regional else { return };
        let Some(zone) = regional.zones.iter().position(|z| z == cell) else { return };
        match outcome {
            Outcome::Served | Outcome::Read => regional.local.ended(now, zone, false),
            Outcome::Error | Outcome::TimedOut | Outcome::Unreachable | Outcome::ConnectionBroken => {
                regional.local.ended(now, zone, true);
            }
            Outcome::Overloaded | Outcome::StateNotFound | Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }

    /// A request in a zone's core was late.
    pub(crate) fn zone_late(&mut self, now: Micros, cell: &CellName) {
        let Some(regional) = &mut self.regional else { return };
        if let Some(zone) = regional.zones.iter().position(|z| z == cell) {
            regional.local.late(now, zone);
        }
    }

    /// A plan has come.
    pub(crate) fn planned(&mut self, now: Micros, bytes: &[u8]) {
        let Some(regional) = &mut self.regional else { return };
        if let Some(plan) = FailoverPlan::decode(bytes, regional.zones.len()) {
            regional.follower.apply(now, plan);
        }
    }

    /// Says what it sees, and how many engines take work in each zone.
    pub(crate) fn regions_due(&mut self, now: Micros, out: &mut Vec<Command>) {
        let Some(regional) = &mut self.regional else { return };
        let word = regional.local.report(now).encode();
        let mut engines = vec![0.0; regional.zones.len()];
        for (engine, zone) in &regional.placed {
            let serving = self.places.get(engine).is_some_and(|p| p.listing == EndpointState::Serving);
            engines[*zone] += f64::from(u8::from(serving));
        }
        let at = now + regional.every;
        out.push(Command::PublishZoneReport(word, engines));
        self.timers.set(at, TimerEvent::ZoneReport);
    }

    /// Whom a list is for: as the fleet judges them, each to its zone's core if there are zones.
    pub(crate) fn list_to_cores(
        &mut self,
        now: Micros,
        form: ListUpdate,
        list: Vec<EngineEndpoint>,
        out: &mut Vec<Command>,
    ) {
        let members: Vec<Endpoint> = list.into_iter().map(|one| self.as_judged(one.endpoint)).collect();
        if self.list_to_zones(now, form, &members, out) {
            return;
        }
        let whole = CellName::default();
        self.core_of(&whole);
        self.event(now, &whole, Event::EndpointList(form, members), out);
    }
}
