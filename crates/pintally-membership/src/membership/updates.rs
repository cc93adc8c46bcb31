//! Applies updates on members, and facts, that result from packets or timeouts.

use rand::Rng;

use super::Membership;
use crate::event::{MembershipEvent, Output};
use crate::fact::GossipFact;
use crate::gossip_queue::GossipItem;
use crate::identity::PeerName;
use crate::member_table::{MemberState, MemberUpdate, UpdateOutcome};
use crate::Micros;

impl Membership {
    /// Applies an update on a peer, or on this node itself.
    pub(super) fn apply_update(&mut self, now: Micros, update: MemberUpdate, outputs: &mut Vec<Output>) {
        if update.name == self.own.name {
            return self.handle_update_about_self(now, update, outputs);
        }
        if update.state == MemberState::Suspect {
            if self.is_relevant_accusation(&update) {
                self.suspect(now, update, outputs);
            }
            return;
        }
        let name = update.name.clone();
        let state = update.state;
        let process = update.process_incarnation;
        let known = self.members.get(&name);
        // The death or departure of a peer that was never known causes no event.
        if known.is_none() && matches!(state, MemberState::Dead | MemberState::Left) {
            self.members.apply(now, update);
            return;
        }
        let was_up = known.is_some_and(|member| member.is_alive() && member.incarnation() == process);
        if self.members.apply(now, update) == UpdateOutcome::Ignored {
            return;
        }
        self.gossip.push(GossipItem::Member(name.clone()));
        match state {
            MemberState::Alive if !was_up => {
                self.insert_into_probe_round(name.clone());
                outputs.push(Output::Event(MembershipEvent::MemberUp(name, process)));
            }
            MemberState::Dead => outputs.push(Output::Event(MembershipEvent::MemberDown(name))),
            MemberState::Left => outputs.push(Output::Event(MembershipEvent::MemberLeft(name))),
            MemberState::Alive | MemberState::Suspect => {}
        }
    }

    /// Whether an accusation supersedes what is known of the peer, or confirms the current suspicion.
    fn is_relevant_accusation(&self, update: &MemberUpdate) -> bool {
        let Some(known) = self.members.get(&update.name).map(|member| &member.update) else {
            return true;
        };
        known.precedence() == update.precedence() || update.supersedes(known)
    }

    /// Inserts a member at a random position of the current round, so that not every node probes a new member
    /// first.
    fn insert_into_probe_round(&mut self, name: PeerName) {
        let position = (self.rng.next_u32() as usize) % (self.probe_round.len() + 1);
        self.probe_round.insert(position, name);
    }

    /// Applies a fact. A fact with this node's name as its origin, but from another process, reveals that
    /// process.
    pub(super) fn apply_fact(
        &mut self,
        now: Micros,
        fact: GossipFact,
        is_repair: bool,
        outputs: &mut Vec<Output>,
    ) {
        let origin = fact.origin.clone();
        let topic = fact.topic;
        if origin == self.own.name {
            if fact.process_incarnation.nonce == self.own.process_incarnation.nonce {
                return;
            }
            let update = MemberUpdate { process_incarnation: fact.process_incarnation, ..self.own.clone() };
            self.handle_update_about_self(now, update, outputs);
        }
        if self.facts.insert_if_newer(fact) {
            self.counters.repaired += u64::from(is_repair);
            self.gossip.push(GossipItem::Fact(origin.clone(), topic));
            outputs.push(Output::Event(MembershipEvent::FactReceived(origin, topic)));
        }
    }
}
