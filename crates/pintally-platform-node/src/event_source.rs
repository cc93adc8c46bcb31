//! Sources of readiness events, and the epoll tokens that identify them.

use slotmap::{Key as _, KeyData};

use crate::connection::ConnectionKey;

const LISTENER_TOKEN: u64 = 0;
const SIGNALS_TOKEN: u64 = 1;
const WATCH_TOKEN: u64 = 2;

/// The source of a readiness event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventSource {
    Listener,
    Signals,
    EndpointWatch,
    Connection(ConnectionKey),
}

impl EventSource {
    /// The only decoder of tokens. Guards against a reserved token being taken for a connection key: slotmap
    /// decodes any number as a key, and the reserved ones as the keys of a node's first connections.
    pub(crate) fn from_token(token: u64) -> EventSource {
        match token {
            LISTENER_TOKEN => EventSource::Listener,
            SIGNALS_TOKEN => EventSource::Signals,
            WATCH_TOKEN => EventSource::EndpointWatch,
            key => EventSource::Connection(KeyData::from_ffi(key).into()),
        }
    }

    /// The token under which the source is registered.
    pub(crate) fn token(self) -> u64 {
        match self {
            EventSource::Listener => LISTENER_TOKEN,
            EventSource::Signals => SIGNALS_TOKEN,
            EventSource::EndpointWatch => WATCH_TOKEN,
            EventSource::Connection(key) => key.data().as_ffi(),
        }
    }
}
