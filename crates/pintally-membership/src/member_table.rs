//! The state of each peer, and the precedence of updates on the same peer.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::{is_valid_name, PeerName, ProcessIncarnation, MAX_NAME_BYTES};
use crate::Micros;

/// Greatest number of peers that a node remembers.
pub(crate) const MAX_MEMBERS: usize = 4096;

/// The state of a peer. Of two updates with the same incarnation, the one whose state comes later in this
/// order takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// As far as is known, it answers probes.
    Alive,
    /// A probe of it failed, and it has not refuted the suspicion yet.
    Suspect,
    /// It did not refute a suspicion in time.
    Dead,
    /// It has announced that it leaves the fleet.
    Left,
}

/// An update on a member, as it is gossiped. Postcard writes the fields in this order, without names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberUpdate {
    pub(crate) name: PeerName,
    pub(crate) process_incarnation: ProcessIncarnation,
    /// SWIM's incarnation: raised by the member itself to refute a suspicion.
    pub(crate) incarnation: u32,
    pub(crate) state: MemberState,
    /// If the state is `Suspect`: a hash of the accuser's name.
    pub(crate) accuser: u64,
    pub(crate) address: SocketAddr,
    pub(crate) zone: Arc<str>,
}

impl MemberUpdate {
    /// Orders two updates on one member: by the process, then SWIM's incarnation, then the state.
    pub(crate) fn precedence(&self) -> (ProcessIncarnation, u32, MemberState) {
        (self.process_incarnation, self.incarnation, self.state)
    }

    /// Whether this update replaces another one.
    pub(crate) fn supersedes(&self, other: &MemberUpdate) -> bool {
        self.precedence() > other.precedence()
    }

    /// Whether the update may be accepted from the wire.
    pub(crate) fn is_valid(&self) -> bool {
        is_valid_name(&self.name) && self.zone.len() <= MAX_NAME_BYTES && self.address.port() != 0
    }
}

/// A peer as this node knows it.
#[derive(Clone, Debug)]
pub struct Member {
    pub(crate) update: MemberUpdate,
    /// When the update was applied, on this node's clock.
    pub(crate) since: Micros,
    /// While the member is suspected: when the suspicion times out.
    pub(crate) suspicion_deadline: Micros,
    /// While the member is suspected: the accusers that are known.
    pub(crate) accusers: BTreeSet<u64>,
}

impl Member {
    /// Its name.
    pub fn name(&self) -> &PeerName {
        &self.update.name
    }

    /// Its zone.
    pub fn zone(&self) -> &str {
        &self.update.zone
    }

    /// The address that it advertises.
    pub fn address(&self) -> SocketAddr {
        self.update.address
    }

    /// Its state.
    pub fn state(&self) -> MemberState {
        self.update.state
    }

    /// Its process.
    pub fn incarnation(&self) -> ProcessIncarnation {
        self.update.process_incarnation
    }

    /// When it entered its state, on this node's clock.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// Whether it is considered to be running. This includes suspects.
    pub fn is_alive(&self) -> bool {
        matches!(self.update.state, MemberState::Alive | MemberState::Suspect)
    }

    pub(crate) fn is_suspect(&self) -> bool {
        self.update.state == MemberState::Suspect
    }
}

/// The result of applying an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateOutcome {
    /// The known update takes precedence, or the table is full.
    Ignored,
    /// The member was not known.
    Added,
    /// The member was known in another state or incarnation.
    Replaced { previous: MemberState },
}

/// All peers except this node itself.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<PeerName, Member>,
    alive: usize,
}

impl MemberTable {
    pub(crate) fn get(&self, name: &PeerName) -> Option<&Member> {
        self.members.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &PeerName) -> Option<&mut Member> {
        self.members.get_mut(name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Peers that are alive or only suspected.
    pub(crate) fn alive(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.is_alive())
    }

    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.is_suspect())
    }

    /// Number of peers that are alive or only suspected.
    pub(crate) fn alive_count(&self) -> usize {
        self.alive
    }

    /// Applies an update if it takes precedence over the known one. New members beyond [`MAX_MEMBERS`] are
    /// ignored, so that no peer can exhaust this node's memory with names.
    pub(crate) fn apply(&mut self, now: Micros, update: MemberUpdate) -> UpdateOutcome {
        let Some(member) = self.members.get_mut(&update.name) else {
            return self.add(now, update);
        };
        if !update.supersedes(&member.update) {
            return UpdateOutcome::Ignored;
        }
        let previous = member.update.state;
        let was_alive = member.is_alive();
        member.update = update;
        member.since = now;
        member.accusers.clear();
        let is_alive = member.is_alive();
        self.alive = self.alive + usize::from(is_alive) - usize::from(was_alive);
        UpdateOutcome::Replaced { previous }
    }

    fn add(&mut self, now: Micros, update: MemberUpdate) -> UpdateOutcome {
        if self.members.len() >= MAX_MEMBERS {
            return UpdateOutcome::Ignored;
        }
        let name = update.name.clone();
        let member = Member { update, since: now, suspicion_deadline: 0, accusers: BTreeSet::new() };
        self.alive += usize::from(member.is_alive());
        self.members.insert(name, member);
        UpdateOutcome::Added
    }

    /// Removes the members that died or left before a time; returns their names.
    pub(crate) fn remove_inactive_before(&mut self, before: Micros) -> Vec<PeerName> {
        let is_expired = |member: &&Member| !member.is_alive() && member.since < before;
        let names: Vec<PeerName> =
            self.iter().filter(is_expired).map(|member| member.name().clone()).collect();
        for name in &names {
            self.members.remove(name);
        }
        names
    }
}
