//! The node's time: microseconds that never go back, and their relation to Unix time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pintally::interface::Micros;

/// The node's time begins here, so that engines that started before it have a time too.
const BEGIN: Micros = 1 << 50;

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
        BEGIN + self.start.elapsed().as_micros() as Micros
    }

    /// Unix time now, by the comparison at the start.
    pub(crate) fn unix_ms(&self) -> u64 {
        self.unix_ms + self.start.elapsed().as_millis() as u64
    }

    /// The instant of a time.
    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(BEGIN))
    }

    /// The node's time at a Unix time. The two clocks are compared once, at the start: a Unix clock
    /// that is set later moves no deadline.
    pub(crate) fn at_unix_ms(&self, ms: u64) -> Micros {
        let offset = (ms as i128 - i128::from(self.unix_ms)) * 1000;
        (i128::from(BEGIN) + offset).clamp(1, i128::from(u64::MAX / 2)) as Micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unix_times_before_and_after_the_start() {
        let clock = Clock::new();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let apart = clock.at_unix_ms(unix).abs_diff(clock.now());
        assert!(apart < 5_000_000, "{apart} us apart");
        assert_eq!(clock.at_unix_ms(unix) - clock.at_unix_ms(unix - 60_000), 60_000_000);
        assert_eq!(clock.at_unix_ms(1), 1);
    }
}
