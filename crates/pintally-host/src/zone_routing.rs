//! Routing between zones: there is one core for each zone, and the failover plan in force routes whole sessions to
//! one of them. Within a zone, its core decides as it would without zones.

use std::collections::BTreeMap;

use pintally::interface::{Endpoint, EndpointState, EngineId, ListUpdate, Micros, Outcome};
use pintally_cells::CellName;
use pintally_config::NodeSettings;
use pintally_failover::{FailoverPlan, PlanFollower, Route, ZoneObserver};

use crate::input::IncomingRequest;

/// Endpoints by zone.
pub(crate) struct ZoneAssignment {
    /// The endpoints to announce to each zone's core.
    pub(crate) zones: Vec<(CellName, Vec<Endpoint>)>,
    /// Endpoints in zones that the failover policy does not name.
    pub(crate) unassigned: Vec<Endpoint>,
}

/// The observations about zones that this node publishes.
pub(crate) struct ZoneReport {
    pub(crate) observations: Vec<u8>,
    /// The number of serving engines, by zone.
    pub(crate) serving_engines: Vec<f64>,
}

/// This node's observations of zones, and the failover plan that it follows.
pub(crate) struct ZoneRouting {
    plan: PlanFollower,
    observer: ZoneObserver,
    home_zone: usize,
    report_interval: Micros,
    /// The names under which the zones' cores run.
    zones: Vec<CellName>,
    pinned_classes: Vec<bool>,
    pinned_tenants: Vec<bool>,
    zone_of_engine: BTreeMap<EngineId, usize>,
    routed_to_other_zone: u64,
}

impl ZoneRouting {
    /// Creates zone routing if the settings define a failover policy that contains the node's zone.
    pub(crate) fn new(settings: &NodeSettings) -> Option<ZoneRouting> {
        let failover = settings.failover.clone()?;
        let core = &settings.core;
        let home_zone = failover.policy.zones.zone_index(&core.zone)?;
        let zones = &failover.policy.zones.zones;
        Some(ZoneRouting {
            observer: ZoneObserver::new(zones.len()),
            home_zone,
            report_interval: failover.policy.plan_interval,
            zones: zones.iter().map(|zone| CellName::from(zone.name.as_str())).collect(),
            pinned_classes: core.classes.iter().map(|c| failover.pinned_classes.contains(&c.name)).collect(),
            pinned_tenants: core.tenants.iter().map(|t| failover.pinned_tenants.contains(&t.name)).collect(),
            zone_of_engine: BTreeMap::new(),
            routed_to_other_zone: 0,
            plan: PlanFollower::new(failover.policy, home_zone),
        })
    }

    /// The time between two reports.
    pub(crate) fn report_interval(&self) -> Micros {
        self.report_interval
    }

    /// Whether an engine is in this node's zone.
    pub(crate) fn is_in_home_zone(&self, engine: &EngineId) -> bool {
        self.zone_of_engine.get(engine) == Some(&self.home_zone)
    }

    /// Requests routed to another zone than this node's.
    pub(crate) fn routed_to_other_zone(&self) -> u64 {
        self.routed_to_other_zone
    }

    /// Assigns the endpoints of a list update to zones. An engine that has moved to another zone is announced as gone
    /// to its old zone.
    pub(crate) fn assign(&mut self, update: ListUpdate, endpoints: &[Endpoint]) -> ZoneAssignment {
        if update == ListUpdate::Full {
            self.zone_of_engine.clear();
        }
        let mut by_zone: Vec<Vec<Endpoint>> = vec![Vec::new(); self.zones.len()];
        let mut unassigned = Vec::new();
        for endpoint in endpoints {
            let zone = self.zones.iter().position(|zone| *zone.0 == *endpoint.zone);
            let old_zone = self.zone_of_engine.get(&endpoint.engine).copied();
            if let Some(old_zone) = old_zone.filter(|old_zone| Some(*old_zone) != zone) {
                by_zone[old_zone].push(Endpoint { state: EndpointState::Gone, ..endpoint.clone() });
            }
            match zone {
                Some(zone) => {
                    self.zone_of_engine.insert(endpoint.engine.clone(), zone);
                    by_zone[zone].push(endpoint.clone());
                }
                None => unassigned.push(endpoint.clone()),
            }
        }
        let cells = self.zones.iter().cloned();
        ZoneAssignment { zones: cells.zip(by_zone).collect(), unassigned }
    }

    /// Routes a request to a zone's core.
    ///
    /// # Errors
    ///
    /// The time after which the request may be repeated, if no zone that it may use has capacity.
    pub(crate) fn route(
        &mut self,
        now: Micros,
        arrival: &IncomingRequest,
        session: u64,
    ) -> Result<CellName, Micros> {
        self.observer.record_request(now);
        let is_pinned = |index: Option<usize>, pinned: &[bool]| {
            index.and_then(|index| pinned.get(index)).copied().unwrap_or(false)
        };
        let stays_in_region =
            is_pinned(arrival.class, &self.pinned_classes) || is_pinned(arrival.tenant, &self.pinned_tenants);
        match self.plan.route(now, session, stays_in_region) {
            Route::Zone(zone) => {
                self.routed_to_other_zone += u64::from(zone != self.home_zone);
                Ok(self.zones[zone].clone())
            }
            Route::Reject(after) => Err(after),
        }
    }

    /// Records the outcome of an attempt in a zone's core.
    pub(crate) fn record_outcome(&mut self, now: Micros, cell: &CellName, outcome: Outcome) {
        let Some(zone) = self.zone_of_cell(cell) else { return };
        match outcome {
            Outcome::Served | Outcome::Read => self.observer.record_attempt(now, zone, false),
            Outcome::Error | Outcome::TimedOut | Outcome::Unreachable | Outcome::ConnectionBroken => {
                self.observer.record_attempt(now, zone, true);
            }
            Outcome::Overloaded | Outcome::StateNotFound | Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }

    /// Records that a request in a zone's core has missed its latency objective.
    pub(crate) fn record_late_answer(&mut self, now: Micros, cell: &CellName) {
        if let Some(zone) = self.zone_of_cell(cell) {
            self.observer.record_late(now, zone);
        }
    }

    /// Applies a failover plan.
    pub(crate) fn apply_plan(&mut self, now: Micros, bytes: &[u8]) {
        if let Some(plan) = FailoverPlan::decode(bytes, self.zones.len()) {
            self.plan.apply(now, plan);
        }
    }

    /// Creates the report that is due.
    pub(crate) fn report(&mut self, now: Micros, is_serving: impl Fn(&EngineId) -> bool) -> ZoneReport {
        let observations = self.observer.report(now).encode();
        let mut serving_engines = vec![0.0; self.zones.len()];
        for (engine, zone) in &self.zone_of_engine {
            serving_engines[*zone] += f64::from(u8::from(is_serving(engine)));
        }
        ZoneReport { observations, serving_engines }
    }

    fn zone_of_cell(&self, cell: &CellName) -> Option<usize> {
        self.zones.iter().position(|zone| zone == cell)
    }
}
