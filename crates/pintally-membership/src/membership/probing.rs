//! Probes: direct probes, indirect probes through relays, and probes relayed for other nodes.

use std::net::SocketAddr;

use rand::seq::SliceRandom;

use super::Membership;
use crate::event::Output;
use crate::identity::PeerName;
use crate::member_table::{Member, MemberState, MemberUpdate};
use crate::packet::{hash_accuser, Message};
use crate::Micros;

/// Greatest number of relayed probes in flight. Further requests are ignored, so that peers cannot exhaust
/// this node's memory.
const MAX_RELAYED_PROBES: usize = 256;
/// Protocol periods between two pings of seeds that are not known to be alive, while other peers are alive.
const SEED_PING_PERIODS: u64 = 4;
/// Greatest number of seeds that are pinged at once.
const MAX_SEED_PINGS: usize = 3;

/// This node's own probe of a peer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    target: PeerName,
    sequence: u32,
    /// When relays are asked for indirect probes, if the target has not acknowledged until then.
    indirect_at: Micros,
    /// When the probe fails.
    deadline: Micros,
    /// Relays that were asked; 0 until the probe becomes indirect.
    relays_asked: usize,
    /// Relays that reported that they have no acknowledgement yet.
    nacks: usize,
}

impl Probe {
    fn is_indirect(&self) -> bool {
        self.relays_asked != 0
    }

    pub(super) fn next_deadline(&self) -> Micros {
        if self.is_indirect() {
            self.deadline
        } else {
            self.indirect_at.min(self.deadline)
        }
    }
}

/// A probe on behalf of another node.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    requester: SocketAddr,
    /// The requester's sequence number.
    requester_sequence: u32,
    /// When a nack is sent to the requester.
    pub(super) nack_at: Micros,
}

impl Membership {
    pub(super) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Addresses of random eligible peers, at most `limit`.
    pub(super) fn random_peers(
        &mut self,
        limit: usize,
        is_eligible: impl Fn(&Member) -> bool,
    ) -> Vec<SocketAddr> {
        let eligible = self.members.iter().filter(|member| is_eligible(member));
        let mut addresses: Vec<SocketAddr> = eligible.map(|member| self.peer_address(member)).collect();
        addresses.shuffle(&mut self.rng);
        addresses.truncate(limit);
        addresses
    }

    /// Pings seeds that are not known to be alive: in each protocol period while no peer is alive, otherwise
    /// once in [`SEED_PING_PERIODS`], since a partition may have left this node only a part of the fleet.
    pub(super) fn ping_seeds(&mut self, outputs: &mut Vec<Output>) {
        let is_alone = self.members.alive_count() == 0;
        if !is_alone && !self.protocol_periods.is_multiple_of(SEED_PING_PERIODS) {
            return;
        }
        let live: Vec<SocketAddr> = self.members.alive().map(|member| self.peer_address(member)).collect();
        let mut seeds = self.settings.seeds.clone();
        // Guards against a fleet that stays split after a partition: members that were declared dead are
        // pinged like seeds.
        let dead = self.members.iter().filter(|member| member.state() == MemberState::Dead);
        seeds.extend(dead.map(|member| self.peer_address(member)));
        seeds.retain(|seed| *seed != self.own.address && !live.contains(seed));
        seeds.sort_unstable();
        seeds.dedup();
        seeds.shuffle(&mut self.rng);
        for seed in seeds.into_iter().take(MAX_SEED_PINGS) {
            let sequence = self.next_sequence();
            self.send(seed, Message::Ping { sequence, target: None }, outputs);
        }
    }

    /// Probes the next live peer of the round. After the last peer a new round starts in another order.
    pub(super) fn start_probe(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        if self.probe.is_some() {
            return;
        }
        let target = self.next_probe_target().or_else(|| {
            self.start_probe_round();
            self.next_probe_target()
        });
        if let Some(target) = target {
            self.send_probe(now, target, outputs);
        }
    }

    fn start_probe_round(&mut self) {
        self.probe_round = self.members.alive().map(|member| member.name().clone()).collect();
        self.probe_round.shuffle(&mut self.rng);
    }

    fn next_probe_target(&mut self) -> Option<PeerName> {
        while let Some(name) = self.probe_round.pop() {
            if self.members.get(&name).is_some_and(Member::is_alive) {
                return Some(name);
            }
        }
        None
    }

