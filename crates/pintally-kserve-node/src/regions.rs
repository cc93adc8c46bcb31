//! The fleet's thread and regions: words of nodes to whoever leads, its plans to all.

use std::sync::Arc;

use crossbeam_channel::{bounded, Sender};
use pintally::interface::Micros;
use pintally_config::FailoverSettings;
use pintally_failover::{FailoverPlan, OperatorOrder, Planner, Status, ZoneReport};
use pintally_membership::{Membership, Topic};
use serde_json::json;
use tracing::info;

use crate::fleet::lock;
use crate::shared::Shared;

/// The plan that the leader tells; what nodes tell it.
pub(crate) const PLAN: Topic = Topic(6);
pub(crate) const ZONE_WORD: Topic = Topic(37);

/// Somebody wants to know what the plan would be without a zone.
pub(crate) type Rehearsal = (String, Sender<Option<Status>>);

/// What this node knows of the plan, and its planner while it leads.
pub(crate) struct Regions {
    settings: FailoverSettings,
    planner: Option<Planner>,
    latest: Option<FailoverPlan>,
    engines: Vec<f64>,
    next: Micros,
}

impl Regions {
    pub(crate) fn new(settings: &FailoverSettings) -> Regions {
        let zones = settings.policy.zones.zones.len();
        Regions {
            settings: settings.clone(),
            planner: None,
            latest: None,
            engines: vec![0.0; zones],
            next: 0,
        }
    }

    /// The lead has begun, in this term, or ended.
    pub(crate) fn leads(&mut self, now: Micros, term: Option<u64>) {
        self.planner = term.map(|term| {
            let latest = self.latest.as_ref();
            Planner::new(self.settings.policy.clone(), term, latest, now)
        });
    }

    /// A plan has come; whether it is the latest.
    pub(crate) fn heard(&mut self, bytes: &[u8]) -> bool {
        let Some(plan) = FailoverPlan::decode(bytes, self.engines.len()) else { return false };
        let newer = plan.follows(self.latest.as_ref());
        if newer {
            self.latest = Some(plan);
        }
        newer
    }

    /// A node of this zone tells what it sees.
    pub(crate) fn word(&mut self, now: Micros, name: &str, zone: &str, bytes: &[u8]) {
        let zone = self.settings.policy.zones.zone(zone);
        if let (Some(planner), Some(zone), Some(word)) = (&mut self.planner, zone, ZoneReport::decode(bytes))
        {
            planner.receive_report(now, name, zone, word);
        }
    }

    /// How many engines take work in each zone, by this node's list.
    pub(crate) fn engines(&mut self, engines: Vec<f64>) {
        self.engines = engines;
    }

    /// The next plan, if it is due and this node leads.
    pub(crate) fn plan(&mut self, now: Micros, shared: &Arc<Shared>, peers: &Membership) -> Option<Vec<u8>> {
        if now < self.next {
            return None;
        }
        self.next = now + self.settings.policy.plan_interval;
        let map = &self.settings.policy.zones;
        let plan = self.planner.as_mut().map(|planner| {
            let mut here = vec![0; map.zones.len()];
            let own = std::iter::once(shared.settings.core.zone.as_str());
            for zone in peers.members().filter(|m| m.is_alive()).map(|m| m.zone()).chain(own) {
                if let Some(zone) = map.zone(zone) {
                    here[zone] += 1;
                }
            }
            planner.update_zones(&here, &self.engines);
            let orders = lock(&shared.fleet.zone_orders);
            for (zone, known) in map.zones.iter().enumerate() {
                planner.order(zone, orders.get(&known.name).and_then(|word| order(word)));
            }
            drop(orders);
            let before = planner.status().zones.iter().map(|z| z.open).collect::<Vec<_>>();
            let plan = planner.plan(now);
            for (zone, before) in planner.status().zones.iter().zip(before) {
                if zone.open != before {
                    info!(zone = zone.zone, open = zone.open, known = ?zone.health, why = zone.reason, "a zone's part has changed");
                }
            }
            plan
        });
        if let Some((zone, to)) = lock(&shared.fleet.rehearse).take() {
            let dry = map.zone(&zone).and_then(|z| Some(self.planner.as_ref()?.dry_run(now, z)));
            let _ = to.try_send(dry);
        }
        self.forward_plan(shared, plan.as_ref());
        plan.map(|plan| {
            let bytes = plan.encode();
            self.latest = Some(plan);
            bytes
        })
    }

    fn forward_plan(&self, shared: &Arc<Shared>, plan: Option<&FailoverPlan>) {
        let names = &self.settings.policy.zones.zones;
        let followed = plan.or(self.latest.as_ref()).map(|plan| {
            let part =
                |(zone, part): &(u8, u8)| json!([names[usize::from(*zone)].name, f64::from(*part) / 255.0]);
            let rows: Vec<Vec<_>> = plan.rows.iter().map(|row| row.iter().map(part).collect()).collect();
            json!({ "term": plan.term, "number": plan.number, "rows": rows, "open": plan.open })
        });
        let told = json!({
            "node": shared.settings.name, "zone": shared.settings.core.zone, "plan": followed,
            "names": names.iter().map(|z| z.name.as_str()).collect::<Vec<_>>(),
            "leads": self.planner.as_ref().map(Planner::status),
        });
        *lock(&shared.fleet.regions) = Some(told);
    }
}

fn order(word: &str) -> Option<OperatorOrder> {
    match word {
        "out" => Some(OperatorOrder::Evacuate),
        "hold" => Some(OperatorOrder::Hold),
        _ => None,
    }
}

/// What the plan would be without a zone, from the node that leads.
pub(crate) fn rehearse(shared: &Shared, zone: String, within: std::time::Duration) -> Option<Status> {
    let (to, answer) = bounded(1);
    *lock(&shared.fleet.rehearse) = Some((zone, to));
    answer.recv_timeout(within).ok().flatten()
}
