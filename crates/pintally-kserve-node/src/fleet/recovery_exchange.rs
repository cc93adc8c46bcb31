//! Recovery queries and answers between peers.

use std::collections::BTreeMap;

use pintally_host::Input;
use pintally_membership::{Member, Output, PeerName};
use pintally_recovery::{self as recovery, Answer, Stage};

use super::outlier_reports::observer;
use super::topics::{MessageTopic, RecordKey};
use super::FleetThread;
use crate::sync::lock;

/// The numbers that identify peers in recovery.
#[derive(Default)]
pub(super) struct PeerNumbers {
    numbers: BTreeMap<PeerName, u64>,
    names: Vec<PeerName>,
}

impl PeerNumbers {
    /// Returns the number of a peer, assigning one at first use. It never changes.
    fn number(&mut self, name: &PeerName) -> u64 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u64;
        self.names.push(name.clone());
        self.numbers.insert(name.clone(), number);
        number
    }

    fn name(&self, number: u64) -> Option<&PeerName> {
        self.names.get(number as usize)
    }
}

impl FleetThread<'_> {
    /// Sends a recovery query to a peer.
    pub(super) fn query_peer(&mut self, number: u64, out: &mut Vec<Output>) {
        let Some(name) = self.peer_numbers.name(number) else { return };
        let topic = MessageTopic::RecoveryQuery.topic();
        self.link.membership.send_direct(name, topic, Vec::new(), out);
    }

    /// Answers a peer's recovery query. This node answers in every stage of its own recovery.
    pub(super) fn answer_recovery_query(&mut self, from: &PeerName) {
        let Some(answer) = lock(&self.shared.fleet.recovery_answer).clone() else { return };
        let list = self.own_list().map(|list| (list.version, list.checksum));
        if let Ok(bytes) = serde_json::to_vec(&Answer { list, ..answer }) {
            let mut out = Vec::new();
            let topic = MessageTopic::RecoveryAnswer.topic();
            self.link.membership.send_direct(from, topic, bytes, &mut out);
            self.carry_out(out);
        }
    }

    /// Passes a peer's recovery answer to the host.
    pub(super) fn receive_recovery_answer(&mut self, from: &PeerName, bytes: &[u8]) {
        let number = self.peer_numbers.number(from);
        let Ok(answer) = serde_json::from_slice::<Answer>(bytes) else { return };
        let own_list = self.own_list().map(|list| (list.version, list.checksum));
        // A serving peer uses the same list: this node need not wait for it to be confirmed by its source.
        if answer.stage == Stage::Serving && answer.list.is_some() && answer.list == own_list {
            self.shared.send_input(Input::EndpointListConfirmed);
        }
        self.shared.send_input(Input::Recovery(recovery::Input::PeerAnswered(number, answer)));
    }

    /// Stores the addresses of the live members and notifies the host, after their set has changed.
    pub(super) fn update_live_members(&mut self) {
        let membership = &self.link.membership;
        let alive: Vec<&Member> = membership.members().filter(|member| member.is_alive()).collect();
        let addresses: Vec<String> =
            alive.iter().map(|member| membership.peer_address(member).to_string()).collect();
        self.shared.fleet.store_record(RecordKey::PeerAddresses, addresses.join("\n").into_bytes());
        if self.shared.settings.outlier_detection.is_some() {
            let observers = alive.iter().map(|member| observer(member)).collect();
            self.shared.send_input(Input::PeersChanged(observers));
        }
        let sharing: Vec<&Member> = alive.iter().copied().filter(|m| self.shares_engines_with(m)).collect();
        let nodes = sharing.len() + 1;
        let queried = if sharing.is_empty() { alive } else { sharing };
        let queried: Vec<PeerName> = queried.into_iter().map(|member| member.name().clone()).collect();
        let numbers = queried.iter().map(|name| self.peer_numbers.number(name)).collect();
        self.shared.send_input(Input::Recovery(recovery::Input::PeersChanged(nodes, numbers)));
    }

    /// Whether a peer sends to the same engines as this node. With failover each zone has its own routing
    /// core, so that only peers in this node's zone do.
    pub(super) fn shares_engines_with(&self, member: &Member) -> bool {
        self.failover.is_none() || *member.zone() == *self.shared.settings.core.zone
    }
}