    fn send_probe(&mut self, now: Micros, target: PeerName, outputs: &mut Vec<Output>) {
        let Some(address) = self.members.get(&target).map(|member| self.peer_address(member)) else { return };
        let sequence = self.next_sequence();
        self.counters.probes += 1;
        self.probe = Some(Probe {
            target: target.clone(),
            sequence,
            indirect_at: now + self.health.scale(self.settings.probe_timeout),
            deadline: now + self.health.scale(self.settings.probe_interval),
            relays_asked: 0,
            nacks: 0,
        });
        self.send(address, Message::Ping { sequence, target: Some(target) }, outputs);
    }

    /// Requests indirect probes once the probe timeout has passed, and fails the probe at its deadline.
    pub(super) fn advance_probe(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        let Some(mut probe) = self.probe.take() else { return };
        if now >= probe.deadline {
            return self.fail_probe(now, &probe, outputs);
        }
        if !probe.is_indirect() && now >= probe.indirect_at {
            self.request_indirect_probes(&mut probe, outputs);
        }
        self.probe = Some(probe);
    }

    fn request_indirect_probes(&mut self, probe: &mut Probe, outputs: &mut Vec<Output>) {
        let is_relay = |member: &Member| member.is_alive() && *member.name() != probe.target;
        let relays = self.random_peers(self.settings.indirect_probes, is_relay);
        probe.relays_asked = relays.len().max(1);
        let Some(address) = self.members.get(&probe.target).map(Member::address) else { return };
        for relay in relays {
            let target = probe.target.clone();
            let request = Message::PingRequest { sequence: probe.sequence, target, address };
            self.send(relay, request, outputs);
        }
    }

    /// Ends a probe that was not acknowledged, neither directly nor through a relay: the target becomes a
    /// suspect.
    fn fail_probe(&mut self, now: Micros, probe: &Probe, outputs: &mut Vec<Output>) {
        self.counters.unanswered += 1;
        // Guards against blaming the target for a fault of this node's own links: a relay from which not even
        // a nack arrives is evidence that this node is unhealthy.
        if probe.nacks < probe.relays_asked {
            self.health.degrade(1);
        }
        let Some(member) = self.members.get(&probe.target).filter(|member| member.is_alive()) else {
            return;
        };
        let update = MemberUpdate {
            state: MemberState::Suspect,
            accuser: hash_accuser(&self.own.name),
            ..member.update.clone()
        };
        self.suspect(now, update, outputs);
    }

    pub(super) fn handle_ack(&mut self, sequence: u32, outputs: &mut Vec<Output>) {
        if self.probe.as_ref().is_some_and(|probe| probe.sequence == sequence) {
            self.probe = None;
            self.health.improve();
        }
        if let Some(relayed) = self.relayed_probes.remove(&sequence) {
            let ack = Message::Ack { sequence: relayed.requester_sequence };
            self.send(relayed.requester, ack, outputs);
        }
    }

    pub(super) fn handle_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.nacks += 1;
        }
    }

    /// Pings a target on behalf of a requester.
    pub(super) fn relay_ping(
        &mut self,
        now: Micros,
        requester: SocketAddr,
        requester_sequence: u32,
        target: PeerName,
        advertised_address: SocketAddr,
        outputs: &mut Vec<Output>,
    ) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let sequence = self.next_sequence();
        let address =
            self.members.get(&target).map_or(advertised_address, |member| self.peer_address(member));
        let nack_at = now + self.settings.probe_timeout;
        self.relayed_probes.insert(sequence, RelayedProbe { requester, requester_sequence, nack_at });
        self.send(address, Message::Ping { sequence, target: Some(target) }, outputs);
    }

    /// Sends a nack to the requesters whose targets have not acknowledged in time.
    pub(super) fn send_due_nacks(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        let is_due = |relayed: &RelayedProbe| relayed.nack_at <= now;
        let due: Vec<u32> =
            self.relayed_probes.iter().filter(|(_, r)| is_due(r)).map(|(sequence, _)| *sequence).collect();
        for sequence in due {
            let Some(relayed) = self.relayed_probes.remove(&sequence) else { continue };
            let nack = Message::Nack { sequence: relayed.requester_sequence };
            self.send(relayed.requester, nack, outputs);
        }
    }
}
