//! Replication of reservations: this node publishes its reservations to backup nodes, and is a backup node of
//! peers.

use pintally::interface::Micros;
use pintally_config::RecoverySettings;
use pintally_host::Input;
use pintally_membership::{Output, PeerName};
use pintally_recovery::{BackupNode, ReservationPublisher};
use tracing::info;

use super::topics::MessageTopic;
use super::FleetThread;
use crate::sync::lock;

/// Interval at which changes of this node's reservations are sent to its backup nodes.
const PUBLISH_INTERVAL_US: Micros = 100_000;

/// The publisher of this node's reservations, and the reservations of the peers that it backs up.
pub(super) struct ReplicatedReservations {
    publisher: ReservationPublisher,
    backup: BackupNode,
    next_publish_at: Micros,
}

impl ReplicatedReservations {
    /// `None` if the settings disable the release of a dead node's reservations by peers.
    pub(super) fn new(settings: &RecoverySettings) -> Option<ReplicatedReservations> {
        (settings.reservation_takeover_delay > 0).then(|| ReplicatedReservations {
            publisher: ReservationPublisher::default(),
            backup: BackupNode::new(settings.reservation_takeover_delay),
            next_publish_at: 0,
        })
    }
}

impl FleetThread<'_> {
    /// Applies an event to the backup node's state, if reservations are replicated.
    pub(super) fn with_backup(&mut self, event: impl FnOnce(&mut BackupNode, Micros)) {
        let now = self.shared.clock.now();
        if let Some(reservations) = &mut self.reservations {
            event(&mut reservations.backup, now);
        }
    }

    /// Publishes this node's reservations to its backup nodes. Passes the reservations of peers that have
    /// been dead for long enough to the host, for release.
    pub(super) fn replicate_reservations(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(reservations) = self.reservations.as_mut().filter(|r| now >= r.next_publish_at) else {
            return;
        };
        reservations.next_publish_at = now + PUBLISH_INTERVAL_US;
        for (peer, inherited) in reservations.backup.take_due_reservations(now) {
            info!(%peer, reservations = inherited.len(), "releasing reservations of dead peer");
            self.shared.send_input(Input::ReservationsInherited(inherited));
        }
        let own_reservations = lock(&self.shared.fleet.reservations_at_exit).clone();
        let membership = &mut self.link.membership;
        let alive = membership.members().filter(|m| m.is_alive()).map(|m| &*m.name().0);
        let backup_nodes = ReservationPublisher::backup_nodes(&self.shared.settings.name, alive);
        let nonce = membership.incarnation().nonce;
        for message in reservations.publisher.publish_due(now, nonce, &own_reservations, &backup_nodes) {
            for node in &backup_nodes {
                let (peer, topic) = (PeerName::from(node.as_str()), MessageTopic::Reservations.topic());
                membership.send_direct(&peer, topic, message.clone(), out);
            }
        }
    }
}
