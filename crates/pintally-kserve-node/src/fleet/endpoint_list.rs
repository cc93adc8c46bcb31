//! Exchange of endpoint lists between peers: each node gossips the version of its list, and fetches newer
//! lists.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::Arc;

use crossbeam_channel::Sender;
use pintally_membership::{GossipFact, PeerName};
use pintally_transport::fetch_document;
use tracing::debug;

use super::topics::{FactTopic, StreamRequest};
use super::FleetThread;
use crate::shared::{spawn_small, Shared};
use crate::sync::lock;

/// Offset basis and prime of the 32-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// Version and checksum of a list. Lists of the same version can differ if the source was edited without a
/// new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ListIdentity {
    pub(super) version: u64,
    pub(super) checksum: u32,
}

impl ListIdentity {
    /// Encodes the identity as a gossip payload of 12 bytes: both numbers little-endian.
    fn encode(self) -> Vec<u8> {
        let mut payload = self.version.to_le_bytes().to_vec();
        payload.extend(self.checksum.to_le_bytes());
        payload
    }

    fn decode(payload: &[u8]) -> Option<ListIdentity> {
        let (version, checksum) = payload.split_first_chunk()?;
        Some(ListIdentity {
            version: u64::from_le_bytes(*version),
            checksum: u32::from_le_bytes(checksum.try_into().ok()?),
        })
    }

    /// Whether this list is to be fetched by a node whose current list is `own`.
    fn needs_fetch(self, own: ListIdentity) -> bool {
        self.version > own.version || self.version == own.version && self.checksum != own.checksum
    }
}

/// The current endpoint list.
#[derive(Clone)]
pub(super) struct EndpointListSnapshot {
    pub(super) identity: ListIdentity,
    pub(super) text: Arc<str>,
}

impl EndpointListSnapshot {
    pub(super) fn new(version: u64, text: &str) -> EndpointListSnapshot {
        let identity = ListIdentity { version, checksum: list_checksum(text) };
        EndpointListSnapshot { identity, text: text.into() }
    }
}

/// The checksum of a list's text: 32-bit FNV-1a.
pub(super) fn list_checksum(text: &str) -> u32 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME))
}

impl FleetThread<'_> {
    /// Version and checksum of the current list.
    pub(super) fn own_list(&self) -> Option<ListIdentity> {
        lock(&self.shared.fleet.endpoint_list).as_ref().map(|list| list.identity)
    }

    /// Gossips the identity of this node's list, and retries fetches that failed when a peer published its
    /// list.
    pub(super) fn exchange_lists(&mut self) {
        if let Some(own) = self.own_list() {
            let _ = self.link.membership.publish(FactTopic::EndpointList.topic(), own.encode());
        }
        let facts = self.link.membership.facts(FactTopic::EndpointList.topic());
        let origins: Vec<PeerName> = facts.map(|fact| fact.origin.clone()).collect();
        origins.iter().for_each(|origin| self.fetch_newer_list(origin));
    }

    /// Fetches a peer's list if it is newer than this node's, or differs from it in the same version.
    pub(super) fn fetch_newer_list(&self, origin: &PeerName) {
        let membership = &self.link.membership;
        let fact: Option<&GossipFact> = membership.fact(origin, FactTopic::EndpointList.topic());
        let Some(published) = fact.and_then(|fact| ListIdentity::decode(&fact.payload)) else { return };
        let Some(peer) = membership.member(origin).filter(|member| member.is_alive()) else { return };
        let wanted = self.own_list().is_none_or(|own| published.needs_fetch(own));
        if !wanted || self.shared.fleet.list_fetch_running.swap(true, Ordering::AcqRel) {
            return;
        }
        let (shared, reload_list) = (self.shared.clone(), self.reload_list.clone());
        let address = membership.peer_address(peer);
        let spawned = spawn_small("fetch", move || {
            fetch_list(&shared, address, &reload_list);
            shared.fleet.list_fetch_running.store(false, Ordering::Release);
        });
        if spawned.is_err() {
            self.shared.fleet.list_fetch_running.store(false, Ordering::Release);
        }
    }
}

/// Fetches a peer's list and offers it to the watcher.
fn fetch_list(shared: &Shared, peer: SocketAddr, reload_list: &Sender<()>) {
    let listen = shared.settings.membership.as_ref().map(|membership| membership.listen.ip());
    let own_address: IpAddr = listen.unwrap_or(Ipv4Addr::UNSPECIFIED.into());
    match fetch_document(own_address, peer, StreamRequest::EndpointList.number()).map(String::from_utf8) {
        Ok(Ok(text)) => {
            *lock(&shared.fleet.offered_list) = Some(text);
            let _ = reload_list.try_send(());
        }
        Ok(Err(error)) => debug!(%peer, %error, "endpoint list of peer is not UTF-8"),
        Err(error) => debug!(%peer, %error, "endpoint list fetch failed"),
    }
}
