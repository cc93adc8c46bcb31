//! Data about all client connections of the node.

use std::collections::VecDeque;

use pintally_guards::{CloseReason, Counts, Denials};

use crate::client_connection::RequestProgress;
use crate::connection::ConnectionKey;

/// Data about all client connections: their number, queued writes and requests, and counts of closes.
#[derive(Default)]
pub(crate) struct Clients {
    pub(crate) count: usize,
    /// Number of bytes that are held for all connections, without the requests in flight.
    pub(crate) held_bytes: usize,
    /// Connections with output to write.
    pending_writes: Vec<ConnectionKey>,
    /// Connections with input that begins a request, and with more input of one.
    pending_new_reads: VecDeque<ConnectionKey>,
    pending_partial_reads: VecDeque<ConnectionKey>,
    /// Connections that may have received another complete request.
    pending_requests: VecDeque<ConnectionKey>,
    /// Number of closed connections, by reason.
    pub(crate) closes: Counts<CloseReason>,
    /// Number of closes that the guard prevented.
    pub(crate) denied_closes: Denials,
}

impl Clients {
    /// Schedules the output of a connection to be written in this iteration.
    pub(crate) fn queue_write(&mut self, key: ConnectionKey) {
        self.pending_writes.push(key);
    }

    pub(crate) fn take_pending_writes(&mut self) -> Vec<ConnectionKey> {
        std::mem::take(&mut self.pending_writes)
    }

    /// Schedules the requests of a connection to be parsed.
    pub(crate) fn queue_requests(&mut self, key: ConnectionKey) {
        self.pending_requests.push_back(key);
    }

    /// Takes up to `max` connections whose requests are to be parsed, the longest waiting first.
    pub(crate) fn take_pending_requests(&mut self, max: usize) -> Vec<ConnectionKey> {
        take_first(&mut self.pending_requests, max)
    }

    /// Schedules a connection to be read.
    pub(crate) fn queue_read(&mut self, key: ConnectionKey, progress: RequestProgress) {
        self.pending_reads(progress).push_back(key);
    }

    /// Takes up to `max` connections that are to be read, the longest waiting first.
    pub(crate) fn take_pending_reads(&mut self, progress: RequestProgress, max: usize) -> Vec<ConnectionKey> {
        take_first(self.pending_reads(progress), max)
    }

    fn pending_reads(&mut self, progress: RequestProgress) -> &mut VecDeque<ConnectionKey> {
        match progress {
            RequestProgress::New => &mut self.pending_new_reads,
            RequestProgress::Partial => &mut self.pending_partial_reads,
        }
    }

    /// Whether connections wait to be read, or requests to be parsed.
    pub(crate) fn has_pending_work(&self) -> bool {
        [&self.pending_requests, &self.pending_new_reads, &self.pending_partial_reads]
            .iter()
            .any(|queue| !queue.is_empty())
    }
}

fn take_first(queue: &mut VecDeque<ConnectionKey>, max: usize) -> Vec<ConnectionKey> {
    queue.drain(..max.min(queue.len())).collect()
}
