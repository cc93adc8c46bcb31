//! Leases of quota between this node, the lease granter and, where this node grants, the holders.

use pintally_host::Input;
use pintally_membership::{Output, PeerName};
use pintally_quota::{LeaseGrant, LeaseRequest, MAX_ENTRIES_PER_MESSAGE};

use super::topics::{FactTopic, MessageTopic};
use super::FleetThread;
use crate::replica_thread::{LeaseHolder, ReplicaInput};
use crate::sync::lock;

impl FleetThread<'_> {
    /// The node that leads the replicas in the latest term that this node knows.
    pub(super) fn leader(&self) -> Option<PeerName> {
        self.link.membership.node_with_highest_number(FactTopic::Leadership.topic()).cloned()
    }

    /// Sends lease requests to the granter, in messages of bounded size.
    pub(super) fn request_leases(&mut self, requests: &[LeaseRequest], out: &mut Vec<Output>) {
        let granter = self.leader();
        *lock(&self.shared.fleet.lease_granter) = granter.as_ref().map(ToString::to_string);
        let Some(granter) = granter else { return };
        let mark = self.link.membership.incarnation().nonce;
        for requests in requests.chunks(MAX_ENTRIES_PER_MESSAGE) {
            if *granter.0 == *self.shared.settings.name {
                let holder = LeaseHolder { name: granter.to_string(), mark };
                self.to_replica(ReplicaInput::LeaseRequests { holder, requests: requests.to_vec() });
            } else if let Ok(bytes) = postcard::to_stdvec(&(mark, requests)) {
                let topic = MessageTopic::LeaseRequests.topic();
                self.link.membership.send_direct(&granter, topic, bytes, out);
            }
        }
    }

    /// A holder requests leases of this node's replica.
    pub(super) fn receive_lease_requests(&self, from: &PeerName, bytes: &[u8]) {
        if let Ok((mark, requests)) = postcard::from_bytes::<(u64, Vec<LeaseRequest>)>(bytes) {
            let holder = LeaseHolder { name: from.to_string(), mark };
            self.to_replica(ReplicaInput::LeaseRequests { holder, requests });
        }
    }

    /// Sends the replica's grants to their holder, which may be this node.
    pub(super) fn send_grants(
        &mut self,
        holder: &LeaseHolder,
        grants: Vec<LeaseGrant>,
        out: &mut Vec<Output>,
    ) {
        if holder.name == self.shared.settings.name {
            self.apply_grants(holder.mark, grants);
        } else if let Ok(bytes) = postcard::to_stdvec(&(holder.mark, grants)) {
            let peer = PeerName::from(holder.name.as_str());
            self.link.membership.send_direct(&peer, MessageTopic::LeaseGrants.topic(), bytes, out);
        }
    }

    /// The granter's grants have arrived.
    pub(super) fn receive_grants(&self, bytes: &[u8]) {
        if let Ok((mark, grants)) = postcard::from_bytes::<(u64, Vec<LeaseGrant>)>(bytes) {
            self.apply_grants(mark, grants);
        }
    }

    /// Grants are for one incarnation: another process of the same name has leases of its own.
    fn apply_grants(&self, mark: u64, grants: Vec<LeaseGrant>) {
        if mark == self.link.membership.incarnation().nonce {
            self.shared.send_input(Input::QuotaGranted(grants));
        }
    }
}
