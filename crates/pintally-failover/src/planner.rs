//! The leader's planner, which turns the reports of all nodes into a failover plan.

use crate::flow::min_cost_placement;
use crate::observer::ZoneReport;
use crate::plan::FailoverPlan;
use crate::routing_row::{Excess, RoutingRow, ZoneLoad};
use crate::settings::Settings;
use crate::status::Status;
use crate::zone_health::{ObservedZone, Reports, ZoneHealth};
use crate::zone_recovery::ZoneRecovery;
use crate::Micros;

/// An operator's order for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorOrder {
    /// Evacuate the zone until the order is withdrawn.
    Evacuate,
    /// Neither evacuate the zone nor change the step of its recovery until the order is withdrawn.
    Hold,
}

/// Makes the failover plans of one leader. A new leader starts from the latest plan that it knows.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(crate) settings: Settings,
    term: u64,
    /// The number of the latest plan.
    number: u64,
    reports: Reports,
    /// By zone: how many of its nodes are alive.
    pub(crate) nodes: Vec<usize>,
    /// By zone: how many engines are listed.
    engines: Vec<f64>,
    pub(crate) recoveries: Vec<ZoneRecovery>,
    pub(crate) orders: Vec<Option<OperatorOrder>>,
    pub(crate) rows: Vec<RoutingRow>,
    status: Status,
    /// When the leadership began, in microseconds.
    since: Micros,
}

impl Planner {
    /// A planner for a leadership that begins now; `before` is the latest plan that is known, if any.
    pub fn new(settings: Settings, term: u64, before: Option<&FailoverPlan>, now: Micros) -> Planner {
        let zones = settings.zones.zones.len();
        let recovery = |zone: usize| match before.and_then(|plan| plan.open.get(zone)) {
            Some(open_parts) => ZoneRecovery::resume(now, *open_parts, &settings),
            None => ZoneRecovery::new(now, &settings),
        };
        let rows = match before {
            Some(plan) => plan.rows.iter().map(|row| RoutingRow::from_plan(row)).collect(),
            None => vec![RoutingRow::default(); zones],
        };
        Planner {
            recoveries: (0..zones).map(recovery).collect(),
            rows,
            settings,
            term,
            // Guards against a leadership that lapses and is renewed in the same term: if its plans were numbered
            // from the start again, nodes would ignore them as old ones.
            number: before.filter(|plan| plan.term == term).map_or(0, |plan| plan.number),
            reports: Reports::default(),
            nodes: vec![0; zones],
            engines: vec![0.0; zones],
            orders: vec![None; zones],
            status: Status::default(),
            since: now,
        }
    }

    /// Replaces the report of the node `name`, which is in `zone`.
    pub fn receive_report(&mut self, now: Micros, name: &str, zone: usize, report: ZoneReport) {
        if zone < self.nodes.len() {
            self.reports.receive(now, name, zone, report);
        }
    }

    /// Sets how many nodes of each zone are alive, and how many engines are listed there.
    pub fn update_zones(&mut self, nodes: &[usize], engines: &[f64]) {
        self.nodes.iter_mut().zip(nodes).for_each(|(known, count)| *known = *count);
        self.engines.iter_mut().zip(engines).for_each(|(known, count)| *known = *count);
    }

    /// Sets or withdraws an operator's order for a zone.
    pub fn set_order(&mut self, zone: usize, order: Option<OperatorOrder>) {
        if let Some(current) = self.orders.get_mut(zone) {
            *current = order;
        }
    }

    /// Makes the next plan.
    pub fn plan(&mut self, now: Micros) -> FailoverPlan {
        self.reports.expire(now);
        let zones = self.nodes.len();
        let observed: Vec<ObservedZone> =
            (0..zones).map(|zone| ObservedZone::new(self.reports.attempts(zone), self.nodes[zone])).collect();
        self.advance_recoveries(now, &observed);
        let offered = self.reports.offered(zones);
        let loads: Vec<ZoneLoad> = (0..zones)
            .map(|zone| ZoneLoad::new(offered[zone], self.capacity(zone, &observed[zone])))
            .collect();
        let needs: Vec<f64> = loads.iter().map(ZoneLoad::excess).collect();
        let spare: Vec<f64> =
            (0..zones).map(|zone| self.spare_capacity(zone, &observed[zone], &loads[zone])).collect();
        let map = &self.settings.zones;
        let price = |from: usize, to: usize| if from == to { f64::INFINITY } else { map.price(from, to) };
        let placed = min_cost_placement(&needs, &spare, price);
        for (zone, row) in self.rows.iter_mut().enumerate().take(zones) {
            let fully_open = self.recoveries[zone].is_fully_open();
            let excess = if fully_open { Excess::StaysLocal } else { Excess::Rejected };
            row.update(RoutingRow::divide(zone, &loads[zone], &placed.flow[zone], excess));
        }
        self.status = self.status_of(&observed, &loads, &placed);
        self.number += 1;
        FailoverPlan {
            term: self.term,
            number: self.number,
            rows: self.rows.iter().map(RoutingRow::to_plan).collect(),
            open: self.recoveries.iter().map(ZoneRecovery::open_parts).collect(),
        }
    }

    fn advance_recoveries(&mut self, now: Micros, observed: &[ObservedZone]) {
        // A new leader first collects the reports of all nodes for the time of `failure_grace`.
        let collecting = now < self.since + self.settings.failure_grace;
        for (zone, observed) in observed.iter().enumerate() {
            match self.orders[zone] {
                Some(OperatorOrder::Evacuate) => self.recoveries[zone].evacuate(now),
                Some(OperatorOrder::Hold) => {}
                None if collecting => {}
                None => self.recoveries[zone].advance(now, observed, &self.settings),
            }
        }
    }

    /// Requests per second that a zone can serve: that of its engines, less the fraction of attempts that fail there,
    /// as far as the zone is open.
    fn capacity(&self, zone: usize, observed: &ObservedZone) -> f64 {
        self.engines[zone]
            * self.settings.requests_per_second_per_engine
            * self.settings.max_utilization
            * observed.working_fraction()
            * self.recoveries[zone].open_fraction()
    }

    /// Requests per second that a zone can serve for others. The local reserve is kept for its own requests, even if
    /// they do not use it. A zone that is recovering, failing or of unknown health serves none for others.
    fn spare_capacity(&self, zone: usize, observed: &ObservedZone, load: &ZoneLoad) -> f64 {
        let is_working = matches!(observed.health, ZoneHealth::Healthy | ZoneHealth::Degraded);
        if !is_working || !self.recoveries[zone].is_fully_open() {
            return 0.0;
        }
        let reserve = self.settings.local_reserve * load.capacity;
        (load.capacity - load.local.max(reserve)).max(0.0)
    }

    /// The status document of the latest plan.
    pub fn status(&self) -> &Status {
        &self.status
    }

    /// The status document that the next plan would have if a zone were evacuated. Does not change the planner.
    pub fn dry_run(&self, now: Micros, zone: usize) -> Status {
        let mut dry_run = self.clone();
        dry_run.set_order(zone, Some(OperatorOrder::Evacuate));
        dry_run.plan(now);
        dry_run.status
    }
}
