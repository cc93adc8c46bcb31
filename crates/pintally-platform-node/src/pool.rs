//! Pool of idle engine connections, and the limit of their idle time.

use std::collections::HashMap;
use std::net::SocketAddr;

use pintally::interface::Micros;

use crate::connection::ConnectionKey;

/// Minimum of the adaptive idle limit.
const MIN_IDLE_LIMIT: Micros = 10_000;
/// A connection is not reused within this time of a response. Guards against a second response that its
/// engine sends some milliseconds after the first: it would be taken for the response to the next request,
/// because responses carry no reference to their request.
const MIN_IDLE_BEFORE_REUSE: Micros = 30_000;
/// After an early close has lowered the idle limit, it doubles once per interval of this length.
const LIMIT_DOUBLING_INTERVAL: Micros = 8_000_000;
/// Limit of the number of doublings, which prevents an overflow.
const MAX_DOUBLINGS: u64 = 20;

/// Adaptive limit of the time for which a connection may be idle and still be reused. Guards against engines,
/// or a network in front of them, that close idle connections far earlier than the settings say, with or
/// without notification: a request written to such a connection ends with a reset and might have run. A new
/// connection costs little compared with that.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleLimit {
    max: Micros,
    after_close: Micros,
    closed_at: Micros,
}

impl IdleLimit {
    /// The limit in the settings, which applies until the first early close.
    pub(crate) fn new(max: Micros) -> IdleLimit {
        IdleLimit { max, after_close: max, closed_at: 0 }
    }

    /// Lowers the limit because the engine's side closed a connection that had been idle for `idle`.
    pub(crate) fn record_close(&mut self, now: Micros, idle: Micros) {
        let limit = self.at(now);
        self.after_close = limit.min((idle / 2).max(MIN_IDLE_LIMIT));
        self.closed_at = now;
    }

    /// The limit at the time `now`.
    pub(crate) fn at(&self, now: Micros) -> Micros {
        let doublings = now.saturating_sub(self.closed_at) / LIMIT_DOUBLING_INTERVAL;
        self.after_close.saturating_mul(1 << doublings.min(MAX_DOUBLINGS)).min(self.max)
    }
}

/// Idle connections by address, the most recently used last.
#[derive(Default)]
pub(crate) struct IdlePool {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
}

struct IdleConnection {
    key: ConnectionKey,
    since: Micros,
}

impl IdlePool {
    /// Adds a connection whose call has ended.
    pub(crate) fn put(&mut self, now: Micros, address: SocketAddr, key: ConnectionKey) {
        self.idle.entry(address).or_default().push(IdleConnection { key, since: now });
    }

    /// Takes the most recently used connection that has been idle for at least [`MIN_IDLE_BEFORE_REUSE`]: the
    /// engine's side is likely to close older ones sooner.
    pub(crate) fn take(&mut self, now: Micros, address: SocketAddr) -> Option<ConnectionKey> {
        let idle = self.idle.get_mut(&address)?;
        let reusable = idle
            .iter()
            .rposition(|connection| now >= connection.since.saturating_add(MIN_IDLE_BEFORE_REUSE))?;
        let key = idle.remove(reusable).key;
        if idle.is_empty() {
            self.idle.remove(&address);
        }
        Some(key)
    }

    /// Removes a connection that was closed.
    pub(crate) fn remove(&mut self, address: SocketAddr, key: ConnectionKey) {
        let Some(idle) = self.idle.get_mut(&address) else { return };
        idle.retain(|connection| connection.key != key);
        if idle.is_empty() {
            self.idle.remove(&address);
        }
    }

    /// The oldest connection to the address that has the most idle connections.
    pub(crate) fn eviction_candidate(&self) -> Option<ConnectionKey> {
        let (_, idle) = self.idle.iter().max_by_key(|(address, idle)| (idle.len(), **address))?;
        idle.first().map(|connection| connection.key)
    }

    /// All connections, with their addresses.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (SocketAddr, ConnectionKey)> + '_ {
        self.idle.iter().flat_map(|(address, idle)| idle.iter().map(|connection| (*address, connection.key)))
    }
}

#[cfg(test)]
mod tests;
