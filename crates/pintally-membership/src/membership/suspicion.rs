//! Suspicion: accusations, their confirmation by others, and their timeouts.

use super::Membership;
use crate::event::{MembershipEvent, Output};
use crate::gossip_queue::GossipItem;
use crate::identity::PeerName;
use crate::member_table::{MemberState, MemberUpdate, UpdateOutcome};
use crate::Micros;

/// Bounds of the time until an unrefuted suspicion makes a member dead.
struct SuspicionTimeouts {
    /// With as many confirmations as a probe has relays.
    min: Micros,
    /// With one accuser, that is without confirmation.
    max: Micros,
}

impl SuspicionTimeouts {
    /// A suspicion times out sooner the more nodes confirm it (Lifeguard).
    fn timeout(&self, accusers: usize, expected_confirmations: usize) -> Micros {
        let confirmations = accusers.saturating_sub(1) as f64;
        let expected = expected_confirmations as f64;
        let fraction = ((confirmations + 1.0).ln() / (expected + 1.0).ln()).min(1.0);
        self.max - ((self.max - self.min) as f64 * fraction) as Micros
    }
}

impl Membership {
    fn suspicion_timeouts(&self) -> SuspicionTimeouts {
        let node_count = self.alive_count();
        SuspicionTimeouts {
            min: self.health.scale(self.settings.min_suspicion_timeout(node_count)),
            max: self.health.scale(self.settings.max_suspicion_timeout(node_count)),
        }
    }

    /// Applies the accusation of a peer, by this node or by another one.
    pub(super) fn suspect(&mut self, now: Micros, update: MemberUpdate, outputs: &mut Vec<Output>) {
        let name = update.name.clone();
        let accuser = update.accuser;
        // Computed before the update is applied, because the update can change the number of live members.
        let timeouts = self.suspicion_timeouts();
        let is_new = match self.members.apply(now, update) {
            UpdateOutcome::Ignored => false,
            UpdateOutcome::Added => true,
            UpdateOutcome::Replaced { previous } => previous != MemberState::Suspect,
        };
        let expected_confirmations = self.settings.indirect_probes.max(1);
        let Some(member) = self.members.get_mut(&name).filter(|member| member.is_suspect()) else {
            return;
        };
        // Only the first accusers are recorded and gossiped, so that other nodes can count them too.
        let is_confirmation =
            member.accusers.len() <= expected_confirmations && member.accusers.insert(accuser);
        if is_confirmation {
            member.update.accuser = accuser;
        }
        let deadline = member.since + timeouts.timeout(member.accusers.len(), expected_confirmations);
        member.suspicion_deadline = if is_new { deadline } else { member.suspicion_deadline.min(deadline) };
        if is_new {
            outputs.push(Output::Event(MembershipEvent::MemberSuspected(name.clone())));
        }
        if is_confirmation {
            self.gossip.push(GossipItem::Member(name));
        }
    }

    /// Declares the members dead that have not refuted a suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        for name in self.suspect_names() {
            let member = self.members.get(&name);
            let Some(member) = member.filter(|member| member.suspicion_deadline <= now) else { continue };
            let update = MemberUpdate { state: MemberState::Dead, ..member.update.clone() };
            self.apply_update(now, update, outputs);
        }
    }

    /// Extends the deadlines of all suspects to the full suspicion timeout from now.
    pub(super) fn extend_suspicions(&mut self, now: Micros) {
        let deadline = now + self.suspicion_timeouts().max;
        for name in self.suspect_names() {
            if let Some(member) = self.members.get_mut(&name) {
                member.suspicion_deadline = member.suspicion_deadline.max(deadline);
            }
        }
    }

    fn suspect_names(&self) -> Vec<PeerName> {
        self.members.suspects().map(|member| member.name().clone()).collect()
    }
}
