//! The fleet thread: membership, gossip and messages between nodes.
//!
//! No other thread waits for it. The decision thread sends to it over bounded channels without blocking, and
//! receives its inputs as messages.

mod endpoint_list;
mod link;
mod operator_commands;
mod outlier_reports;
mod quota_exchange;
mod recovery_exchange;
mod reservations;
mod served_rates;
mod shared_state;
mod startup;
#[cfg(test)]
mod tests;
mod topics;
mod zone_reports;

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use pintally::interface::Micros;
use pintally_consensus::ReplicaName;
use pintally_host::Input;
use pintally_membership::{MembershipEvent, Output, PeerName, Topic};
use pintally_quota::LeaseRequest;
use pintally_transport::ReceiveEvent;
use tracing::{debug, info, warn};

use crate::failover_leader::FailoverLeader;
use crate::replica_thread::{ReplicaInput, ReplicaOutput};
use crate::shared::{OutgoingZoneReport, Shared};

use self::recovery_exchange::PeerNumbers;
use self::reservations::ReplicatedReservations;
use self::served_rates::ServedRates;
use self::topics::{FactTopic, MessageTopic, RecordKey};

pub(crate) use self::link::{open, FleetLink};
pub(crate) use self::shared_state::FleetShared;
pub(crate) use self::startup::{
    injected_fault, new_recovery, restore_late_state, restore_state, start_without_peers, RestoredState,
    MAX_STORED_RESERVATIONS,
};

/// Maximum time that one iteration of the thread waits for datagrams, so that other threads' messages are
/// sent in time.
const MAX_RECEIVE_WAIT: Duration = Duration::from_millis(20);

/// Maximum number of messages of one kind that wait for the fleet thread. Further ones are dropped and sent
/// again later.
const MAX_WAITING_MESSAGES: usize = 64;

/// The decision thread's senders of messages to the fleet thread.
pub(crate) struct FleetSenders {
    /// Numbers of peers to query for recovery.
    pub(crate) peer_queries: Sender<u64>,
    /// Lease requests for the granter.
    pub(crate) lease_requests: Sender<Vec<LeaseRequest>>,
    /// This node's zone reports.
    pub(crate) zone_reports: Sender<OutgoingZoneReport>,
    /// This node's outlier reports, encoded.
    pub(crate) outlier_reports: Sender<Vec<u8>>,
}

/// The fleet thread's receivers of the decision thread's messages.
pub(crate) struct FleetInputs {
    peer_queries: Receiver<u64>,
    lease_requests: Receiver<Vec<LeaseRequest>>,
    zone_reports: Receiver<OutgoingZoneReport>,
    outlier_reports: Receiver<Vec<u8>>,
}

/// Creates the channels from the decision thread to the fleet thread.
pub(crate) fn channels() -> (FleetSenders, FleetInputs) {
    let (peer_queries, query_receiver) = bounded(MAX_WAITING_MESSAGES);
    let (lease_requests, lease_receiver) = bounded(MAX_WAITING_MESSAGES);
    let (zone_reports, zone_receiver) = bounded(MAX_WAITING_MESSAGES);
    let (outlier_reports, outlier_receiver) = bounded(MAX_WAITING_MESSAGES);
    let senders = FleetSenders { peer_queries, lease_requests, zone_reports, outlier_reports };
    let inputs = FleetInputs {
        peer_queries: query_receiver,
        lease_requests: lease_receiver,
        zone_reports: zone_receiver,
        outlier_reports: outlier_receiver,
    };
    (senders, inputs)
}

/// The state of the fleet thread.
struct FleetThread<'a> {
    shared: &'a Arc<Shared>,
    link: FleetLink,
    /// Output of this node's replica, if it runs one.
    replica_outputs: Option<Receiver<ReplicaOutput>>,
    /// Makes the watcher reload the endpoint list at once.
    reload_list: Sender<()>,
    failover: Option<FailoverLeader>,
    peer_numbers: PeerNumbers,
    rates: ServedRates,
    reservations: Option<ReplicatedReservations>,
}

