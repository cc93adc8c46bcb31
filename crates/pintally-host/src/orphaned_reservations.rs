//! Reservations that an earlier incarnation of the node, or a dead peer, has left at engines.
//!
//! After a node was killed, its reservations occupy memory at the engines until the engines expire them. The names
//! of reservations that exist, or that reads in flight may create, are therefore persisted across a restart, and
//! the next incarnation releases them as soon as it knows the addresses of the engines.

use pintally::interface::EngineId;

/// A reservation: the engine that has it, and its name there.
pub type OrphanedReservation = pintally_recovery::Reservation;

/// Orphaned reservations that wait for an endpoint list with their engine.
#[derive(Default)]
pub(crate) struct OrphanedReservations(Vec<OrphanedReservation>);

impl OrphanedReservations {
    pub(crate) fn new(orphaned: Vec<OrphanedReservation>) -> OrphanedReservations {
        OrphanedReservations(orphaned)
    }

    /// Adds the reservations of a peer.
    pub(crate) fn extend(&mut self, orphaned: Vec<OrphanedReservation>) {
        self.0.extend(orphaned);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &OrphanedReservation> {
        self.0.iter()
    }

    /// Removes the reservations at engines that are known.
    pub(crate) fn take_releasable(
        &mut self,
        is_known: impl Fn(&EngineId) -> bool,
    ) -> Vec<OrphanedReservation> {
        let (releasable, unknown) = std::mem::take(&mut self.0).into_iter().partition(|(e, _)| is_known(e));
        self.0 = unknown;
        releasable
    }

    /// Drops the remaining reservations, whose engines are gone.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
