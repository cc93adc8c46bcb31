//! Replicated reservations: this node publishes its own to backup nodes, and is a backup node of peers.

use pintally::interface::Micros;
use pintally_config::RecoverySettings;
use pintally_host::Input;
use pintally_membership::{Output, PeerName};
use pintally_recovery::{BackupNode, ReservationPublisher};
use tracing::info;

use super::topics::MessageTopic;
use super::FleetThread;
use crate::sync::lock;

/// How often backup nodes are sent what has changed of this node's reservations.
const PUBLISH_INTERVAL_US: Micros = 100_000;

/// This node's reservations as published to backup nodes, and those of the peers that it backs up.
pub(super) struct ReplicatedReservations {
    publisher: ReservationPublisher,
    backup: BackupNode,
    next_publish: Micros,
}

impl ReplicatedReservations {
    /// `None` where the settings never let a peer release a dead node's reservations.
    pub(super) fn new(settings: &RecoverySettings) -> Option<ReplicatedReservations> {
        (settings.reservation_takeover_delay > 0).then(|| ReplicatedReservations {
            publisher: ReservationPublisher::default(),
            backup: BackupNode::new(settings.reservation_takeover_delay),
            next_publish: 0,
        })
    }
}

impl FleetThread<'_> {
    /// Passes an event to this node's side as a backup node, if it is one.
    pub(super) fn with_backup(&mut self, event: impl FnOnce(&mut BackupNode, Micros)) {
        let now = self.shared.clock.now();
        if let Some(reservations) = &mut self.reservations {
            event(&mut reservations.backup, now);
        }
    }

    /// Publishes this node's reservations to its backup nodes, and hands the host those of peers that have
    /// been dead long enough, for release.
    pub(super) fn replicate_reservations(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(reservations) = self.reservations.as_mut().filter(|r| now >= r.next_publish) else { return };
        reservations.next_publish = now + PUBLISH_INTERVAL_US;
        for (peer, inherited) in reservations.backup.take_due_reservations(now) {
            info!(%peer, reservations = inherited.len(), "releasing reservations of dead peer");
            self.shared.send_input(Input::ReservationsInherited(inherited));
        }
        let own = lock(&self.shared.fleet.reservations_at_exit).clone();
        let membership = &mut self.link.membership;
        let alive = membership.members().filter(|m| m.is_alive()).map(|m| &*m.name().0);
        let backup_nodes = ReservationPublisher::backup_nodes(&self.shared.settings.name, alive);
        let mark = membership.incarnation().nonce;
        for message in reservations.publisher.publish_due(now, mark, &own, &backup_nodes) {
            for node in &backup_nodes {
                let (peer, topic) = (PeerName::from(node.as_str()), MessageTopic::Reservations.topic());
                membership.send_direct(&peer, topic, message.clone(), out);
            }
        }
    }
}
