//! The node's sockets for its peers, and the membership protocol that runs on them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam_channel::Sender;
use pintally_config::{MembershipSettings, NodeSettings};
use pintally_membership::{Membership, PeerName, Settings};
use pintally_recovery::RememberedState;
use pintally_transport::{DatagramSocket, StreamServer, Waker};

use super::operator_commands::execute_command;
use super::startup::RestoredState;
use super::topics::StreamRequest;
use crate::replica_thread::ReplicaInput;
use crate::shared::Shared;
use crate::sync::lock;

/// The node's connection to the fleet: sockets and membership.
pub(crate) struct FleetLink {
    pub(super) udp: DatagramSocket,
    pub(super) membership: Membership,
    /// Serves stream requests until it is dropped.
    _stream_server: StreamServer,
    /// What the store remembers of the previous process.
    pub(super) remembered: RememberedState,
    /// Sender of input to this node's replica, if it runs one.
    pub(super) replica: Option<Sender<ReplicaInput>>,
}

/// Opens the sockets for peers. `replica` sends input to this node's replica, if it runs one.
///
/// # Errors
///
/// Fails if the address cannot be bound or the membership protocol rejects the settings.
pub(crate) fn open(
    shared: &Arc<Shared>,
    settings: &MembershipSettings,
    restored: &RestoredState,
    seed: u64,
    replica: Option<Sender<ReplicaInput>>,
) -> io::Result<FleetLink> {
    let udp = DatagramSocket::bind(settings.listen)?;
    let stream_server = serve_streams(shared, settings.listen, replica.clone())?;
    let membership_settings = membership_settings(&shared.settings, settings, restored);
    membership_settings
        .check()
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error.to_string()))?;
    let membership = Membership::new(membership_settings, restored.incarnation, seed, shared.clock.now());
    Ok(FleetLink {
        udp,
        membership,
        _stream_server: stream_server,
        remembered: restored.remembered.clone(),
        replica,
    })
}

/// Serves the endpoint list and operators' commands on TCP streams.
fn serve_streams(
    shared: &Arc<Shared>,
    listen: SocketAddr,
    replica: Option<Sender<ReplicaInput>>,
) -> io::Result<StreamServer> {
    let shared = shared.clone();
    StreamServer::serve(listen, move |number, body| match StreamRequest::from_number(number)? {
        StreamRequest::OperatorCommand => {
            serde_json::to_vec(&execute_command(&shared, replica.as_ref(), body)).ok()
        }
        StreamRequest::EndpointList => {
            let list = lock(&shared.fleet.endpoint_list).clone();
            list.map(|list| list.text.as_bytes().to_vec())
        }
    })
}

fn membership_settings(
    node: &NodeSettings,
    settings: &MembershipSettings,
    restored: &RestoredState,
) -> Settings {
    let mut membership =
        Settings::new(&settings.fleet, &node.name, &node.core.zone, settings.listen, settings.seeds.clone());
    membership.seeds.extend(&restored.peer_addresses);
    membership.address_overrides = settings
        .address_overrides
        .iter()
        .map(|(name, address)| (PeerName::from(name.as_str()), *address))
        .collect();
    membership.probe_interval = settings.probe_interval;
    membership.probe_timeout = settings.probe_timeout;
    membership.indirect_probes = settings.indirect_probes;
    membership.suspicion_multiplier = settings.suspicion_multiplier;
    membership.anti_entropy_interval = settings.anti_entropy_interval;
    membership.dead_member_retention = settings.dead_member_retention;
    membership
}

impl FleetLink {
    /// Creates a waker for the fleet thread while it waits for datagrams.
    pub(crate) fn waker(&self) -> io::Result<Waker> {
        self.udp.waker()
    }

    /// The address of this node for peers.
    pub(crate) fn address(&self) -> io::Result<SocketAddr> {
        self.udp.address()
    }
}
