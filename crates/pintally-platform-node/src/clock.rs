//! The node's time: it counts from the same beginning as the platform's, and never goes back.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pintally::interface::Micros;

/// Reads the system's clock once and goes on by the monotonic one.
pub(crate) struct Clock {
    base: Micros,
    since: Instant,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: unix.as_micros() as Micros, since: Instant::now() }
    }

    pub(crate) fn now(&self) -> Micros {
        self.base + self.since.elapsed().as_micros() as Micros
    }
}
