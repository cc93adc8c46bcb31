//! Exchange of quota leases with the lease granter and, if this node is the granter, with the holders.

use pintally_host::Input;
use pintally_membership::{Output, PeerName};
use pintally_quota::{LeaseGrant, LeaseRequest, MAX_ENTRIES_PER_MESSAGE};

use super::topics::{FactTopic, MessageTopic};
use super::FleetThread;
use crate::replica_thread::{LeaseHolder, ReplicaInput};
use crate::sync::lock;

impl FleetThread<'_> {
    /// The leader of the replicas in the latest term that this node knows.
    pub(super) fn leader(&self) -> Option<PeerName> {
        self.link.membership.node_with_highest_number(FactTopic::Leadership.topic()).cloned()
    }

    /// Sends lease requests to the granter, split into messages of limited size.
    pub(super) fn request_leases(&mut self, requests: &[LeaseRequest], out: &mut Vec<Output>) {
        let granter = self.leader();
        *lock(&self.shared.fleet.lease_granter) = granter.as_ref().map(ToString::to_string);
        let Some(granter) = granter else { return };
        let nonce = self.link.membership.incarnation().nonce;
        for requests in requests.chunks(MAX_ENTRIES_PER_MESSAGE) {
            if *granter.0 == *self.shared.settings.name {
                let holder = LeaseHolder { name: granter.to_string(), nonce };
                self.to_replica(ReplicaInput::LeaseRequests { holder, requests: requests.to_vec() });
            } else if let Ok(bytes) = postcard::to_stdvec(&(nonce, requests)) {
                let topic = MessageTopic::LeaseRequests.topic();
                self.link.membership.send_direct(&granter, topic, bytes, out);
            }
        }
    }

    /// Passes a holder's lease requests to this node's replica.
    pub(super) fn receive_lease_requests(&self, from: &PeerName, bytes: &[u8]) {
        if let Ok((nonce, requests)) = postcard::from_bytes::<(u64, Vec<LeaseRequest>)>(bytes) {
            let holder = LeaseHolder { name: from.to_string(), nonce };
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
            self.apply_grants(holder.nonce, grants);
        } else if let Ok(bytes) = postcard::to_stdvec(&(holder.nonce, grants)) {
            let peer = PeerName::from(holder.name.as_str());
            self.link.membership.send_direct(&peer, MessageTopic::LeaseGrants.topic(), bytes, out);
        }
    }

    /// Receives grants from the granter.
    pub(super) fn receive_grants(&self, bytes: &[u8]) {
        if let Ok((nonce, grants)) = postcard::from_bytes::<(u64, Vec<LeaseGrant>)>(bytes) {
            self.apply_grants(nonce, grants);
        }
    }

    /// Passes grants to the host if they are for this incarnation. Another process of the same name has its
    /// own leases.
    fn apply_grants(&self, nonce: u64, grants: Vec<LeaseGrant>) {
        if nonce == self.link.membership.incarnation().nonce {
            self.shared.send_input(Input::QuotaGranted(grants));
        }
    }
}
