//! Exchange of zone reports and failover plans: nodes report to the leader, and the leader gossips plans.

use pintally::interface::Micros;
use pintally_host::Input;
use pintally_membership::{Output, PeerName};
use tracing::debug;

use super::topics::{FactTopic, MessageTopic};
use super::FleetThread;
use crate::shared::OutgoingZoneReport;

impl FleetThread<'_> {
    /// Sends this node's zone report to the leader, which may be this node.
    pub(super) fn send_zone_report(
        &mut self,
        now: Micros,
        report: OutgoingZoneReport,
        out: &mut Vec<Output>,
    ) {
        let leader = self.leader();
        let Some(failover) = &mut self.failover else { return };
        failover.set_engine_counts(report.engines_per_zone);
        let settings = &self.shared.settings;
        match leader {
            Some(leader) if *leader.0 == *settings.name => {
                failover.receive_report(now, &settings.name, &settings.core.zone, &report.encoded);
            }
            Some(leader) => {
                let topic = MessageTopic::ZoneReport.topic();
                self.link.membership.send_direct(&leader, topic, report.encoded, out);
            }
            None => {}
        }
    }

    /// Receives a node's zone report.
    pub(super) fn receive_zone_report(&mut self, from: &PeerName, bytes: &[u8]) {
        let Some(member) = self.link.membership.member(from) else { return };
        if let Some(failover) = &mut self.failover {
            failover.receive_report(self.shared.clock.now(), &from.0, member.zone(), bytes);
        }
    }

    /// Makes and gossips the next failover plan, if it is due and this node is the leader.
    pub(super) fn publish_failover_plan(&mut self, now: Micros) {
        let Some(failover) = &mut self.failover else { return };
        let Some(plan) = failover.next_plan(now, self.shared, &self.link.membership) else { return };
        self.shared.send_input(Input::FailoverPlan(plan.clone()));
        if let Err(error) = self.link.membership.publish(FactTopic::FailoverPlan.topic(), plan) {
            debug!(reason = %error, "failover plan not published");
        }
    }

    /// Receives a plan, and passes it to the host if it supersedes the latest one.
    pub(super) fn receive_failover_plan(&mut self, origin: &PeerName) {
        let fact = self.link.membership.fact(origin, FactTopic::FailoverPlan.topic());
        let (Some(fact), Some(failover)) = (fact, &mut self.failover) else { return };
        if failover.receive_plan(&fact.payload) {
            self.shared.send_input(Input::FailoverPlan(fact.payload.clone()));
        }
    }
}
