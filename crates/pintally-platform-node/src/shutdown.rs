//! The state of a graceful shutdown.

use pintally::interface::Micros;

/// The state of a graceful shutdown.
#[derive(Default)]
pub(crate) struct Shutdown {
    /// When a signal requested the shutdown.
    pub(crate) requested_at: Option<Micros>,
    /// The host has ended all requests and releases.
    pub(crate) host_stopped: bool,
}

impl Shutdown {
    /// Whether the node is draining.
    pub(crate) fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }
}
