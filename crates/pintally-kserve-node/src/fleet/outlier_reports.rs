//! Exchange of outlier reports, and of engines whose ejection operators have cleared.

use pintally::interface::Micros;
use pintally_host::Input;
use pintally_membership::{Member, PeerName};
use pintally_outlier_detection::{Node, OutlierReport};
use tracing::debug;

use super::topics::FactTopic;
use super::FleetThread;
use crate::sync::lock;

/// Length of the time that precedes the engine's name in a fact about a cleared engine.
const CLEARED_AT_BYTES: usize = 8;

/// Converts a member to an observer of outlier detection.
pub(super) fn observer(member: &Member) -> Node {
    Node { name: member.name().to_string(), zone: member.zone().to_string() }
}

impl FleetThread<'_> {
    /// Gossips this node's outlier report.
    pub(super) fn publish_outlier_report(&mut self, report: Vec<u8>) {
        if let Err(error) = self.link.membership.publish(FactTopic::OutlierReport.topic(), report) {
            debug!(reason = %error, "outlier report not published");
        }
    }

    /// Passes a node's report and zone to the host; without a report, an empty one.
    pub(super) fn receive_outlier_report(&self, origin: &PeerName) {
        let membership = &self.link.membership;
        let fact = membership.fact(origin, FactTopic::OutlierReport.topic());
        let Some(member) = membership.member(origin) else { return };
        let report =
            fact.map(|fact| fact.payload.clone()).unwrap_or_else(|| OutlierReport::default().encode());
        self.shared.send_input(Input::OutlierReport(observer(member), report));
    }

    /// Notifies the host and all peers of the engines that operators have cleared at this node.
    pub(super) fn publish_cleared_engines(&mut self, now: Micros) {
        let cleared = std::mem::take(&mut *lock(&self.shared.fleet.cleared_engines));
        for engine in cleared {
            self.shared.send_input(Input::EngineCleared(engine.clone()));
            // The time makes each fact distinct, also if the same engine is cleared again.
            let mut payload = now.to_le_bytes().to_vec();
            payload.extend_from_slice(engine.as_bytes());
            let _ = self.link.membership.publish(FactTopic::EngineCleared.topic(), payload);
        }
    }

    /// Notifies the host of an engine that an operator has cleared at a peer.
    pub(super) fn receive_cleared_engine(&self, origin: &PeerName) {
        let fact = self.link.membership.fact(origin, FactTopic::EngineCleared.topic());
        let name = fact.and_then(|fact| fact.payload.get(CLEARED_AT_BYTES..));
        if let Some(engine) = name.and_then(|name| std::str::from_utf8(name).ok()) {
            self.shared.send_input(Input::EngineCleared(engine.to_string()));
        }
    }
}
