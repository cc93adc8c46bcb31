//! Reservations that an earlier incarnation of the node, or a dead peer, has left at engines.
//!
//! A node that was killed is no longer responsible for its reservations, but they still occupy memory at the
//! engines until these expire them. So the names of the reservations that exist, or may come to exist, are
//! persisted over a restart, and the next incarnation releases them as soon as it knows where the engines are.

use pintally::interface::EngineId;

/// A reservation: the engine that has it, and its name there.
pub type OrphanedReservation = pintally_recovery::Reservation;

/// Orphaned reservations that wait for an endpoint list with their engine.
#[derive(Default)]
pub(crate) struct OrphanedReservations(Vec<OrphanedReservation>);

impl OrphanedReservations {
    /// These reservations.
    pub(crate) fn new(orphaned: Vec<OrphanedReservation>) -> OrphanedReservations {
        OrphanedReservations(orphaned)
    }

    /// Adds the reservations of a peer.
    pub(crate) fn extend(&mut self, orphaned: Vec<OrphanedReservation>) {
        self.0.extend(orphaned);
    }

    /// All of them.
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

    /// Drops all that remain, as their engines are gone.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
