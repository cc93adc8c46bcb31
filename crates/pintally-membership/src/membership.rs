//! The membership state machine: its state, its queries, and the dispatch of time and packets.

mod anti_entropy;
mod dissemination;
mod incarnation;
mod probing;
mod suspicion;
mod updates;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::event::{MembershipEvent, Output};
use crate::fact::{FactStore, GossipError, GossipFact, Topic, MAX_PAYLOAD_BYTES, MAX_TOPICS_PER_NODE};
use crate::gossip_queue::{GossipItem, GossipQueue};
use crate::identity::{PeerName, ProcessIncarnation};
use crate::local_health::LocalHealth;
use crate::member_table::{Member, MemberState, MemberTable, MemberUpdate};
use crate::packet::{hash_fleet, Message, Packet, PacketError, MAX_DIRECT_MESSAGE_BYTES};
use crate::settings::Settings;
use crate::status::{Counters, PeerStatus, Status};
use crate::Micros;
use incarnation::IncarnationRaises;
use probing::{Probe, RelayedProbe};

/// A tick that comes this many probe intervals late shows that the process was paused.
const PAUSE_THRESHOLD_INTERVALS: u64 = 3;
/// What a pause adds to the local health score.
const PAUSE_HEALTH_PENALTY: u32 = 4;

/// One node's state machine of the membership protocol.
pub struct Membership {
    settings: Settings,
    /// Hash of the fleet's name.
    fleet: u64,
    /// The update on this node that it gossips.
    own: MemberUpdate,
    rng: ChaCha8Rng,
    health: LocalHealth,
    members: MemberTable,
    facts: FactStore,
    gossip: GossipQueue,
    /// Peers that are still to be probed in this round. The next one is the last of the list.
    probe_round: Vec<PeerName>,
    probe: Option<Probe>,
    /// Probes on behalf of others, by the sequence number of this node's ping.
    relayed_probes: BTreeMap<u32, RelayedProbe>,
    /// The sequence number that was used last.
    sequence: u32,
    next_probe: Micros,
    next_anti_entropy: Micros,
    last_tick: Micros,
    protocol_periods: u64,
    raises: IncarnationRaises,
    has_stopped: bool,
    /// The payloads that this process has published. They are published again when its process incarnation
    /// changes.
    published: BTreeMap<Topic, Vec<u8>>,
    fact_version: u64,
    counters: Counters,
}

impl Membership {
    /// Creates a node that knows its seeds and no peer. `incarnation` holds the boot number that is counted
    /// on the node's disk; `seed` is the seed of all random choices.
    pub fn new(settings: Settings, incarnation: ProcessIncarnation, seed: u64, now: Micros) -> Membership {
        let own = MemberUpdate {
            name: settings.name.clone(),
            process_incarnation: incarnation,
            incarnation: 0,
            state: MemberState::Alive,
            accuser: 0,
            address: settings.address,
            zone: settings.zone.as_str().into(),
        };
        let mut gossip = GossipQueue::default();
        gossip.push(GossipItem::Member(own.name.clone()));
        Membership {
            fleet: hash_fleet(&settings.fleet),
            own,
            rng: ChaCha8Rng::seed_from_u64(seed),
            health: LocalHealth::default(),
            members: MemberTable::default(),
            facts: FactStore::default(),
            gossip,
            probe_round: Vec::new(),
            probe: None,
            relayed_probes: BTreeMap::new(),
            sequence: 0,
            next_probe: now,
            next_anti_entropy: now + settings.anti_entropy_interval,
            last_tick: now,
            protocol_periods: 0,
            raises: IncarnationRaises::new(now),
            has_stopped: false,
            published: BTreeMap::new(),
            fact_version: 0,
            counters: Counters::default(),
            settings,
        }
    }

    /// The peers, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// A peer by its name.
    pub fn member(&self, name: &PeerName) -> Option<&Member> {
        self.members.get(name)
    }

