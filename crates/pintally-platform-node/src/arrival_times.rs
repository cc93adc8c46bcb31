//! Arrival times of the bytes that a client connection receives.
//!
//! A client's timeout runs from the time at which it sends the request. A request that waits behind another
//! one on the same connection has used up part of its timeout before the node parses it.

use std::collections::VecDeque;

use pintally::interface::Micros;

/// Bytes that arrive within this time share the arrival time of the first one. This bounds the memory for a
/// client that sends byte by byte.
const COALESCE_WITHIN: Micros = 5_000;
/// When reading continues after a pause, bytes that the client has sent long ago may still be in its system's buffer.
/// They follow each other more closely than this.
const BACKLOG_GAP: Micros = 100_000;

/// The segments of received bytes, oldest first.
#[derive(Default)]
pub(crate) struct ArrivalTimes {
    /// Number of bytes received.
    received: u64,
    segments: VecDeque<Segment>,
    pause: Option<Pause>,
}

/// A pause of reading, until all bytes that the client sent during the pause are read.
#[derive(Clone, Copy)]
struct Pause {
    since: Micros,
    progress: Progress,
}

/// How far the bytes that were sent during a pause are read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// Nothing has been read since the pause began.
    Stopped,
    /// Some have been read, and more are unread.
    Reading,
    /// At this time, all that had arrived was read.
    Drained(Micros),
}

impl Pause {
    fn is_over(&self, now: Micros) -> bool {
        matches!(self.progress, Progress::Drained(at) if now >= at.saturating_add(BACKLOG_GAP))
    }
}

/// Bytes with the same arrival time.
struct Segment {
    /// Number of bytes received up to the end of the segment.
    end: u64,
    arrived: Micros,
}

impl ArrivalTimes {
    /// Records that reading is paused. The time at which bytes arrive during the pause is not known, so the start
    /// of the pause counts. Guards against requests that are served after the client's timeout.
    pub(crate) fn pause(&mut self, now: Micros) {
        match self.pause.as_mut().filter(|pause| !pause.is_over(now)) {
            Some(Pause { progress: Progress::Stopped, .. }) => {}
            Some(pause) => pause.progress = Progress::Reading,
            None => self.pause = Some(Pause { since: now, progress: Progress::Stopped }),
        }
    }

    /// Whether bytes that were sent during a pause have been read, and more of them may follow.
    pub(crate) fn has_backlog(&self, now: Micros) -> bool {
        self.pause.is_some_and(|pause| pause.progress != Progress::Stopped && !pause.is_over(now))
    }

    /// Records that no unread bytes have arrived. This ends a pause during which the client has sent nothing.
    pub(crate) fn record_drained(&mut self, now: Micros) {
        self.pause.take_if(|pause| pause.progress == Progress::Stopped);
        if let Some(pause) = self.pause.as_mut().filter(|pause| pause.progress == Progress::Reading) {
            pause.progress = Progress::Drained(now);
        }
    }

    /// Whether reading is paused, or bytes that were sent during the pause may be unread.
    pub(crate) fn is_paused(&self, now: Micros) -> bool {
        self.pause.is_some_and(|pause| !pause.is_over(now))
    }

    /// Records that bytes were read. `has_more` tells whether further bytes may have arrived before `now`.
    pub(crate) fn push(&mut self, now: Micros, bytes: usize, has_more: bool) {
        self.pause.take_if(|pause| pause.is_over(now));
        let arrived = self.pause.map_or(now, |pause| pause.since);
        if let Some(pause) = &mut self.pause {
            pause.progress = if has_more { Progress::Reading } else { Progress::Drained(now) };
        }
        self.received += bytes as u64;
        let end = self.received;
        match self.segments.back_mut() {
            Some(segment) if arrived < segment.arrived.saturating_add(COALESCE_WITHIN) => segment.end = end,
            _ => self.segments.push_back(Segment { end, arrived }),
        }
    }

    /// The arrival time of the last byte before the newest `bytes_behind` ones. Earlier segments are dropped.
    pub(crate) fn last_before(&mut self, bytes_behind: usize) -> Option<Micros> {
        self.discard_before(bytes_behind);
        self.segments.front().map(|segment| segment.arrived)
    }

    /// Drops the segments before the one of the last byte before the newest `bytes_behind` ones.
    pub(crate) fn discard_before(&mut self, bytes_behind: usize) {
        let end = self.received.saturating_sub(bytes_behind as u64);
        while self.segments.len() > 1 && self.segments.front().is_some_and(|segment| segment.end < end) {
            self.segments.pop_front();
        }
    }

    /// The memory of the segments behind the first one.
    pub(crate) fn held_bytes(&self) -> usize {
        self.segments.len().saturating_sub(1) * size_of::<Segment>()
    }
}

#[cfg(test)]
mod tests;