/// Runs until the node ends.
pub(crate) fn run(
    shared: &Arc<Shared>,
    link: FleetLink,
    inputs: &FleetInputs,
    replica_outputs: Option<Receiver<ReplicaOutput>>,
    reload_list: Sender<()>,
) {
    let loaded = pintally_recovery::Input::StateLoaded(link.remembered.clone());
    shared.send_input(Input::Recovery(loaded));
    let rates = ServedRates::new(shared.clock.now(), link.remembered.fleet_rate);
    let mut thread = FleetThread {
        shared,
        link,
        replica_outputs,
        reload_list,
        failover: shared.settings.failover.as_ref().map(FailoverLeader::new),
        peer_numbers: PeerNumbers::default(),
        rates,
        reservations: shared.settings.recovery.as_ref().and_then(ReplicatedReservations::new),
    };
    let mut shutting_down = false;
    while !shared.is_dead() && !shutting_down {
        shutting_down = shared.is_closing();
        thread.run_iteration(inputs);
    }
    if shutting_down && !shared.is_dead() {
        thread.leave();
    }
}

impl FleetThread<'_> {
    /// Sends what is due, then receives one datagram or waits for it up to [`MAX_RECEIVE_WAIT`].
    fn run_iteration(&mut self, inputs: &FleetInputs) {
        let now = self.shared.clock.now();
        let mut out = Vec::new();
        if self.link.membership.next_wake() <= now {
            self.link.membership.tick(now, &mut out);
        }
        self.handle_inputs(now, inputs, &mut out);
        self.carry_out(out);
        self.measure_and_store(now);
        self.receive_datagram();
    }

    fn handle_inputs(&mut self, now: Micros, inputs: &FleetInputs, out: &mut Vec<Output>) {
        for number in inputs.peer_queries.try_iter() {
            self.query_peer(number, out);
        }
        while let Some(output) = self.next_replica_output() {
            self.handle_replica_output(output, out);
        }
        for report in inputs.outlier_reports.try_iter() {
            self.publish_outlier_report(report);
        }
        for report in inputs.zone_reports.try_iter() {
            self.send_zone_report(now, report, out);
        }
        self.publish_failover_plan(now);
        self.publish_cleared_engines(now);
        for requests in inputs.lease_requests.try_iter() {
            self.request_leases(&requests, out);
        }
        self.replicate_reservations(now, out);
    }

    fn receive_datagram(&mut self) {
        let wake = self.shared.clock.instant(self.link.membership.next_wake());
        let until = wake.min(Instant::now() + MAX_RECEIVE_WAIT);
        match self.link.udp.receive(until) {
            // The waker of another thread of this node: it has a message to send.
            Ok(ReceiveEvent::Datagram(_, bytes)) if bytes.is_empty() => {}
            Ok(ReceiveEvent::Datagram(from, bytes)) => {
                let mut out = Vec::new();
                self.link.membership.receive(self.shared.clock.now(), from, &bytes, &mut out);
                self.carry_out(out);
            }
            Ok(ReceiveEvent::TimedOut) => {}
            Err(error) => self.receive_failed(&error),
        }
    }

    /// Pauses after an error, so that the thread does not use a whole processor while the socket fails.
    fn receive_failed(&self, error: &io::Error) {
        warn!(%error, "receive from peers failed");
        std::thread::sleep(MAX_RECEIVE_WAIT);
    }

    /// Sends datagrams and handles events.
    fn carry_out(&mut self, out: Vec<Output>) {
        let mut members_changed = false;
        for output in out {
            match output {
                Output::Datagram(to, bytes) => {
                    self.link.udp.send(to, &bytes);
                }
                Output::Event(event) => {
                    members_changed |= changes_live_members(&event);
                    self.handle_event(event);
                }
            }
        }
        if members_changed {
            self.update_live_members();
        }
    }

    fn handle_event(&mut self, event: MembershipEvent) {
        match event {
            MembershipEvent::MemberUp(name, incarnation) => {
                info!(peer = %name, boot = incarnation.boot, "peer alive");
                self.with_backup(|backup, _| backup.node_up(&name.0, incarnation.nonce));
            }
            MembershipEvent::MemberDown(name) => {
                info!(peer = %name, "peer dead");
                self.with_backup(|backup, now| backup.node_down(now, &name.0));
            }
            MembershipEvent::MemberLeft(name) => {
                info!(peer = %name, "peer left");
                self.with_backup(|backup, _| backup.node_left(&name.0));
            }
            MembershipEvent::MemberSuspected(name) => debug!(peer = %name, "peer suspected"),
            MembershipEvent::FactReceived(origin, topic) => self.handle_fact(&origin, topic),
            MembershipEvent::DirectMessage(from, topic, bytes) => self.handle_message(&from, topic, bytes),
            MembershipEvent::StoredIncarnationOutdated { previous_boot, new_boot } => {
                warn!(
                    stored = previous_boot,
                    known_to_peers = new_boot,
                    "stored incarnation is outdated: store lost or restored"
                );
                self.shared.fleet.store_record(RecordKey::Boot, new_boot.to_le_bytes().to_vec());
            }
            MembershipEvent::NameYielded => {
                warn!("another process runs under this node's name: this one sends nothing to peers");
            }
            MembershipEvent::PauseDetected(span) => warn!(paused_ms = span / 1000, "process was paused"),
        }
    }

    fn handle_fact(&mut self, origin: &PeerName, topic: Topic) {
        match FactTopic::from_topic(topic) {
            Some(FactTopic::EndpointList) => self.fetch_newer_list(origin),
            Some(FactTopic::OutlierReport) => self.receive_outlier_report(origin),
            Some(FactTopic::FailoverPlan) => self.receive_failover_plan(origin),
            Some(FactTopic::EngineCleared) => self.receive_cleared_engine(origin),
            // Read from membership when they are needed.
            Some(FactTopic::ServedRate | FactTopic::Leadership) | None => {}
        }
    }

    fn handle_message(&mut self, from: &PeerName, topic: Topic, bytes: Vec<u8>) {
        match MessageTopic::from_topic(topic) {
            Some(MessageTopic::RecoveryQuery) => self.answer_recovery_query(from),
            Some(MessageTopic::RecoveryAnswer) => self.receive_recovery_answer(from, &bytes),
            Some(MessageTopic::Reservations) => {
                self.with_backup(|backup, now| backup.receive_reservations(now, &from.0, &bytes));
            }
            Some(MessageTopic::Consensus) => {
                let from = ReplicaName(from.0.clone());
                self.to_replica(ReplicaInput::Message { from, bytes });
            }
            Some(MessageTopic::LeaseRequests) => self.receive_lease_requests(from, &bytes),
            Some(MessageTopic::LeaseGrants) => self.receive_grants(&bytes),
            Some(MessageTopic::ZoneReport) => self.receive_zone_report(from, &bytes),
            None => {}
        }
    }

    /// Sends input to this node's replica; it is dropped, like a lost datagram, if the channel is full.
    fn to_replica(&self, input: ReplicaInput) {
        if let Some(replica) = &self.link.replica {
            let _ = replica.try_send(input);
        }
    }

    fn next_replica_output(&self) -> Option<ReplicaOutput> {
        self.replica_outputs.as_ref()?.try_recv().ok()
    }

    fn handle_replica_output(&mut self, output: ReplicaOutput, out: &mut Vec<Output>) {
        match output {
            ReplicaOutput::Message { to, bytes } => {
                let topic = MessageTopic::Consensus.topic();
                self.link.membership.send_direct(&PeerName(to.0.clone()), topic, bytes, out);
            }
            ReplicaOutput::Grants { holder, grants } => self.send_grants(&holder, grants, out),
            ReplicaOutput::LeadershipChanged { term } => self.publish_leadership(term),
        }
    }

    /// Gossips the term in which this node's replica is the leader, or that it is not the leader.
    fn publish_leadership(&mut self, term: Option<u64>) {
        if let Some(failover) = &mut self.failover {
            failover.set_leadership(self.shared.clock.now(), term);
        }
        let payload = term.map(|term| term.to_le_bytes().to_vec()).unwrap_or_default();
        if let Err(error) = self.link.membership.publish(FactTopic::Leadership.topic(), payload) {
            debug!(reason = %error, "leadership not published");
        }
    }

    /// Notifies peers that this node shuts down.
    fn leave(&mut self) {
        let mut out = Vec::new();
        self.link.membership.leave(&mut out);
        self.carry_out(out);
    }
}

/// Whether an event changes the set of live members.
fn changes_live_members(event: &MembershipEvent) -> bool {
    matches!(
        event,
        MembershipEvent::MemberUp(..) | MembershipEvent::MemberDown(_) | MembershipEvent::MemberLeft(_)
    )
}