    /// Number of nodes that are alive or only suspected, this one included.
    pub fn alive_count(&self) -> usize {
        self.members.alive_count() + 1
    }

    /// This node's own process incarnation.
    pub fn incarnation(&self) -> ProcessIncarnation {
        self.own.process_incarnation
    }

    /// The address that this node advertises.
    pub fn address(&self) -> SocketAddr {
        self.own.address
    }

    /// Whether this process has stopped: it yielded its name to another process, or it has left the fleet.
    pub fn has_stopped(&self) -> bool {
        self.has_stopped
    }

    /// All facts on a topic, without those that were withdrawn.
    pub fn facts(&self, topic: Topic) -> impl Iterator<Item = &GossipFact> {
        self.facts.iter().filter(move |fact| fact.topic == topic && !fact.payload.is_empty())
    }

    /// A peer's fact on a topic, unless it was withdrawn.
    pub fn fact(&self, origin: &PeerName, topic: Topic) -> Option<&GossipFact> {
        self.facts.get(&(origin.clone(), topic)).filter(|fact| !fact.payload.is_empty())
    }

    /// The live node, this one included, that has published the highest number on a topic. Numbers are
    /// eight bytes in little-endian order; any other payload counts as 0.
    pub fn node_with_highest_number(&self, topic: Topic) -> Option<&PeerName> {
        let is_live = |fact: &&GossipFact| {
            fact.origin == self.own.name || self.members.get(&fact.origin).is_some_and(Member::is_alive)
        };
        let number =
            |fact: &&GossipFact| <[u8; 8]>::try_from(fact.payload.as_slice()).map_or(0, u64::from_le_bytes);
        self.facts(topic).filter(is_live).max_by_key(number).map(|fact| &fact.origin)
    }

