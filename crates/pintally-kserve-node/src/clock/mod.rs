//! The node's clock: monotonic time in microseconds, and its offset to Unix time.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pintally::interface::Micros;

/// The clock's value when the node starts. It is above 0 so that the start times of engines that are older
/// than the node can be represented.
const START_TIME_US: Micros = 1 << 50;
const MICROS_PER_MILLI: i128 = 1000;

/// A monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    /// Unix time at the start, in milliseconds.
    start_unix_ms: u64,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_unix_ms: unix.as_millis() as u64 }
    }

    pub(crate) fn now(&self) -> Micros {
        START_TIME_US + self.start.elapsed().as_micros() as Micros
    }

    /// The current Unix time, computed from the Unix time at the start.
    pub(crate) fn unix_ms(&self) -> u64 {
        self.start_unix_ms + self.start.elapsed().as_millis() as u64
    }

    /// The [`Instant`] of a time of this clock.
    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(START_TIME_US))
    }

    /// The time of this clock at a Unix time. The offset between the two is determined once, at the start, so
    /// that deadlines do not move when the system's Unix clock is set later.
    pub(crate) fn at_unix_ms(&self, ms: u64) -> Micros {
        let offset = (ms as i128 - i128::from(self.start_unix_ms)) * MICROS_PER_MILLI;
        (i128::from(START_TIME_US) + offset).clamp(1, i128::from(u64::MAX / 2)) as Micros
    }
}
