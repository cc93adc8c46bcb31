//! When the bytes of a client's connection came.
//!
//! A client counts its request's time from when it sent it. A request that waits behind another one on the same
//! connection has used up part of that time before the node looks at it.

use std::collections::VecDeque;

use pintally::interface::Micros;

/// Bytes that came within this time of each other count as come together, with the first of them. Bounds what
/// is kept for a client that sends byte by byte.
const TOGETHER: Micros = 5_000;

/// Bytes by when they came, oldest first.
#[derive(Default)]
pub(crate) struct Arrivals {
    /// Bytes that have come in all.
    pushed: u64,
    /// Runs of bytes that came together: the number of all bytes up to their end, and their time.
    runs: VecDeque<Run>,
}

struct Run {
    end: u64,
    came: Micros,
}

impl Arrivals {
    /// So many bytes have come.
    pub(crate) fn push(&mut self, now: Micros, bytes: usize) {
        self.pushed += bytes as u64;
        match self.runs.back_mut().filter(|run| now < run.came.saturating_add(TOGETHER)) {
            Some(run) => run.end = self.pushed,
            None => self.runs.push_back(Run { end: self.pushed, came: now }),
        }
    }

    /// When the last byte came before the newest `behind` ones. What came before it is forgotten.
    pub(crate) fn last_before(&mut self, behind: usize) -> Option<Micros> {
        let end = self.pushed.saturating_sub(behind as u64);
        while self.runs.len() > 1 && self.runs.front().is_some_and(|run| run.end < end) {
            self.runs.pop_front();
        }
        self.runs.front().map(|run| run.came)
    }
}

#[cfg(test)]
mod tests;
