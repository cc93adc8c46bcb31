//! Dissemination: packets with piggybacked updates, and packets that carry only updates.

use std::net::SocketAddr;

use super::Membership;
use crate::event::Output;
use crate::fact::GossipFact;
use crate::gossip_queue::GossipItem;
use crate::identity::PeerName;
use crate::member_table::{MemberState, MemberUpdate};
use crate::packet::{Message, Packet, MAX_DATAGRAM_BYTES};

/// Estimated bytes of an update without its name and zone.
const UPDATE_OVERHEAD_BYTES: usize = 64;
/// Estimated bytes of a fact without its origin and payload.
const FACT_OVERHEAD_BYTES: usize = 48;
/// Estimated bytes of a gossip packet without updates.
const GOSSIP_OVERHEAD_BYTES: usize = 128;
/// A packet may exceed [`MAX_DATAGRAM_BYTES`] by this much, since the sizes of its parts are estimated. A
/// larger packet is not sent.
const MAX_EXCESS_BYTES: usize = 600;

fn estimated_update_bytes(update: &MemberUpdate) -> usize {
    UPDATE_OVERHEAD_BYTES + update.name.0.len() + update.zone.len()
}

fn estimated_fact_bytes(fact: &GossipFact) -> usize {
    FACT_OVERHEAD_BYTES + fact.origin.0.len() + fact.payload.len()
}

impl Membership {
    /// Sends a message with as many queued updates as fit.
    pub(super) fn send(&mut self, to: SocketAddr, message: Message, outputs: &mut Vec<Output>) {
        let mut packet = self.new_packet(message);
        // Guards against a suspect that learns too late of the suspicion to refute it: a packet to a peer
        // that is not known as alive carries the update on that peer first (Lifeguard's buddy system).
        let about_receiver = self
            .members
            .iter()
            .find(|member| member.state() != MemberState::Alive && self.peer_address(member) == to);
        packet.updates.extend(about_receiver.map(|member| member.update.clone()));
        self.piggyback(&mut packet);
        self.transmit(to, &packet, outputs);
    }

    /// Adds queued updates to a packet, those with the fewest transmissions first.
    fn piggyback(&mut self, packet: &mut Packet) {
        let mut length = packet.encode().len();
        let peers = self.members.alive_count();
        for item in self.gossip.by_fewest_transmissions() {
            let size = self.append(&item, packet);
            if length + size > MAX_DATAGRAM_BYTES {
                remove_last(&item, packet);
                return;
            }
            length += size;
            self.gossip.record_transmission(&item, peers);
        }
    }

    /// Adds the content of a queued update to a packet; returns its estimated size, 0 if nothing was added.
    fn append(&self, item: &GossipItem, packet: &mut Packet) -> usize {
        match item {
            GossipItem::Member(name) => {
                let update = self.update_of(name).filter(|update| !packet.updates.contains(update));
                let Some(update) = update else { return 0 };
                packet.updates.push(update.clone());
                estimated_update_bytes(update)
            }
            GossipItem::Fact(origin, topic) => {
                let Some(fact) = self.facts.get(&(origin.clone(), *topic)) else { return 0 };
                packet.facts.push(fact.clone());
                estimated_fact_bytes(fact)
            }
        }
    }

    fn update_of(&self, name: &PeerName) -> Option<&MemberUpdate> {
        if *name == self.own.name {
            return Some(&self.own);
        }
        self.members.get(name).map(|member| &member.update)
    }

    /// Sends packets that carry only these updates and facts, in as many packets as needed.
    pub(super) fn send_gossip(
        &mut self,
        to: SocketAddr,
        updates: Vec<MemberUpdate>,
        facts: Vec<GossipFact>,
        outputs: &mut Vec<Output>,
    ) {
        let mut packet = self.new_packet(Message::Gossip);
        let mut length = packet.encode().len();
        for update in updates {
            let size = estimated_update_bytes(&update);
            if length + size > MAX_DATAGRAM_BYTES {
                self.transmit(to, &packet, outputs);
                packet = self.new_packet(Message::Gossip);
                length = GOSSIP_OVERHEAD_BYTES;
            }
            length += size;
            packet.updates.push(update);
        }
        for fact in facts {
            let size = estimated_fact_bytes(&fact);
            if length + size > MAX_DATAGRAM_BYTES {
                self.transmit(to, &packet, outputs);
                packet = self.new_packet(Message::Gossip);
                length = GOSSIP_OVERHEAD_BYTES;
            }
            length += size;
            packet.facts.push(fact);
        }
        if !packet.updates.is_empty() || !packet.facts.is_empty() {
            self.transmit(to, &packet, outputs);
        }
    }

    fn new_packet(&self, message: Message) -> Packet {
        // Pings, acks and leave messages carry the sender's own update, so that the receiver knows a new
        // member at once.
        let includes_own_update =
            matches!(message, Message::Ping { .. } | Message::Ack { .. } | Message::Leave);
        Packet {
            fleet: self.fleet,
            from: self.own.name.clone(),
            process_incarnation: self.own.process_incarnation,
            message,
            updates: includes_own_update.then(|| self.own.clone()).into_iter().collect(),
            facts: Vec::new(),
        }
    }

    fn transmit(&mut self, to: SocketAddr, packet: &Packet, outputs: &mut Vec<Output>) {
        let bytes = packet.encode();
        if bytes.is_empty() || bytes.len() > MAX_DATAGRAM_BYTES + MAX_EXCESS_BYTES {
            return;
        }
        self.counters.packets_sent += 1;
        self.counters.bytes_sent += bytes.len() as u64;
        outputs.push(Output::Datagram(to, bytes));
    }
}

/// Removes the update that did not fit. If nothing was added because the packet was too long before, its last
/// update of that kind is removed instead.
fn remove_last(item: &GossipItem, packet: &mut Packet) {
    match item {
        GossipItem::Member(_) => drop(packet.updates.pop()),
        GossipItem::Fact(..) => drop(packet.facts.pop()),
    }
}
