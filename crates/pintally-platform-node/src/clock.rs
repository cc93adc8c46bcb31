//! The node's clock: monotonic, in microseconds since the platform's epoch.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pintally::interface::Micros;

/// Reads the wall clock once, and the monotonic clock from then on.
pub(crate) struct Clock {
    wall_clock_at_start: Micros,
    monotonic_at_start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        let wall_clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { wall_clock_at_start: wall_clock.as_micros() as Micros, monotonic_at_start: Instant::now() }
    }

    pub(crate) fn now(&self) -> Micros {
        self.wall_clock_at_start + self.monotonic_at_start.elapsed().as_micros() as Micros
    }
}
