//! Failover between zones at this node: it follows the latest plan, and makes plans while it leads.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{bounded, Sender};
use pintally::interface::Micros;
use pintally_config::FailoverSettings;
use pintally_failover::{FailoverPlan, OperatorOrder, Planner, Status, ZoneReport};
use pintally_membership::Membership;
use serde_json::json;
use tracing::info;

use crate::shared::Shared;
use crate::sync::lock;

/// A zone's part of a plan is one byte, of which this is the whole.
const WHOLE_PART: f64 = 255.0;

/// An operator waits for what the plan would be without a zone.
pub(crate) struct DryRunRequest {
    zone: String,
    answer: Sender<Option<Status>>,
}

/// The latest plan that this node knows, and its planner while it leads.
pub(crate) struct FailoverLeader {
    settings: FailoverSettings,
    planner: Option<Planner>,
    latest: Option<FailoverPlan>,
    /// Engines that take work in each zone, by this node's endpoint list.
    engine_counts: Vec<f64>,
    next_plan: Micros,
}

impl FailoverLeader {
    pub(crate) fn new(settings: &FailoverSettings) -> FailoverLeader {
        let zones = settings.policy.zones.zones.len();
        FailoverLeader {
            settings: settings.clone(),
            planner: None,
            latest: None,
            engine_counts: vec![0.0; zones],
            next_plan: 0,
        }
    }

    /// The leadership of this node has begun, in this term, or ended.
    pub(crate) fn set_leadership(&mut self, now: Micros, term: Option<u64>) {
        self.planner =
            term.map(|term| Planner::new(self.settings.policy.clone(), term, self.latest.as_ref(), now));
    }

    /// Takes a plan of the leader's; whether it follows the latest one.
    pub(crate) fn receive_plan(&mut self, bytes: &[u8]) -> bool {
        let Some(plan) = FailoverPlan::decode(bytes, self.engine_counts.len()) else { return false };
        if !plan.supersedes(self.latest.as_ref()) {
            return false;
        }
        self.latest = Some(plan);
        true
    }

    /// Takes a node's report, if this node leads.
    pub(crate) fn receive_report(&mut self, now: Micros, node: &str, zone: &str, bytes: &[u8]) {
        let Some(planner) = &mut self.planner else { return };
        let zone = self.settings.policy.zones.zone_index(zone);
        if let (Some(zone), Some(report)) = (zone, ZoneReport::decode(bytes)) {
            planner.receive_report(now, node, zone, report);
        }
    }

    /// How many engines take work in each zone, by this node's endpoint list.
    pub(crate) fn set_engine_counts(&mut self, engine_counts: Vec<f64>) {
        self.engine_counts = engine_counts;
    }

    /// The next plan, encoded, if it is due and this node leads.
    pub(crate) fn next_plan(
        &mut self,
        now: Micros,
        shared: &Arc<Shared>,
        membership: &Membership,
    ) -> Option<Vec<u8>> {
        if now < self.next_plan {
            return None;
        }
        self.next_plan = now + self.settings.policy.plan_interval;
        let plan = self.make_plan(now, shared, membership);
        self.answer_dry_run(now, shared);
        self.publish_status(shared, plan.as_ref());
        let plan = plan?;
        let bytes = plan.encode();
        self.latest = Some(plan);
        Some(bytes)
    }

    fn make_plan(
        &mut self,
        now: Micros,
        shared: &Arc<Shared>,
        membership: &Membership,
    ) -> Option<FailoverPlan> {
        let nodes = self.nodes_per_zone(shared, membership);
        let planner = self.planner.as_mut()?;
        planner.update_zones(&nodes, &self.engine_counts);
        let orders = lock(&shared.fleet.zone_orders).clone();
        for (index, zone) in self.settings.policy.zones.zones.iter().enumerate() {
            planner.set_order(index, orders.get(&zone.name).and_then(|order| parse_order(order)));
        }
        let open_before: Vec<_> = planner.status().zones.iter().map(|zone| zone.open).collect();
        let plan = planner.plan(now);
        for (zone, before) in planner.status().zones.iter().zip(open_before) {
            if zone.open != before {
                let (name, open, health, reason) = (&zone.zone, zone.open, &zone.health, &zone.reason);
                info!(zone = %name, open, ?health, %reason, "zone opening changed");
            }
        }
        Some(plan)
    }

    /// Nodes alive in each zone, this one among them.
    fn nodes_per_zone(&self, shared: &Shared, membership: &Membership) -> Vec<usize> {
        let map = &self.settings.policy.zones;
        let mut nodes = vec![0; map.zones.len()];
        let own = std::iter::once(shared.settings.core.zone.as_str());
        let alive =
            membership.members().filter(|member| member.is_alive()).map(pintally_membership::Member::zone);
        for zone in alive.chain(own).filter_map(|name| map.zone_index(name)) {
            nodes[zone] += 1;
        }
        nodes
    }

    fn answer_dry_run(&self, now: Micros, shared: &Shared) {
        let Some(request) = lock(&shared.fleet.pending_dry_run).take() else { return };
        let zone = self.settings.policy.zones.zone_index(&request.zone);
        let status = zone.and_then(|zone| Some(self.planner.as_ref()?.dry_run(now, zone)));
        let _ = request.answer.try_send(status);
    }

    /// Refreshes the status document of failover.
    fn publish_status(&self, shared: &Shared, plan: Option<&FailoverPlan>) {
        let zones = &self.settings.policy.zones.zones;
        let in_force = plan.or(self.latest.as_ref()).map(|plan| {
            let part = |(zone, part): &(u8, u8)| {
                json!([zones[usize::from(*zone)].name, f64::from(*part) / WHOLE_PART])
            };
            let rows: Vec<Vec<_>> = plan.rows.iter().map(|row| row.iter().map(part).collect()).collect();
            json!({ "term": plan.term, "number": plan.number, "rows": rows, "open": plan.open })
        });
        let status = json!({
            "node": shared.settings.name, "zone": shared.settings.core.zone, "plan": in_force,
            "names": zones.iter().map(|zone| zone.name.as_str()).collect::<Vec<_>>(),
            "leads": self.planner.as_ref().map(Planner::status),
        });
        *lock(&shared.fleet.failover_status) = Some(status);
    }
}

/// An operator's order for a zone, as the replicated store spells it.
fn parse_order(order: &str) -> Option<OperatorOrder> {
    match order {
        "out" => Some(OperatorOrder::Evacuate),
        "hold" => Some(OperatorOrder::Hold),
        _ => None,
    }
}

/// What the plan would be without a zone, if this node leads and there is such a zone.
pub(crate) fn dry_run(shared: &Shared, zone: String, timeout: Duration) -> Option<Status> {
    let (answer, receiver) = bounded(1);
    *lock(&shared.fleet.pending_dry_run) = Some(DryRunRequest { zone, answer });
    receiver.recv_timeout(timeout).ok().flatten()
}
