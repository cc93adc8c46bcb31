//! The published reservations of other nodes, which are released if a node stays dead.

use std::collections::BTreeMap;

use pintally::interface::{EngineId, Micros, RequestId};

use super::{Reservation, ReservationMessage, EXPIRY};

/// Maximum number of reservations that are stored for one node.
pub(super) const MAX_RESERVATIONS_PER_NODE: usize = 4_096;
/// Maximum number of reservations that are stored for all nodes together.
pub(super) const MAX_RESERVATIONS: usize = 65_536;

/// The published reservations of one process of a node.
#[derive(Debug, Default)]
struct Publisher {
    process: u64,
    /// Reservations, with the time of their last publication.
    reservations: BTreeMap<Reservation, Micros>,
    /// When the node was declared dead; `None` while it counts as alive.
    dead_since: Option<Micros>,
}

impl Publisher {
    /// Whether the node has been dead for the release delay.
    fn is_due(&self, now: Micros, release_delay: Micros) -> bool {
        self.dead_since.is_some_and(|since| now >= since.saturating_add(release_delay))
    }
}

/// A backup node. It stores the reservations that other nodes publish.
#[derive(Debug)]
pub struct BackupNode {
    publishers: BTreeMap<String, Publisher>,
    /// How long a node must be dead before its reservations are released.
    release_delay: Micros,
    /// The number of reservations that are stored now, for all nodes together.
    pub(super) stored: usize,
}

impl BackupNode {
    /// Creates a backup node that releases a node's reservations `release_delay` after its death.
    pub fn new(release_delay: Micros) -> BackupNode {
        BackupNode { publishers: BTreeMap::new(), release_delay, stored: 0 }
    }

    /// Handles a message with reservations of a node. A malformed message is ignored.
    pub fn receive_reservations(&mut self, now: Micros, from: &str, message: &[u8]) {
        let Ok(message) = serde_json::from_slice::<ReservationMessage>(message) else { return };
        self.remove_expired(now, from);
        let publisher = self.publishers.entry(from.to_string()).or_default();
        if publisher.process != message.process {
            // The node has restarted: its new process releases the reservations of the previous one.
            self.stored -= publisher.reservations.len();
            *publisher = Publisher { process: message.process, ..Publisher::default() };
        }
        // A node that publishes is not dead.
        publisher.dead_since = None;
        for (engine, name) in message.reservations {
            let is_full =
                publisher.reservations.len() >= MAX_RESERVATIONS_PER_NODE || self.stored >= MAX_RESERVATIONS;
            if is_full {
                return;
            }
            let reservation = (EngineId(engine.into()), RequestId(name.into()));
            let is_new = publisher.reservations.insert(reservation, now).is_none();
            self.stored += usize::from(is_new);
        }
    }

    /// Removes the reservations that a live node has not published within [`EXPIRY`]: it no longer holds
    /// them.
    fn remove_expired(&mut self, now: Micros, from: &str) {
        let Some(publisher) = self.publishers.get_mut(from) else { return };
        let before = publisher.reservations.len();
        publisher.reservations.retain(|_, published_at| now < published_at.saturating_add(EXPIRY));
        self.stored -= before - publisher.reservations.len();
    }

    /// Records that a node was declared dead.
    pub fn node_down(&mut self, now: Micros, name: &str) {
        if let Some(publisher) = self.publishers.get_mut(name) {
            publisher.dead_since.get_or_insert(now);
        }
    }

    /// Records that a process of a node is alive. This does not concern reservations that another process of
    /// the node has published: that process stays dead, and they are released when they are due. If they were
    /// stored on disk, the new process releases them as well; the second release does no harm.
    pub fn node_up(&mut self, name: &str, process: u64) {
        let publisher = self.publishers.get_mut(name);
        if let Some(publisher) = publisher.filter(|publisher| publisher.process == process) {
            publisher.dead_since = None;
        }
    }

    /// Records that a node has shut down gracefully: it holds no reservations.
    pub fn node_left(&mut self, name: &str) {
        self.remove_publisher(name);
    }

    fn remove_publisher(&mut self, name: &str) -> Option<Publisher> {
        let publisher = self.publishers.remove(name)?;
        self.stored -= publisher.reservations.len();
        Some(publisher)
    }

    /// Removes and returns the reservations that are to be released now, each with the name of its dead node.
    pub fn take_due_reservations(&mut self, now: Micros) -> Vec<(String, Vec<Reservation>)> {
        let is_due = |publisher: &Publisher| publisher.is_due(now, self.release_delay);
        let names: Vec<String> = self
            .publishers
            .iter()
            .filter(|(_, publisher)| is_due(publisher))
            .map(|(name, _)| name.clone())
            .collect();
        names.into_iter().filter_map(|name| self.take_reservations(now, name)).collect()
    }

    /// Removes and returns the reservations that a node held when it died. A reservation that had expired by
    /// then was released by the node itself. The release delay is added to the expiry, since a death is
    /// detected some time after it happens.
    fn take_reservations(&mut self, now: Micros, name: String) -> Option<(String, Vec<Reservation>)> {
        let publisher = self.remove_publisher(&name)?;
        let dead_since = publisher.dead_since.unwrap_or(now);
        let max_age = EXPIRY + self.release_delay;
        let reservations: Vec<Reservation> = publisher
            .reservations
            .into_iter()
            .filter(|(_, published_at)| dead_since < published_at.saturating_add(max_age))
            .map(|(reservation, _)| reservation)
            .collect();
        (!reservations.is_empty()).then_some((name, reservations))
    }
}