    /// Lifeguard's local health score, 0 (healthy) to 8.
    pub fn local_health_score(&self) -> u32 {
        self.health.score()
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The status document.
    pub fn status(&self, now: Micros) -> Status {
        Status {
            name: self.own.name.to_string(),
            boot: self.own.process_incarnation.boot,
            local_health_score: self.health.score(),
            has_stopped: self.has_stopped,
            peers: self.members.iter().map(|member| PeerStatus::new(member, now)).collect(),
            facts: self.facts.len(),
            queued_gossip: self.gossip.len(),
            counters: self.counters,
        }
    }

    /// The address to which this node sends packets for a peer.
    pub fn peer_address(&self, member: &Member) -> SocketAddr {
        self.settings.address_overrides.get(member.name()).copied().unwrap_or(member.address())
    }

    /// Sends a message to one peer, once; it may be lost. Returns whether it was sent: the peer is alive,
    /// the payload fits, and this node has not stopped.
    pub fn send_direct(
        &mut self,
        peer: &PeerName,
        topic: Topic,
        payload: Vec<u8>,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(member) = self.members.get(peer).filter(|member| member.is_alive()) else {
            return false;
        };
        if payload.len() > MAX_DIRECT_MESSAGE_BYTES || self.has_stopped {
            return false;
        }
        let address = self.peer_address(member);
        self.send(address, Message::Direct { topic, payload }, outputs);
        true
    }

    /// Publishes a fact on a topic; an empty payload withdraws it.
    ///
    /// # Errors
    ///
    /// [`GossipError`] if the payload is too large, or the node publishes on too many topics.
    pub fn publish(&mut self, topic: Topic, payload: Vec<u8>) -> Result<(), GossipError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(GossipError::PayloadTooLarge);
        }
        let key = (self.own.name.clone(), topic);
        let known = self.facts.get(&key);
        let is_current = known.is_some_and(|f| f.process_incarnation == self.own.process_incarnation);
        if is_current && self.published.get(&topic) == Some(&payload) {
            return Ok(());
        }
        if known.is_none() && self.facts.topic_count(&key.0) >= MAX_TOPICS_PER_NODE {
            return Err(GossipError::TooManyTopics);
        }
        self.published.insert(topic, payload.clone());
        self.publish_version(topic, payload);
        Ok(())
    }

    /// Stores and gossips a new version of one of this node's facts.
    fn publish_version(&mut self, topic: Topic, payload: Vec<u8>) {
        self.fact_version += 1;
        let origin = self.own.name.clone();
        let fact = GossipFact {
            origin: origin.clone(),
            topic,
            process_incarnation: self.own.process_incarnation,
            version: self.fact_version,
            payload,
        };
        if self.facts.insert_if_newer(fact) {
            self.gossip.push(GossipItem::Fact(origin, topic));
        }
    }

    /// Announces to all live peers that this node leaves the fleet. Nothing is sent afterwards.
    pub fn leave(&mut self, outputs: &mut Vec<Output>) {
        self.own.state = MemberState::Left;
        let addresses: Vec<SocketAddr> =
            self.members.alive().map(|member| self.peer_address(member)).collect();
        for address in addresses {
            self.send(address, Message::Leave, outputs);
        }
        self.has_stopped = true;
    }

    /// The next time at which [`Membership::tick`] has work to do.
    pub fn next_wake(&self) -> Micros {
        let probe = self.probe.as_ref().map(Probe::next_deadline);
        let relayed = self.relayed_probes.values().map(|relayed| relayed.nack_at).min();
        let suspicion = self.members.suspects().map(|member| member.suspicion_deadline).min();
        [probe, relayed, suspicion]
            .into_iter()
            .flatten()
            .fold(self.next_probe.min(self.next_anti_entropy), Micros::min)
    }

    /// Does all work that is due.
    pub fn tick(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        if self.has_stopped {
            return self.stop_timers();
        }
        self.detect_pause(now, outputs);
        self.last_tick = now;
        self.send_due_nacks(now, outputs);
        self.advance_probe(now, outputs);
        self.expire_suspicions(now, outputs);
        if now >= self.next_probe {
            self.next_probe = now + self.health.scale(self.settings.probe_interval);
            self.protocol_periods += 1;
            self.ping_seeds(outputs);
            self.start_probe(now, outputs);
        }
        if now >= self.next_anti_entropy {
            self.next_anti_entropy = now + self.settings.anti_entropy_interval;
            self.start_anti_entropy(outputs);
            self.forget_dead_members(now);
        }
    }

    fn stop_timers(&mut self) {
        self.next_probe = Micros::MAX;
        self.next_anti_entropy = Micros::MAX;
        self.probe = None;
        self.relayed_probes.clear();
    }

    /// Guards against a process that resumes after a pause and declares all peers dead because their answers
    /// are late. Probes that were in progress during the pause are dropped, and suspects get the full
    /// suspicion timeout again.
    fn detect_pause(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        let expected_at = self.next_wake().max(self.last_tick);
        let pause = now.saturating_sub(expected_at);
        if pause < PAUSE_THRESHOLD_INTERVALS * self.settings.probe_interval {
            return;
        }
        self.counters.paused += 1;
        self.health.degrade(PAUSE_HEALTH_PENALTY);
        self.probe = None;
        self.relayed_probes.clear();
        self.extend_suspicions(now);
        outputs.push(Output::Event(MembershipEvent::PauseDetected(pause)));
    }

    /// Removes members that died or left longer ago than the retention time.
    fn forget_dead_members(&mut self, now: Micros) {
        let before = now.saturating_sub(self.settings.dead_member_retention);
        for name in self.members.remove_inactive_before(before) {
            self.facts.remove_origin(&name);
            self.gossip.remove(&GossipItem::Member(name));
        }
    }

    /// Handles a datagram from an address.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, datagram: &[u8], outputs: &mut Vec<Output>) {
        let packet = match Packet::decode(datagram, self.fleet) {
            Ok(packet) => packet,
            Err(PacketError::Malformed) => return self.counters.malformed += 1,
            Err(PacketError::Foreign) => return self.counters.foreign += 1,
        };
        if self.has_stopped {
            return;
        }
        self.counters.packets_received += 1;
        let sender =
            Sender { name: packet.from, process_incarnation: packet.process_incarnation, address: from };
        let was_known = sender.name == self.own.name || self.members.get(&sender.name).is_some();
        for update in packet.updates {
            self.apply_update(now, update, outputs);
        }
        let is_repair = matches!(packet.message, Message::Gossip);
        for fact in packet.facts {
            self.apply_fact(now, fact, is_repair, outputs);
        }
        if let Some(newer) = self.newer_process_of(&sender) {
            return self.send_gossip(from, vec![newer], Vec::new(), outputs);
        }
        self.handle_message(now, &sender, was_known, packet.message, outputs);
    }

    /// The newer process that a sender must learn of before its message is handled. A sender whose process is
    /// earlier than the known one receives the later one: its disk was restored from an older image, or
    /// another process runs under its name. A sender that uses this node's own name receives this node's
    /// process, so that the two settle which of them yields the name.
    fn newer_process_of(&self, sender: &Sender) -> Option<MemberUpdate> {
        let known = self.members.get(&sender.name);
        if let Some(later) = known.filter(|member| member.incarnation() > sender.process_incarnation) {
            return Some(later.update.clone());
        }
        let is_duplicate =
            sender.name == self.own.name && sender.process_incarnation != self.own.process_incarnation;
        is_duplicate.then(|| self.own.clone())
    }

    fn handle_message(
        &mut self,
        now: Micros,
        sender: &Sender,
        was_known: bool,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        let from = sender.address;
        match message {
            Message::Ping { sequence, target } => {
                if target.is_none_or(|target| target == self.own.name) {
                    self.send(from, Message::Ack { sequence }, outputs);
                }
                // A digest to a new member starts an exchange of all that either node misses.
                if !was_known && self.members.get(&sender.name).is_some() {
                    self.send_digest(from, true, outputs);
                }
            }
            Message::Ack { sequence } => self.handle_ack(sequence, outputs),
            Message::Nack { sequence } => self.handle_nack(sequence),
            Message::PingRequest { sequence, target, address } => {
                self.relay_ping(now, from, sequence, target, address, outputs);
            }
            Message::Digest { part, parts, entries, reply_expected } => {
                let digest = anti_entropy::DigestPart { part, parts, entries };
                self.handle_digest(from, &digest, reply_expected, outputs);
            }
            Message::Gossip => {}
            Message::Direct { topic, payload } => {
                self.handle_direct_message(sender.name.clone(), topic, payload, outputs);
            }
            Message::Leave => self.handle_leave(now, sender, outputs),
        }
    }

    fn handle_direct_message(
        &mut self,
        from: PeerName,
        topic: Topic,
        payload: Vec<u8>,
        outputs: &mut Vec<Output>,
    ) {
        // This limit is lower than that of `send_direct`: a longer payload is counted and dropped.
        if payload.len() > MAX_PAYLOAD_BYTES {
            self.counters.malformed += 1;
            return;
        }
        outputs.push(Output::Event(MembershipEvent::DirectMessage(from, topic, payload)));
    }

    fn handle_leave(&mut self, now: Micros, sender: &Sender, outputs: &mut Vec<Output>) {
        let member = self.members.get(&sender.name);
        let Some(member) = member.filter(|m| m.incarnation() == sender.process_incarnation) else { return };
        let update = MemberUpdate { state: MemberState::Left, ..member.update.clone() };
        self.apply_update(now, update, outputs);
    }
}

/// The sender of a packet.
struct Sender {
    name: PeerName,
    process_incarnation: ProcessIncarnation,
    address: SocketAddr,
}
