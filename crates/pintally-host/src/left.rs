//! Read states that a life of the node before this one has left at engines.
//!
//! What a node held when it was killed is no longer its duty, but the memory is still taken at the engines,
//! until these give up on it by themselves. So the names of what is held, or may come to be held, are kept
//! over a start, and the next life lets go of them as soon as it knows where the engines are.

use pintally_engine::Step;

use crate::host::Host;
use crate::input::{Command, ReleaseScope};
use crate::release_retries::Certainty;
use crate::states::state_name;

/// A state: the engine that holds it, and its name there.
pub type OrphanedReservation = pintally_recovery::Held;

impl Host {
    /// The same host with what a life before may have left. It is let go with the first list that has its
    /// engine; what a list from its source has no engine for has gone with it.
    pub fn with_orphaned_reservations(mut self, mut left: Vec<OrphanedReservation>) -> Host {
        // Guards against states of this life that were named alike, as after a start with the same seed.
        left.retain(|(_, name)| !self.names_own(name));
        self.left_before = left;
        self
    }

    /// What would be left if this life ended now, `most` at the most, the latest first: what is held, what
    /// reads that are out may leave, what is being let go and not confirmed, and what was left before and
    /// is still to be let go.
    pub fn reservations_at_exit(&self, most: usize) -> Vec<OrphanedReservation> {
        if self.scope == ReleaseScope::Request {
            return Vec::new();
        }
        let held = self.entries.values().rev().flat_map(|entry| {
            let reads = entry.out.iter().filter(|out| out.step == Step::Read);
            let held = entry.held.iter().map(|h| (&h.engine, h.attempt));
            let all = held.chain(reads.map(|out| (&out.engine, out.attempt)));
            all.map(|(engine, attempt)| (engine.clone(), state_name(&entry.id, attempt)))
        });
        let unheard = self.release_retries.iter().map(|(engine, name)| (engine.clone(), name.clone()));
        held.chain(unheard).chain(self.left_before.iter().cloned()).take(most).collect()
    }

    /// Lets go of what a peer has left that is dead. Its own names of this life are no peer's.
    pub(crate) fn inherit(&mut self, mut left: Vec<OrphanedReservation>, out: &mut Vec<Command>) {
        left.retain(|(_, name)| !self.names_own(name));
        self.counters.reservations_inherited += left.len() as u64;
        self.left_before.extend(left);
        self.let_go_of_left(out);
    }

    /// Lets go of what was left before, as far as it is known where.
    pub(crate) fn let_go_of_left(&mut self, out: &mut Vec<Command>) {
        if self.left_before.is_empty() {
            return;
        }
        for (engine, name) in std::mem::take(&mut self.left_before) {
            match self.places.get(&engine).map(|p| p.address) {
                Some(address) => {
                    self.counters.orphaned_releases += 1;
                    self.begin_at(name, engine, address, Certainty::Confirmed, out);
                }
                None if self.list_fresh => {}
                None => self.left_before.push((engine, name)),
            }
        }
    }
}
