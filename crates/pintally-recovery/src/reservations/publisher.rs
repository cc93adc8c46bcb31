//! Publication of a node's reservations to its backup nodes.

use std::collections::HashMap;

use pintally::interface::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Reservation, ReservationMessage, REPUBLISH_INTERVAL};

/// Number of backup nodes of each node.
pub(super) const BACKUP_NODES: usize = 2;
/// A reservation younger than this is not worth a message and is not published yet.
const MIN_PUBLISH_AGE: Micros = 100_000;
/// Largest content of one message, so that the message fits into one packet.
const MAX_MESSAGE_BYTES: usize = 1_000;
/// Limit of the messages that are sent at once.
pub(super) const MAX_MESSAGES_AT_ONCE: usize = 8;
/// Bytes that a reservation takes in a message in addition to its engine and name.
const RESERVATION_OVERHEAD_BYTES: usize = 8;

/// When a reservation was made and when it was last published.
#[derive(Clone, Copy, Debug)]
struct Publication {
    reserved_at: Micros,
    published_at: Option<Micros>,
}

impl Publication {
    fn is_due(&self, now: Micros) -> bool {
        match self.published_at {
            None => now >= self.reserved_at.saturating_add(MIN_PUBLISH_AGE),
            Some(published_at) => now >= published_at.saturating_add(REPUBLISH_INTERVAL),
        }
    }
}

/// Publishes a node's reservations to its backup nodes.
#[derive(Debug, Default)]
pub struct ReservationPublisher {
    publications: HashMap<Reservation, Publication>,
    backup_nodes: Vec<String>,
}

impl ReservationPublisher {
    /// Chooses the backup nodes of a node among the live peers by rendezvous hashing: they change only if the
    /// live peers do, and different nodes have different ones.
    pub fn backup_nodes<'a>(own: &str, alive: impl Iterator<Item = &'a str>) -> Vec<String> {
        let seed = xxh3_64_with_seed(own.as_bytes(), 0);
        let mut ranked: Vec<(u64, &str)> =
            alive.map(|name| (xxh3_64_with_seed(name.as_bytes(), seed), name)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(BACKUP_NODES).map(|(_, name)| name.to_string()).collect()
    }

    /// Returns the messages that are due, each for all backup nodes. `process` identifies this process, and
    /// `reservations` are all that it holds.
    pub fn publish_due(
        &mut self,
        now: Micros,
        process: u64,
        reservations: &[Reservation],
        backup_nodes: &[String],
    ) -> Vec<Vec<u8>> {
        self.update_reservations(now, reservations);
        self.update_backup_nodes(backup_nodes);
        if backup_nodes.is_empty() {
            return Vec::new();
        }
        // Reservations that have waited longest come first, since not all may fit.
        let mut due: Vec<(&Reservation, &mut Publication)> =
            self.publications.iter_mut().filter(|(_, publication)| publication.is_due(now)).collect();
        due.sort_by_key(|(reservation, publication)| {
            (publication.published_at, publication.reserved_at, *reservation)
        });
        encode_messages(now, process, due)
    }

    fn update_reservations(&mut self, now: Micros, reservations: &[Reservation]) {
        let new = Publication { reserved_at: now, published_at: None };
        let mut updated = HashMap::with_capacity(reservations.len());
        for reservation in reservations {
            let publication = self.publications.remove(reservation).unwrap_or(new);
            updated.insert(reservation.clone(), publication);
        }
        self.publications = updated;
    }

    /// If the backup nodes have changed, publishes all reservations again: new ones have not received them.
    fn update_backup_nodes(&mut self, backup_nodes: &[String]) {
        if self.backup_nodes == backup_nodes {
            return;
        }
        self.backup_nodes = backup_nodes.to_vec();
        for publication in self.publications.values_mut() {
            publication.published_at = None;
        }
    }
}

/// Encodes as many reservations as fit into the messages that may be sent at once, and marks them as
/// published.
fn encode_messages(now: Micros, process: u64, due: Vec<(&Reservation, &mut Publication)>) -> Vec<Vec<u8>> {
    let mut messages = Vec::new();
    let mut message = ReservationMessage { process, reservations: Vec::new() };
    let mut message_bytes = 0;
    for ((engine, name), publication) in due {
        let size = engine.0.len() + name.0.len() + RESERVATION_OVERHEAD_BYTES;
        if message_bytes + size > MAX_MESSAGE_BYTES && !message.reservations.is_empty() {
            messages.extend(serde_json::to_vec(&message).ok());
            message.reservations.clear();
            message_bytes = 0;
            if messages.len() == MAX_MESSAGES_AT_ONCE {
                break;
            }
        }
        if size <= MAX_MESSAGE_BYTES {
            message.reservations.push((engine.0.to_string(), name.0.to_string()));
            message_bytes += size;
            publication.published_at = Some(now);
        }
    }
    if !message.reservations.is_empty() {
        messages.extend(serde_json::to_vec(&message).ok());
    }
    messages
}
