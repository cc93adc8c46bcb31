//! The node's time: microseconds of the platform's epoch, monotonic.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pintally::interface::Micros;

/// Reads the wall clock once, and the monotonic clock from then on.
pub(crate) struct Clock {
    started_at: Micros,
    started: Instant,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        let wall_clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: wall_clock.as_micros() as Micros, started: Instant::now() }
    }

    pub(crate) fn now(&self) -> Micros {
        self.started_at + self.started.elapsed().as_micros() as Micros
    }
}
