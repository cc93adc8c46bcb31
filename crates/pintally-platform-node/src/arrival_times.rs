//! Arrival times of the bytes of a client connection.
//!
//! A client counts its request's time from when it sent it. A request that waits behind another one on the same
//! connection has used up part of that time before the node parses it.

use std::collections::VecDeque;

use pintally::interface::Micros;

/// Bytes within this time of each other have one arrival time, that of the first. Bounds the memory for a client
/// that sends byte by byte.
const COALESCE_WITHIN: Micros = 5_000;

/// The bytes of a connection by arrival time, oldest first.
#[derive(Default)]
pub(crate) struct ArrivalTimes {
    /// Number of bytes received.
    received: u64,
    runs: VecDeque<Run>,
}

/// Bytes with one arrival time.
struct Run {
    /// Number of bytes received up to its end.
    end: u64,
    arrived: Micros,
}

impl ArrivalTimes {
    /// Adds received bytes.
    pub(crate) fn push(&mut self, now: Micros, bytes: usize) {
        self.received += bytes as u64;
        match self.runs.back_mut().filter(|run| now < run.arrived.saturating_add(COALESCE_WITHIN)) {
            Some(run) => run.end = self.received,
            None => self.runs.push_back(Run { end: self.received, arrived: now }),
        }
    }

    /// The arrival time of the last byte before the newest `bytes_behind` ones; earlier ones are forgotten.
    pub(crate) fn last_before(&mut self, bytes_behind: usize) -> Option<Micros> {
        let end = self.received.saturating_sub(bytes_behind as u64);
        while self.runs.len() > 1 && self.runs.front().is_some_and(|run| run.end < end) {
            self.runs.pop_front();
        }
        self.runs.front().map(|run| run.arrived)
    }
}

#[cfg(test)]
mod tests;
