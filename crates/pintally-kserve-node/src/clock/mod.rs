//! The node's time: microseconds that never go back, and their relation to Unix time.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pintally::interface::Micros;

/// The node's time at its start, so that engines that started before it have a time too.
const START_TIME_US: Micros = 1 << 50;
const MICROS_PER_MILLI: i128 = 1000;

/// A clock that never goes back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    /// Unix time at the start, in milliseconds.
    unix_ms: u64,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_ms: unix.as_millis() as u64 }
    }

    pub(crate) fn now(&self) -> Micros {
        START_TIME_US + self.start.elapsed().as_micros() as Micros
    }

    /// Unix time now, by the comparison at the start.
    pub(crate) fn unix_ms(&self) -> u64 {
        self.unix_ms + self.start.elapsed().as_millis() as u64
    }

    /// The instant of a time.
    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(START_TIME_US))
    }

    /// The node's time at a Unix time. The two clocks are compared once, at the start: a Unix clock
    /// that is set later moves no deadline.
    pub(crate) fn at_unix_ms(&self, ms: u64) -> Micros {
        let offset = (ms as i128 - i128::from(self.unix_ms)) * MICROS_PER_MILLI;
        (i128::from(START_TIME_US) + offset).clamp(1, i128::from(u64::MAX / 2)) as Micros
    }
}
