//! Sources of readiness events, and the epoll tokens that identify them.

use slotmap::{Key as _, KeyData};

use crate::connection::ConnectionKey;

const LISTENER_TOKEN: u64 = 0;
const SIGNALS_TOKEN: u64 = 1;
/// Tokens of watches are this number plus the number in the watch's id, and tokens of connections are larger:
/// slotmap keys have a version of at least 1 in their upper half.
const FIRST_WATCH_TOKEN: u64 = 2;
const FIRST_CONNECTION_TOKEN: u64 = 1 << 32;

/// Identifies an open watch at discovery. Guards against an event of a closed watch being taken for one of
/// the watch that was opened after it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WatchId(u32);

impl WatchId {
    /// The id of the watch that is opened next. Ids are reused after a billion watches.
    pub(crate) fn next(self) -> WatchId {
        const MAX_ID: u32 = 1 << 30;
        WatchId((self.0 + 1) % MAX_ID)
    }
}

/// The source of a readiness event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventSource {
    Listener,
    Signals,
    EndpointWatch(WatchId),
    Connection(ConnectionKey),
}

impl EventSource {
    /// The only decoder of tokens. Guards against a reserved token being taken for a connection key: slotmap
    /// decodes any number as a key, and the reserved ones as the keys of a node's first connections.
    pub(crate) fn from_token(token: u64) -> EventSource {
        match token {
            LISTENER_TOKEN => EventSource::Listener,
            SIGNALS_TOKEN => EventSource::Signals,
            FIRST_WATCH_TOKEN..FIRST_CONNECTION_TOKEN => {
                EventSource::EndpointWatch(WatchId((token - FIRST_WATCH_TOKEN) as u32))
            }
            key => EventSource::Connection(KeyData::from_ffi(key).into()),
        }
    }

    /// The token under which the source is registered.
    pub(crate) fn token(self) -> u64 {
        match self {
            EventSource::Listener => LISTENER_TOKEN,
            EventSource::Signals => SIGNALS_TOKEN,
            EventSource::EndpointWatch(WatchId(id)) => FIRST_WATCH_TOKEN + u64::from(id),
            EventSource::Connection(key) => key.data().as_ffi(),
        }
    }
}
