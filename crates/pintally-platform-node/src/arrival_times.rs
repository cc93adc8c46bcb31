//! Arrival times of the bytes that a client connection receives.
//!
//! A client's timeout runs from the time at which it sends the request. A request that waits behind another
//! one on the same connection has used up part of its timeout before the node parses it.

use std::collections::VecDeque;

use pintally::interface::Micros;

/// Bytes that arrive within this time share the arrival time of the first one. This bounds the memory for a
/// client that sends byte by byte.
const COALESCE_WITHIN: Micros = 5_000;

/// The segments of received bytes, oldest first.
#[derive(Default)]
pub(crate) struct ArrivalTimes {
    /// Number of bytes received.
    received: u64,
    segments: VecDeque<Segment>,
}

/// Bytes with the same arrival time.
struct Segment {
    /// Number of bytes received up to the end of the segment.
    end: u64,
    arrived: Micros,
}

impl ArrivalTimes {
    /// Records that bytes were received.
    pub(crate) fn push(&mut self, now: Micros, bytes: usize) {
        self.received += bytes as u64;
        match self.segments.back_mut().filter(|segment| now < segment.arrived.saturating_add(COALESCE_WITHIN))
        {
            Some(segment) => segment.end = self.received,
            None => self.segments.push_back(Segment { end: self.received, arrived: now }),
        }
    }

    /// The arrival time of the last byte before the newest `bytes_behind` ones. Earlier segments are dropped.
    pub(crate) fn last_before(&mut self, bytes_behind: usize) -> Option<Micros> {
        let end = self.received.saturating_sub(bytes_behind as u64);
        while self.segments.len() > 1 && self.segments.front().is_some_and(|segment| segment.end < end) {
            self.segments.pop_front();
        }
        self.segments.front().map(|segment| segment.arrived)
    }
}

#[cfg(test)]
mod tests;
