//! Snapshot transfer to replicas that lack entries that the leader has compacted.

use crate::log::{Log, LogPosition};
use crate::message::{Message, MAX_PAYLOAD_BYTES};
use crate::store::KeyValueStore;
use crate::{Micros, ReplicaName};

use super::Replica;

/// The maximum size of a snapshot that a follower accepts.
const MAX_SNAPSHOT_BYTES: u32 = 4 << 20;

/// A snapshot of which some chunks have been received.
#[derive(Clone, Debug)]
pub(super) struct IncomingSnapshot {
    last_included: LogPosition,
    bytes: Vec<u8>,
}

/// A received chunk of a snapshot.
pub(super) struct SnapshotChunk {
    pub(super) last_included: LogPosition,
    pub(super) replicas: Vec<ReplicaName>,
    pub(super) offset: u32,
    pub(super) total_bytes: u32,
    pub(super) data: Vec<u8>,
    pub(super) sent_at: Micros,
}

/// A follower's answer to a chunk that does not complete the snapshot.
pub(super) struct SnapshotResponse {
    pub(super) last_included: LogPosition,
    pub(super) received_bytes: u32,
    pub(super) sent_at: Micros,
}

impl Replica {
    /// The message with the next chunk for a replica that has received `received_bytes`.
    pub(super) fn snapshot_chunk(&self, now: Micros, received_bytes: u32) -> Message {
        let log = &self.persistent.log;
        let total_bytes = log.snapshot.len() as u32;
        let offset = received_bytes.min(total_bytes);
        let end = (offset as usize + MAX_PAYLOAD_BYTES).min(total_bytes as usize);
        Message::InstallSnapshot {
            term: self.persistent.current_term,
            last_included: log.last_included,
            replicas: log.snapshot_replicas.clone(),
            offset,
            total_bytes,
            data: log.snapshot[offset as usize..end].to_vec(),
            sent_at: now,
        }
    }

    /// Records how much of the current snapshot a follower has, and sends the next chunk.
    pub(super) fn on_snapshot_response(
        &mut self,
        now: Micros,
        from: &ReplicaName,
        term: u64,
        response: SnapshotResponse,
    ) {
        let SnapshotResponse { last_included, received_bytes, sent_at } = response;
        let is_accepted = self.accept_response(now, from, term, sent_at);
        if !is_accepted || last_included != self.persistent.log.last_included {
            return;
        }
        if let Some(progress) = self.progress.get_mut(from) {
            progress.snapshot_bytes = received_bytes;
        }
        self.replicate_to(now, from);
    }

    /// Collects a chunk, and installs the snapshot when it is complete.
    pub(super) fn on_snapshot_chunk(
        &mut self,
        now: Micros,
        leader: &ReplicaName,
        term: u64,
        chunk: SnapshotChunk,
    ) {
        if !self.accept_leader(now, leader, term, chunk.sent_at) {
            return;
        }
        let SnapshotChunk { last_included, replicas, total_bytes, sent_at, .. } = chunk;
        if last_included.index <= self.commit_index {
            // Logs are identical up to the commit index, so the snapshot is not needed.
            return self.answer_append(leader, true, self.commit_index, sent_at);
        }
        if total_bytes > MAX_SNAPSHOT_BYTES {
            return;
        }
        let received = self.collect_chunk(last_included, chunk.offset, chunk.data);
        if received.len() < total_bytes as usize {
            let received_bytes = received.len() as u32;
            let term = self.persistent.current_term;
            let response = Message::InstallSnapshotResponse { term, last_included, received_bytes, sent_at };
            return self.outbox.send(leader.clone(), response);
        }
        let snapshot = self.incoming_snapshot.take().map(|incoming| incoming.bytes).unwrap_or_default();
        if self.install_snapshot(last_included, replicas, snapshot) {
            self.answer_append(leader, true, last_included.index, sent_at);
        }
    }

    /// Adds a chunk if it continues the snapshot. A chunk of another snapshot discards the bytes received
    /// so far. Returns all bytes received of this snapshot.
    fn collect_chunk(&mut self, last_included: LogPosition, offset: u32, data: Vec<u8>) -> &[u8] {
        if self.incoming_snapshot.as_ref().is_none_or(|incoming| incoming.last_included != last_included) {
            self.incoming_snapshot = None;
        }
        let incoming = self
            .incoming_snapshot
            .get_or_insert_with(|| IncomingSnapshot { last_included, bytes: Vec::new() });
        if offset as usize == incoming.bytes.len() {
            incoming.bytes.extend(data);
        }
        &incoming.bytes
    }

    /// Replaces the store and the log by a snapshot. Returns whether the snapshot could be decoded.
    fn install_snapshot(
        &mut self,
        last_included: LogPosition,
        snapshot_replicas: Vec<ReplicaName>,
        snapshot: Vec<u8>,
    ) -> bool {
        let Some(store) = KeyValueStore::decode(&snapshot) else { return false };
        self.store = store;
        self.persistent.log = Log { last_included, snapshot_replicas, snapshot, entries: Vec::new() };
        self.persistent.initialized = true;
        self.commit_index = last_included.index;
        self.last_applied = last_included.index;
        self.outbox.request_save();
        self.outbox.notify_change();
        self.clear_min_log_position_if_reached();
        true
    }
}
