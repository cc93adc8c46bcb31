//! Failover between zones: this node applies the latest plan, and makes plans while it is the leader.

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

/// A plan encodes the share of a zone as one byte; this value stands for 100 %.
const FULL_SHARE: f64 = 255.0;

/// An operator's request for a dry run of the plan without a zone.
pub(crate) struct DryRunRequest {
    zone: String,
    answer: Sender<Option<Status>>,
}

/// The latest plan that this node knows, and the planner while this node is the leader.
pub(crate) struct FailoverLeader {
    settings: FailoverSettings,
    planner: Option<Planner>,
    latest_plan: Option<FailoverPlan>,
    /// Serving engines in each zone, according to this node's endpoint list.
    engine_counts: Vec<f64>,
    next_plan_at: Micros,
}

impl FailoverLeader {
    pub(crate) fn new(settings: &FailoverSettings) -> FailoverLeader {
        let zones = settings.policy.zones.zones.len();
        FailoverLeader {
            settings: settings.clone(),
            planner: None,
            latest_plan: None,
            engine_counts: vec![0.0; zones],
            next_plan_at: 0,
        }
    }

    /// Records that this node's leadership has begun, in the given term, or ended (`None`).
    pub(crate) fn set_leadership(&mut self, now: Micros, term: Option<u64>) {
        self.planner =
            term.map(|term| Planner::new(self.settings.policy.clone(), term, self.latest_plan.as_ref(), now));
    }

    /// Adopts a plan of the leader if it supersedes the latest one. Returns whether it does.
    pub(crate) fn receive_plan(&mut self, bytes: &[u8]) -> bool {
        let Some(plan) = FailoverPlan::decode(bytes, self.engine_counts.len()) else { return false };
        if !plan.supersedes(self.latest_plan.as_ref()) {
            return false;
        }
        self.latest_plan = Some(plan);
        true
    }

    /// Passes a node's report to the planner, if this node is the leader.
    pub(crate) fn receive_report(&mut self, now: Micros, node: &str, zone: &str, bytes: &[u8]) {
        let Some(planner) = &mut self.planner else { return };
        let zone = self.settings.policy.zones.zone_index(zone);
        if let (Some(zone), Some(report)) = (zone, ZoneReport::decode(bytes)) {
            planner.receive_report(now, node, zone, report);
        }
    }

    /// Sets the number of serving engines in each zone, according to this node's endpoint list.
    pub(crate) fn set_engine_counts(&mut self, engine_counts: Vec<f64>) {
        self.engine_counts = engine_counts;
    }

    /// Makes and encodes the next plan, if it is due and this node is the leader.
    pub(crate) fn next_plan(
        &mut self,
        now: Micros,
        shared: &Arc<Shared>,
        membership: &Membership,
    ) -> Option<Vec<u8>> {
        if now < self.next_plan_at {
            return None;
        }
        self.next_plan_at = now + self.settings.policy.plan_interval;
        let plan = self.make_plan(now, shared, membership);
        self.answer_dry_run(now, shared);
        self.publish_status(shared, plan.as_ref());
        let plan = plan?;
        let bytes = plan.encode();
        self.latest_plan = Some(plan);
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
        let previously_open: Vec<_> = planner.status().zones.iter().map(|zone| zone.open).collect();
        let plan = planner.plan(now);
        for (zone, was_open) in planner.status().zones.iter().zip(previously_open) {
            if zone.open != was_open {
                let (name, open, health, reason) = (&zone.zone, zone.open, &zone.health, &zone.reason);
                info!(zone = %name, open, ?health, %reason, "zone opening changed");
            }
        }
        Some(plan)
    }

    /// The number of live nodes in each zone, including this one.
    fn nodes_per_zone(&self, shared: &Shared, membership: &Membership) -> Vec<usize> {
        let zones = &self.settings.policy.zones;
        let mut nodes = vec![0; zones.zones.len()];
        let own = std::iter::once(shared.settings.core.zone.as_str());
        let alive =
            membership.members().filter(|member| member.is_alive()).map(pintally_membership::Member::zone);
        for zone in alive.chain(own).filter_map(|name| zones.zone_index(name)) {
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
        let current_plan = plan.or(self.latest_plan.as_ref()).map(|plan| {
            let zone_share = |(zone, share): &(u8, u8)| {
                json!([zones[usize::from(*zone)].name, f64::from(*share) / FULL_SHARE])
            };
            let rows: Vec<Vec<_>> =
                plan.rows.iter().map(|row| row.iter().map(zone_share).collect()).collect();
            json!({ "term": plan.term, "number": plan.number, "rows": rows, "open": plan.open })
        });
        let status = json!({
            "node": shared.settings.name, "zone": shared.settings.core.zone, "plan": current_plan,
            "names": zones.iter().map(|zone| zone.name.as_str()).collect::<Vec<_>>(),
            "leads": self.planner.as_ref().map(Planner::status),
        });
        *lock(&shared.fleet.failover_status) = Some(status);
    }
}

/// Parses an operator's order for a zone from its value in the replicated store.
fn parse_order(order: &str) -> Option<OperatorOrder> {
    match order {
        "out" => Some(OperatorOrder::Evacuate),
        "hold" => Some(OperatorOrder::Hold),
        _ => None,
    }
}

/// Returns what the plan would be without a zone; `None` if this node is not the leader, the zone does not
/// exist or no answer comes within the timeout.
pub(crate) fn dry_run(shared: &Shared, zone: String, timeout: Duration) -> Option<Status> {
    let (answer, receiver) = bounded(1);
    *lock(&shared.fleet.pending_dry_run) = Some(DryRunRequest { zone, answer });
    receiver.recv_timeout(timeout).ok().flatten()
}
