//! The status document of the planner. The names in JSON differ from those of the fields for compatibility.

use serde::Serialize;

use crate::flow::FlowAssignment;
use crate::planner::{OperatorOrder, Planner};
use crate::routing_row::ZoneLoad;
use crate::zone_health::{ObservedZone, ZoneHealth};

/// The state of one zone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ZoneStatus {
    /// The zone's name.
    pub zone: String,
    /// The zone's health.
    #[serde(rename = "known")]
    pub health: ZoneHealth,
    /// How many nodes of the zone are alive.
    pub nodes: usize,
    /// Requests per second that the zone's engines can serve, as far as the zone is open.
    #[serde(rename = "room")]
    pub capacity: f64,
    /// The fraction of the capacity that is in use.
    pub open: f64,
    /// Requests per second that clients send to the zone.
    pub offered: f64,
    /// Requests per second of other zones that the zone serves according to the plan.
    #[serde(rename = "takes")]
    pub accepted: f64,
    /// The fraction of attempts at the zone that fail, over all nodes.
    #[serde(rename = "failing")]
    pub failed_fraction: f64,
    /// Why the zone is not fully open, is degraded or is under an operator's order; empty otherwise.
    #[serde(rename = "why")]
    pub reason: String,
    /// How often the zone has been evacuated or has taken a step of its recovery.
    #[serde(rename = "moves")]
    pub transitions: u64,
}

/// The state of all zones, and the plan.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// By zone.
    pub zones: Vec<ZoneStatus>,
    /// By zone: the zones that serve its requests, with the fractions.
    #[serde(rename = "goes")]
    pub routes: Vec<Vec<(String, f64)>>,
    /// Requests per second for which no zone has capacity.
    #[serde(rename = "refused")]
    pub rejected: f64,
}

impl Planner {
    /// The status document of a plan that was made from these observations.
    pub(crate) fn status_of(
        &self,
        observed: &[ObservedZone],
        loads: &[ZoneLoad],
        placed: &FlowAssignment,
    ) -> Status {
        let names = &self.settings.zones.zones;
        let zone_status = |zone: usize| ZoneStatus {
            zone: names[zone].name.clone(),
            health: observed[zone].health,
            nodes: self.nodes[zone],
            capacity: loads[zone].capacity,
            open: self.recoveries[zone].open_fraction(),
            offered: loads[zone].offered,
            accepted: placed.flow.iter().map(|row| row[zone]).sum(),
            failed_fraction: observed[zone].attempts.failed_fraction,
            reason: self.reason(zone, &observed[zone]),
            transitions: self.recoveries[zone].transitions,
        };
        Status {
            zones: (0..names.len()).map(zone_status).collect(),
            routes: self
                .rows
                .iter()
                .map(|row| row.fractions().map(|(zone, part)| (names[zone].name.clone(), part)).collect())
                .collect(),
            rejected: placed.unplaced.iter().sum(),
        }
    }

    /// Why a zone is not fully open, is degraded or is under an operator's order; empty otherwise.
    fn reason(&self, zone: usize, observed: &ObservedZone) -> String {
        let attempts = &observed.attempts;
        let failed_percent = attempts.failed_fraction * 100.0;
        let recovery = &self.recoveries[zone];
        match self.orders[zone] {
            Some(OperatorOrder::Evacuate) => "evacuated by an operator".to_string(),
            Some(OperatorOrder::Hold) => "held by an operator".to_string(),
            None if recovery.open_parts() == 0 => {
                let count = attempts.count;
                format!(
                    "{failed_percent:.0}% of {count:.0} attempts failed; recovery begins after the hold-down"
                )
            }
            None if !recovery.is_fully_open() => "recovering".to_string(),
            None if observed.health == ZoneHealth::Degraded => {
                let late_percent = attempts.late_fraction * 100.0;
                format!("{failed_percent:.0}% of attempts fail, {late_percent:.0}% of requests are late")
            }
            None => String::new(),
        }
    }
}
